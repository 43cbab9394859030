//! Policies of the traffic threads, as trait objects, so that ways to route and
//! to limit can be compared in one run.

use std::{fmt, time::Duration};

use crate::{
    rank,
    time::Instant,
    traffic::table::{Latency, Target, leg::preference, shard},
    view::{Lane, View},
};

/// Decides which traffic thread of which VM serves a shard.
pub trait Route: fmt::Debug {
    /// The lanes that may serve the shard, best first, at most `most`.
    fn lanes(&self, view: &View, own: &Lane, key: &shard::Key, most: usize) -> Vec<Lane>;
}

/// One home for each shard, by rendezvous hashing over the VMs.
#[derive(Clone, Copy, Debug)]
pub struct Home;

impl Route for Home {
    fn lanes(&self, view: &View, _own: &Lane, key: &shard::Key, most: usize) -> Vec<Lane> {
        let seed = rank::seed(&[key.index.as_str(), key.shard.as_str()]);
        let mut ranked = rank::order(seed, view.vms.keys());
        ranked.sort_by_key(|name| view.vms.get(*name).map(|vm| preference(vm.state)));
        ranked
            .into_iter()
            .take(most)
            .filter_map(|name| view.vms.get(name))
            .map(|vm| {
                let threads = vm.traffic.len().max(1) as u64;
                let thread = u16::try_from(seed % threads).unwrap_or(0);
                Lane { vm: vm.name.clone(), thread }
            })
            .collect()
    }
}

/// Each VM serves every shard for its own callers.
#[derive(Clone, Copy, Debug)]
pub struct Direct;

impl Route for Direct {
    fn lanes(&self, _view: &View, own: &Lane, _key: &shard::Key, _most: usize) -> Vec<Lane> {
        vec![own.clone()]
    }
}

/// Decides how many attempts this thread runs at a target.
pub trait Slots: fmt::Debug {
    /// The attempts that may run at the target now.
    fn limit(&self, view: &View, target: &Target) -> u32;
    /// Notes that the target shed an attempt.
    fn shed(&mut self, _name: &crate::name::Name) {}
    /// Notes that the target answered an attempt after this time.
    fn answered(&mut self, _name: &crate::name::Name, _after: Duration) {}
}

/// All slots of the target: right for the one home of its shard.
#[derive(Clone, Copy, Debug)]
pub struct Exact;

impl Slots for Exact {
    fn limit(&self, _view: &View, target: &Target) -> u32 {
        target.slots
    }
}

/// Decides when a second target is tried beside a slow one.
pub trait Hedge: fmt::Debug {
    /// The time after which an attempt is hedged, given the latencies of the
    /// whole index and the tail that the profile aims at.
    fn delay(&self, latency: &Latency, tail: Duration) -> Option<Duration>;
}

/// Hedges what takes longer than nearly all answers.
#[derive(Clone, Copy, Debug)]
pub struct Quantile {
    /// The quantile, in thousandths.
    pub part: u32,
}

impl Hedge for Quantile {
    fn delay(&self, latency: &Latency, tail: Duration) -> Option<Duration> {
        Some(latency.quantile(self.part).unwrap_or(tail).min(tail))
    }
}

/// Never hedges.
#[derive(Clone, Copy, Debug)]
pub struct Never;

impl Hedge for Never {
    fn delay(&self, _latency: &Latency, _tail: Duration) -> Option<Duration> {
        None
    }
}

/// Decides which target of a shard gets a job.
pub trait Choice: fmt::Debug {
    /// The expected time until `target` has answered a job that it gets now;
    /// the target with the least is chosen.
    fn cost(&self, target: &Target, now: Instant) -> Duration;
}

/// Expects the target's mean time for each job that it already runs.
#[derive(Clone, Copy, Debug)]
pub struct LeastExpected;

/// The time that is expected of a target that has not answered anything yet.
const UNKNOWN_LATENCY: Duration = Duration::from_millis(1);

impl Choice for LeastExpected {
    fn cost(&self, target: &Target, _now: Instant) -> Duration {
        target.latency.mean().max(UNKNOWN_LATENCY) * (target.in_use + 1)
    }
}

/// The policies of a traffic thread.
#[derive(Debug)]
pub struct Policies {
    /// Where a shard is served.
    pub route: Box<dyn Route + Send>,
    /// How many attempts run at a target.
    pub slots: Box<dyn Slots + Send>,
    /// When a slow attempt is hedged.
    pub hedge: Box<dyn Hedge + Send>,
    /// Which target gets a job.
    pub choice: Box<dyn Choice + Send>,
}

/// The quantile beyond which an attempt is hedged, in thousandths.
const HEDGE_QUANTILE: u32 = 970;

impl Default for Policies {
    fn default() -> Policies {
        Policies {
            route: Box::new(Home),
            slots: Box::new(Exact),
            hedge: Box::new(Quantile { part: HEDGE_QUANTILE }),
            choice: Box::new(LeastExpected),
        }
    }
}
