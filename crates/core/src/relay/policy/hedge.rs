//! Decides when a slow attempt is hedged by a second one.

use std::time::Duration;

use crate::latency::Latency;

/// The per mille of attempts that are faster than the hedge delay.
const DELAY_QUANTILE_PER_MILLE: u32 = 900;

/// The largest share of the goal to wait, so that the second attempt can still
/// answer before the goal.
const MAX_DELAY_GOAL_SHARE: f64 = 0.4;

/// The share of the goal to wait while there are too few latency samples.
const DEFAULT_DELAY_GOAL_SHARE: f64 = 0.3;

/// Decides when a slow attempt is hedged by a second one.
pub trait Hedge {
    /// Returns the time to wait before the second attempt, or `None` for no hedge.
    fn delay(&self, latency: &Latency, goal: Duration) -> Option<Duration>;
}

/// Hedges after a high quantile of the latency of the route.
#[derive(Clone, Copy, Debug)]
pub struct Tail {
    /// The per mille of attempts that are faster than the delay.
    pub quantile: u32,
}

impl Default for Tail {
    fn default() -> Tail {
        Tail { quantile: DELAY_QUANTILE_PER_MILLE }
    }
}

impl Hedge for Tail {
    fn delay(&self, latency: &Latency, goal: Duration) -> Option<Duration> {
        let usual =
            latency.quantile(self.quantile).unwrap_or(goal.mul_f64(DEFAULT_DELAY_GOAL_SHARE));
        Some(usual.min(goal.mul_f64(MAX_DELAY_GOAL_SHARE)))
    }
}

/// Never hedges.
#[derive(Clone, Copy, Debug)]
pub struct Never;

impl Hedge for Never {
    fn delay(&self, _latency: &Latency, _goal: Duration) -> Option<Duration> {
        None
    }
}
