//! Legs of queries, in flight to their homes.

use crate::{
    id, key, message,
    name::Name,
    target::Version,
    view::{Lane, State},
};

/// A leg in flight.
#[derive(Clone, Debug)]
pub struct Leg {
    /// The query that it belongs to.
    pub query: id::Query,
    /// The shard that it goes to.
    pub shard: Name,
    /// The range that it asks for; for an operation, its subject alone.
    pub range: key::Range,
    /// The version that it asks for; none for an operation.
    pub version: Option<Version>,
    /// The lanes of the homes of the shard, best first.
    pub lanes: Vec<Lane>,
    /// The position in `lanes` that it was sent to.
    pub tries: usize,
    /// The message, kept for the next home.
    pub message: message::Leg,
}

impl Leg {
    /// The lane that the leg was sent to.
    pub fn lane(&self) -> Option<&Lane> {
        self.lanes.get(self.tries)
    }
}

/// Orders a VM among the possible homes by what is believed of it.
pub fn preference(state: State) -> u8 {
    match state {
        State::Live => 0,
        State::Suspect => 1,
        State::Leaving => 2,
    }
}
