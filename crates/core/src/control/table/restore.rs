//! The document in force that the platform's service has lost.

use crate::{
    control::Record,
    store::{CallId, Version},
    time::Instant,
};

/// The step that writing a lost document again has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Writes the document that the service holds to the history.
    Archive,
    /// Replaces the document that the service holds.
    Swap,
}

/// The document in force that the service has lost and that is to be written again.
#[derive(Clone, Debug)]
pub struct Restore {
    pub step: Step,
    /// When the call of this step may be made.
    pub next: Instant,
    /// The call of this step that has no reply yet.
    pub call: Option<CallId>,
    /// The version of the document that the service holds, or none if it holds none.
    pub version: Option<Version>,
    /// The document that the service holds.
    pub base: Option<Record>,
}
