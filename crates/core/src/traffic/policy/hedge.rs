//! When a second target is tried beside a slow one.

use std::{fmt, time::Duration};

use crate::traffic::table::Latency;

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
    pub permille: u32,
}

impl Hedge for Quantile {
    fn delay(&self, latency: &Latency, tail: Duration) -> Option<Duration> {
        Some(latency.quantile(self.permille).unwrap_or(tail).min(tail))
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
