//! Liveness of the lanes that legs are in flight to.

use std::collections::BTreeSet;

use crate::{id, time::Instant};

/// A lane with legs in flight.
#[derive(Clone, Debug, Default)]
pub struct Link {
    pub legs: BTreeSet<id::Leg>,
    /// When a message from the lane was last received.
    pub last_received: Instant,
    /// When the ping that is still unanswered was sent.
    pub pinged: Option<Instant>,
    /// Whether a [`Timer::Link`](super::Timer::Link) is set for the lane.
    pub watched: bool,
}
