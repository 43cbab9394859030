//! Targets, with what this thread knows of them and runs at them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    time::Duration,
};

use crate::{
    id,
    key::Range,
    name::Name,
    target::{Status, Version},
    time::Instant,
    traffic::table::{Latency, shard},
};

/// A target: a replica of a shard.
#[derive(Clone, Debug)]
pub struct Target {
    pub shard: shard::Key,
    pub address: SocketAddr,
    /// The failure domain that the target runs in.
    pub domain: Name,
    /// The number of requests that the target runs at a time.
    pub slots: u32,
    /// The number of connections that the target accepts from all VMs together.
    pub connection_limit: u32,
    /// The attempts of this thread in flight at the target.
    pub in_use: u32,
    /// Whether a suspect request runs at the target; nothing else is then sent
    /// to it.
    pub reserved: bool,
    /// The last status that the target reported, or none before the first.
    pub status: Option<Status>,
    /// When the status was last received.
    pub status_at: Instant,
    /// Whether the view lists the target as leaving, by the platform's list or
    /// by a report of another VM.
    pub leaving: bool,
    /// The time before which the target gets no work, because it shed an
    /// attempt.
    pub paused_until: Instant,
    pub connections: BTreeSet<id::Connection>,
    /// The connections that were lost or failed to open since one was last
    /// open.
    pub failures: u32,
    /// Whether a [`Timer::Poll`](super::Timer::Poll) is set for the target.
    pub polled: bool,
    /// Whether a [`Timer::Reopen`](super::Timer::Reopen) is set for the target.
    pub reopening: bool,
    /// The latency of attempts of this thread at the target.
    pub latency: Latency,
    /// When an attempt was last sent to the target.
    pub last_used: Instant,
}

impl Target {
    /// Whether the target takes new work at `now`. A status that is older than
    /// `max_age` does not count, because the target may have begun to leave
    /// since.
    pub fn takes_work(&self, now: Instant, max_age: Duration) -> bool {
        let is_fresh = self.status.is_some() && now.since(self.status_at) <= max_age;
        is_fresh && !self.is_draining() && self.paused_until <= now
    }

    /// Whether the target is leaving, according to the view or to its own
    /// status.
    pub fn is_draining(&self) -> bool {
        self.leaving || self.status.as_ref().is_some_and(|status| status.draining)
    }

    /// Whether the target holds all of `range` at `version`.
    pub fn holds(&self, version: Version, range: Range) -> bool {
        self.holdings().and_then(|held| held.get(&version)).is_some_and(|own| own.covers(range))
    }

    /// The range that the target holds at each version, or none before its
    /// first status.
    pub fn holdings(&self) -> Option<&BTreeMap<Version, Range>> {
        self.status.as_ref().map(|status| &status.holds)
    }
}
