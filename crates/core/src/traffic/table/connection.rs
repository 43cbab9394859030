//! Connections to targets.

use std::collections::BTreeSet;

use crate::{id, name::Name, time::Instant};

/// A connection to a target.
#[derive(Clone, Debug)]
pub struct Connection {
    pub target: Name,
    /// False while the connection is being opened.
    pub open: bool,
    /// The attempts in flight on the connection.
    pub attempts: BTreeSet<id::Attempt>,
    /// When the status read that is still unanswered was sent; while the
    /// connection is being opened, when that started.
    pub status_requested: Option<Instant>,
    /// When anything was last received on the connection.
    pub last_received: Instant,
}
