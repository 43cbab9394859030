//! The attempt latencies and caller timeouts of a route.

use std::{collections::VecDeque, time::Duration};

use crate::latency::Latency;

/// The statistics of a route.
#[derive(Clone, Debug, Default)]
pub struct RouteStats {
    /// The latency of attempts.
    pub latency: Latency,
    /// The timeouts that callers stated last.
    pub timeouts: Timeouts,
}

/// The number of timeouts that are remembered.
const REMEMBERED_TIMEOUTS: usize = 32;

/// The largest number of remembered timeouts that are ignored because they are the longest.
/// Most callers are at their first try; a few that state more than they wait must not make
/// all others seem to come back.
const MAX_IGNORED: usize = 3;

/// The share of the remembered timeouts that are ignored, as a divisor.
const IGNORED_DIVISOR: usize = 4;

/// The timeouts that callers of a route stated last.
#[derive(Clone, Debug, Default)]
pub struct Timeouts(VecDeque<Duration>);

impl Timeouts {
    /// Adds the timeout of a caller.
    pub fn record(&mut self, timeout: Duration) {
        if self.0.len() == REMEMBERED_TIMEOUTS {
            self.0.pop_front();
        }
        self.0.push_back(timeout);
    }

    /// Returns the timeout that callers state at their first try.
    pub fn of_first_try(&self) -> Duration {
        let mut timeouts: Vec<Duration> = self.0.iter().copied().collect();
        timeouts.sort_unstable_by(|a, b| b.cmp(a));
        let ignored = (timeouts.len() / IGNORED_DIVISOR).min(MAX_IGNORED);
        timeouts.get(ignored).copied().unwrap_or_default()
    }
}
