//! When a slow attempt gets another one beside it.

use std::time::Duration;

use crate::latency::Latency;

/// The part of a thousand of attempts that are quicker than the delay.
const QUANTILE: u32 = 900;

/// The largest part of the goal that is waited, so that the second attempt can
/// still be in time.
const MOST: f64 = 0.4;

/// The part of the goal that is waited while too little is known.
const UNKNOWN: f64 = 0.3;

/// When a slow attempt gets another one beside it.
pub trait Hedge {
    /// The time to wait, or none for no second attempt.
    fn delay(&self, latency: &Latency, goal: Duration) -> Option<Duration>;
}

/// After the time that most attempts take.
#[derive(Clone, Copy, Debug)]
pub struct Tail {
    /// The part of a thousand of attempts that are quicker.
    pub quantile: u32,
}

impl Default for Tail {
    fn default() -> Tail {
        Tail { quantile: QUANTILE }
    }
}

impl Hedge for Tail {
    fn delay(&self, latency: &Latency, goal: Duration) -> Option<Duration> {
        let usual = latency.quantile(self.quantile).unwrap_or(goal.mul_f64(UNKNOWN));
        Some(usual.min(goal.mul_f64(MOST)))
    }
}

/// Never.
#[derive(Clone, Copy, Debug)]
pub struct Never;

impl Hedge for Never {
    fn delay(&self, _latency: &Latency, _goal: Duration) -> Option<Duration> {
        None
    }
}
