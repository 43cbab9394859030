//! Requests of operators that wait for the platform's service.

use crate::{
    control::{Record, Request, request::Token},
    store::{CallId, Entry, Version},
    time::Instant,
};

/// The stage that a request has reached. Each stage is one call of the service
/// that may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Reads the document in force.
    Read,
    /// Reads the replaced document to which to roll back.
    Fetch,
    /// Writes the document in force to the history before it is replaced.
    Archive,
    /// Replaces the document in force.
    Swap,
    /// Looks in the history for a publication that may have been replaced since.
    Trace,
    /// Writes the document in force again, so that an earlier write that
    /// expects its version can no longer take effect.
    Fence,
    /// Reads the whole history.
    Scan,
}

/// A request of an operator that waits for the platform's service.
#[derive(Clone, Debug)]
pub struct Publication {
    pub request: Request,
    pub stage: Stage,
    /// When the request must be answered.
    pub until: Instant,
    /// The call of this stage that has no reply yet.
    pub call: Option<CallId>,
    /// When the call of this stage may be made.
    pub next: Instant,
    /// The stored version of the document in force, or `None` if the service
    /// holds no document.
    pub version: Option<Version>,
    /// The document in force at the service when it was last read.
    pub base: Option<Record>,
    /// The document to publish.
    pub proposal: Option<Record>,
    /// Identifies the publication once it has been proposed.
    pub token: Option<Token>,
    /// Whether the reply to a write of the proposal was lost, so that it may
    /// have taken effect.
    pub reply_lost: bool,
    pub entries: Vec<Entry>,
}

impl Publication {
    /// Creates the row of a request that has just arrived.
    pub fn new(request: Request, now: Instant, until: Instant) -> Publication {
        Publication {
            request,
            stage: Stage::Read,
            until,
            call: None,
            next: now,
            version: None,
            base: None,
            proposal: None,
            token: None,
            reply_lost: false,
            entries: Vec::new(),
        }
    }
}
