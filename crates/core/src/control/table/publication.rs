//! Requests of operators that wait for the platform's service.

use crate::{
    control::{Record, Request, request::Token},
    store::{CallId, Entry, Version},
    time::Instant,
};

/// The step that a request has reached; each step is one call of the service
/// that may be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Read the document in force.
    Read,
    /// Read the replaced document to which to roll back.
    Fetch,
    /// Keep the document in force in the history before it is replaced.
    Keep,
    /// Replace the document in force.
    Swap,
    /// Look in the history for a publication that may have been replaced since.
    Trace,
    /// Write the document in force again, so that an earlier write that expects
    /// its version can no longer take effect.
    Fence,
    /// Read the history.
    Scan,
}

/// A request of an operator that waits for the platform's service.
#[derive(Clone, Debug)]
pub struct Publication {
    /// What was asked.
    pub request: Request,
    /// The step that it has reached.
    pub stage: Stage,
    /// When it must be answered.
    pub until: Instant,
    /// The call that is under way.
    pub call: Option<CallId>,
    /// When the step is next tried.
    pub next: Instant,
    /// The version of the document in force, or none if there is none.
    pub version: Option<Version>,
    /// The document in force.
    pub base: Option<Record>,
    /// What is to be published.
    pub offer: Option<Record>,
    /// Names the publication.
    pub token: Option<Token>,
    /// Whether an answer to a write of the offer was lost.
    pub lost: bool,
    /// The entries of the history.
    pub entries: Vec<Entry>,
}

impl Publication {
    /// A request that has just come in.
    pub fn new(request: Request, now: Instant, until: Instant) -> Publication {
        Publication {
            request,
            stage: Stage::Read,
            until,
            call: None,
            next: now,
            version: None,
            base: None,
            offer: None,
            token: None,
            lost: false,
            entries: Vec::new(),
        }
    }
}
