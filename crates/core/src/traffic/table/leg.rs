//! Legs of this entry's queries, in flight to their homes.

use crate::{
    id, key, message,
    name::Name,
    target::Version,
    view::{Lane, State},
};

/// A leg in flight to a home.
#[derive(Clone, Debug)]
pub struct Leg {
    pub query: id::Query,
    pub shard: Name,
    /// The range to read; for an operation, only the key of its subject.
    pub range: key::Range,
    /// The version to read; none for an operation.
    pub version: Option<Version>,
    /// The lanes of the homes of the shard, in order of preference.
    pub lanes: Vec<Lane>,
    /// The position in `lanes` of the home that the leg was sent to.
    pub lane_index: usize,
    /// The message, kept so that it can be sent to the next home.
    pub message: message::Leg,
}

impl Leg {
    /// The lane that the leg was sent to, or none when all homes were tried.
    pub fn lane(&self) -> Option<&Lane> {
        self.lanes.get(self.lane_index)
    }
}

/// The rank of a VM among the possible homes of a shard; a lower rank is
/// preferred.
pub fn preference(state: State) -> u8 {
    match state {
        State::Live => 0,
        State::Suspect => 1,
        State::Leaving => 2,
    }
}
