//! Lanes that legs are in flight to.

use std::collections::BTreeSet;

use crate::{id, time::Instant};

/// A lane with legs in flight.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// The legs.
    pub legs: BTreeSet<id::Leg>,
    /// When a message of the lane was last received.
    pub heard: Instant,
    /// When a sign of life was asked for that has not come yet.
    pub asked: Option<Instant>,
    /// Whether a timer for the lane is set.
    pub watched: bool,
}
