//! Claims: the right to run a non-idempotent operation once.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::digest::Fingerprint;

/// An idempotency key of a caller: a UUIDv7, which contains its time of issue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub Uuid);

impl Key {
    /// Returns the time of issue in milliseconds since the Unix epoch, or none
    /// if the UUID is not of version 7.
    pub fn issued_millis(&self) -> Option<u64> {
        let bits = self.0.as_u128();
        (self.0.get_version_num() == 7).then_some((bits >> 80) as u64)
    }
}

/// A request for a claim, which must be granted before a VM sends the operation
/// to a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The caller's key.
    pub key: Key,
    /// The fingerprint of the caller's request, which distinguishes a resend
    /// from the use of the same key for another request.
    pub fingerprint: Fingerprint,
    /// Identifies this run. It is drawn at random for each claim request, so
    /// that a VM can recognize its own claim after the reply to the write was
    /// lost.
    pub token: Uuid,
}

/// The recorded outcome of a claimed operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The operation ran and returned `result`.
    Done { result: Arc<str> },
    /// The operation did not run; the key may be claimed again.
    NotRun,
}

/// The answer to a claim request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim belongs to this request; the operation may run once.
    Granted,
    /// An operation with this key ran earlier and returned `result`.
    Recorded { result: Arc<str> },
    /// The key was claimed earlier, but no outcome is recorded.
    Unknown,
    /// The key belongs to a request with another fingerprint.
    Reused,
    /// The key is older than the window for which claims are kept, or its time
    /// of issue lies too far in the future.
    Expired,
    /// The time slot of the key has reached its limit of claims.
    Full,
    /// It is not known whether the claim was written; the operation must not run.
    Unsettled { detail: String },
}
