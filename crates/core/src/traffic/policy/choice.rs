//! The choice of the target for a job.

use std::{fmt, time::Duration};

use crate::traffic::table::Target;

/// A target that may get a job, with the figures to compare it by.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    pub target: &'a Target,
    /// The mean latency over all targets of the index.
    pub index_mean: Duration,
    /// The number of jobs that wait ahead of this one, or none if the target
    /// has a free slot for the job now.
    pub jobs_ahead: Option<usize>,
}

/// Decides which target of a shard gets a job.
pub trait Choice: fmt::Debug {
    /// The expected time until the target has answered the job. The target with
    /// the lowest cost is chosen; if it has no free slot, the job waits for
    /// one.
    fn cost(&self, candidate: Candidate<'_>) -> Duration;
}

/// Estimates the mean latency of the target plus the wait for a slot.
#[derive(Clone, Copy, Debug)]
pub struct LeastExpected;

/// The factor on the cost of a target without a free slot: a job waits only if
/// a free slot would take this many times as long. A lower factor would leave
/// slots idle over small differences.
const WAIT_GAIN: u32 = 2;

impl Choice for LeastExpected {
    fn cost(&self, candidate: Candidate<'_>) -> Duration {
        let target = candidate.target;
        let slots = f64::from(target.slots.max(1));
        let answered = target.latency.mean();
        // A target that has not answered yet counts as fast, so that it is
        // tried.
        let mean = if answered.is_zero() { candidate.index_mean / 2 } else { answered };
        match candidate.jobs_ahead {
            // The load breaks ties between targets with free slots. It always
            // adds less than a wait does.
            None => mean.mul_f64(1.0 + f64::from(target.in_use) / (slots * (slots + 1.0))),
            Some(ahead) => mean.mul_f64(1.0 + (ahead as f64 + 1.0) / slots) * WAIT_GAIN,
        }
    }
}
