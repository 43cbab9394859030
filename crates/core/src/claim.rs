//! Claims: the right to run a non-idempotent operation once.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::digest::Fingerprint;

/// An idempotency key of a caller: a UUIDv7, which holds its time of issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub Uuid);

impl Key {
    /// The time of issue in milliseconds since the Unix epoch, or none if this
    /// is no UUIDv7.
    pub fn issued_millis(&self) -> Option<u64> {
        let bits = self.0.as_u128();
        (self.0.get_version_num() == 7).then_some((bits >> 80) as u64)
    }
}

/// The right that a VM asks for before it sends anything.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The caller's key.
    pub key: Key,
    /// The fingerprint of the request, so that a key that is used for another
    /// request is told apart from a resend.
    pub fingerprint: Fingerprint,
    /// Names this one run; drawn anew for each request, so that a VM can tell
    /// its own claim from another's when the answer to a write was lost.
    pub token: Uuid,
}

/// The outcome that is recorded for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The operation ran and returned this.
    Done { result: Arc<str> },
    /// Nothing ran; the key may be claimed again.
    NotRun,
}

/// The answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is this request's own; it may run, once.
    Granted,
    /// The key ran earlier with this result.
    Recorded { result: Arc<str> },
    /// The key was claimed earlier and no outcome is recorded.
    Unknown,
    /// The key belongs to a request with another fingerprint.
    Reused,
    /// The key is older than the window in which keys are remembered, or its
    /// time of issue lies too far ahead.
    Expired,
    /// The time slot of the key holds no more claims.
    Full,
    /// It could not be settled whether the claim was written; nothing may run.
    Unsettled { detail: String },
}
