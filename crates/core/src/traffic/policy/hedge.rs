//! When a slow attempt is hedged at a second target.

use std::{fmt, time::Duration};

use crate::traffic::table::Latency;

/// Decides when a slow attempt is hedged at a second target.
pub trait Hedge: fmt::Debug {
    /// The time after which an attempt is hedged, or none if it never is, given
    /// the latencies of the whole index and the tail latency that the profile
    /// aims at.
    fn delay(&self, latency: &Latency, tail: Duration) -> Option<Duration>;
}

/// Hedges an attempt that takes longer than a quantile of the latencies, or
/// than the tail of the profile if that is shorter.
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
