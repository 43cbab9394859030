//! Connections to targets.

use std::collections::BTreeSet;

use crate::{id, name::Name, time::Instant};

/// A connection.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The target that it leads to.
    pub target: Name,
    /// Whether it is open, as opposed to opening.
    pub open: bool,
    /// The attempts in flight on it.
    pub attempts: BTreeSet<id::Attempt>,
    /// When the status was asked for that is not answered yet.
    pub asked: Option<Instant>,
    /// When the target was last heard on it.
    pub heard: Instant,
}
