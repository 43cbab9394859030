//! Which target of a shard gets a job.

use std::{fmt, time::Duration};

use crate::{time::Instant, traffic::table::Target};

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
