//! The attempt latencies and caller timeouts of a route.

use std::time::Duration;

use crate::latency::Latency;

/// The statistics of a route.
#[derive(Clone, Debug, Default)]
pub struct RouteStats {
    /// The latency of attempts.
    pub latency: Latency,
    /// The longest timeout that a caller stated.
    pub longest_timeout: Duration,
}
