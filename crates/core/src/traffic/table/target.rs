//! Targets of the shards that this VM serves as home.

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

/// A target.
#[derive(Clone, Debug)]
pub struct Target {
    /// The shard that it is a replica of.
    pub shard: shard::Key,
    /// Where it listens.
    pub address: SocketAddr,
    /// The failure domain that it runs in.
    pub domain: Name,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// The connections that it takes over all VMs.
    pub connection_limit: u32,
    /// The attempts of this thread that it runs now.
    pub in_use: u32,
    /// Whether a suspect request runs on it, which must run alone.
    pub reserved: bool,
    /// What it last said of itself, or none before its first word.
    pub status: Option<Status>,
    /// When it last said so.
    pub heard: Instant,
    /// Whether the platform's list or a peer says that it is leaving.
    pub leaving: bool,
    /// Until when it is given no work.
    pub pause: Instant,
    /// Its connections.
    pub connections: BTreeSet<id::Connection>,
    /// The failures to open a connection since one was last open.
    pub failures: u32,
    /// Whether its status is read at intervals.
    pub polled: bool,
    /// Whether a new connection is due at a later time.
    pub reopening: bool,
    /// How long its answers take.
    pub latency: Latency,
    /// When it was last given work.
    pub used: Instant,
}

impl Target {
    /// Whether it takes new work at `now`. One that has not said so within
    /// `fresh` may be leaving by now.
    pub fn takes_work(&self, now: Instant, fresh: Duration) -> bool {
        let is_fresh = self.status.is_some() && now.since(self.heard) <= fresh;
        is_fresh && !self.is_draining() && self.pause <= now
    }

    /// Whether it is leaving, whoever says so.
    pub fn is_draining(&self) -> bool {
        self.leaving || self.status.as_ref().is_some_and(|status| status.draining)
    }

    /// Whether it holds all of `range` at `version`.
    pub fn holds(&self, version: Version, range: Range) -> bool {
        self.holdings().and_then(|held| held.get(&version)).is_some_and(|own| own.covers(range))
    }

    /// The ranges that it holds, by version.
    pub fn holdings(&self) -> Option<&BTreeMap<Version, Range>> {
        self.status.as_ref().map(|status| &status.holds)
    }
}
