//! One connection to a target.

use crate::{name::Name, relay, time::Instant};

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is being opened and carries nothing yet.
    Opening,
    /// It waits for a request.
    Idle { since: Instant },
    /// It carries an attempt, and may still be opening.
    Busy(relay::Attempt),
}

/// A connection to a target, which carries one request at a time.
#[derive(Clone, Debug)]
pub struct Connection {
    /// The target.
    pub target: Name,
    /// What it does.
    pub state: State,
}
