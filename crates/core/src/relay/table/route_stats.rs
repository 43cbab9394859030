//! How long the legs of a route take, and how long its callers wait.

use std::time::Duration;

use crate::latency::Latency;

/// What is known of the requests of a route.
#[derive(Clone, Debug, Default)]
pub struct RouteStats {
    /// The time of an attempt.
    pub latency: Latency,
    /// The longest time that a caller said it waits.
    pub longest_timeout: Duration,
}
