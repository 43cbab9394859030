//! A connection to a target.

use crate::{name::Name, relay, time::Instant};

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Being opened, without an attempt.
    Opening,
    /// Open, without an attempt.
    Idle { since: Instant },
    /// Carries an attempt; it may still be opening.
    Busy(relay::Attempt),
}

/// A connection to a target, which carries one request at a time.
#[derive(Clone, Debug)]
pub struct Connection {
    pub target: Name,
    pub state: State,
}
