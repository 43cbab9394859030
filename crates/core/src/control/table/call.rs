//! Calls of the platform's service that are under way.

use std::collections::BTreeMap;

use crate::{control::RequestId, store::CallId, time::Instant};

/// The bit that marks the ids of calls of the claims.
pub const CLAIMS: u64 = 1 << 63;

/// What a call is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Learning the document in force.
    Profiles,
    /// Learning the VMs and targets.
    List,
    /// A step of an operator's request.
    Request(RequestId),
    /// Reading a replaced document that is no longer kept.
    Find,
    /// Removing a replaced document that is no longer kept.
    Prune,
}

/// A call that is under way.
#[derive(Clone, Debug)]
pub struct Call {
    /// What it is for.
    pub purpose: Purpose,
    /// When it was made.
    pub made: Instant,
    /// When it counts as lost.
    pub until: Instant,
}

/// Calls of the platform's service that are under way.
#[derive(Debug, Default)]
pub struct Calls {
    /// The calls by id.
    pub rows: BTreeMap<CallId, Call>,
    /// The last id that was given.
    pub last: u64,
    /// Whether the last reply showed that the service is down.
    pub down: bool,
}
