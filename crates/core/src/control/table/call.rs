//! Calls of the platform's service that have no reply yet.

use std::collections::BTreeMap;

use crate::{
    control::RequestId,
    store::{CallId, Epoch},
    time::Instant,
};

/// The bit set in the ids of calls that the claims engine makes.
pub const CLAIMS_CALL_BIT: u64 = 1 << 63;

/// The purpose of a call, which decides what handles the reply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Reads or watches the document in force.
    Profiles,
    /// Reads the list of VMs and targets.
    List,
    /// Carries out a stage of an operator's request.
    Request(RequestId),
    /// Writes the document in force again that the service has lost.
    Restore,
    /// Reads a replaced document beyond the history limit, for its version.
    ReadExpired,
    /// Removes a replaced document beyond the history limit.
    RemoveExpired,
}

/// A call that has no reply yet.
#[derive(Clone, Debug)]
pub struct Call {
    pub purpose: Purpose,
    /// When the call was made.
    pub made: Instant,
    /// The epoch of the service in which the call was made.
    pub epoch: Epoch,
    /// When the call counts as lost.
    pub until: Instant,
}

/// The calls of the platform's service that have no reply yet.
#[derive(Debug, Default)]
pub struct Calls {
    pub rows: BTreeMap<CallId, Call>,
    /// The last id that was assigned.
    pub last: u64,
    /// The era that the service states.
    pub epoch: Epoch,
    /// Whether the last call was refused or lost.
    pub down: bool,
}
