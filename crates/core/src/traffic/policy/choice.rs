//! Which target of a shard gets a job.

use std::{fmt, time::Duration};

use crate::traffic::table::Target;

/// What is expected of a target for one job.
#[derive(Clone, Copy, Debug)]
pub struct Chance<'a> {
    /// The target.
    pub target: &'a Target,
    /// The mean time of the targets of the index.
    pub usual: Duration,
    /// The jobs that wait before this one, or none if a slot is free for it now.
    pub ahead: Option<usize>,
}

/// Decides which target of a shard gets a job.
pub trait Choice: fmt::Debug {
    /// The expected time until the target has answered the job; the target with
    /// the least is chosen. If it is one without a free slot, the job waits.
    fn cost(&self, chance: Chance<'_>) -> Duration;
}

/// Expects the target's mean time after the wait for a slot.
#[derive(Clone, Copy, Debug)]
pub struct LeastExpected;

/// How many times longer a free slot must take than the wait for another one,
/// for the job to wait. Less would leave slots idle over small differences.
const WAIT_GAIN: u32 = 2;

impl Choice for LeastExpected {
    fn cost(&self, chance: Chance<'_>) -> Duration {
        let target = chance.target;
        let slots = f64::from(target.slots.max(1));
        let answered = target.latency.mean();
        // One that has not answered yet is taken for a fast one, to find out.
        let mean = if answered.is_zero() { chance.usual / 2 } else { answered };
        match chance.ahead {
            // Among equal ones the one that runs less; always less than a wait.
            None => mean.mul_f64(1.0 + f64::from(target.in_use) / (slots * (slots + 1.0))),
            Some(ahead) => mean.mul_f64(1.0 + (ahead as f64 + 1.0) / slots) * WAIT_GAIN,
        }
    }
}
