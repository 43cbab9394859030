//! Messages between the control threads of VMs about claims.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::layout::Bucket;
use crate::{
    claim::{Outcome, Request, Verdict},
    store::Era,
    time::Wall,
};

/// A claim, sent to the home of its bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    pub request: Request,
    /// The time until the deadline of the operation.
    pub remaining: Duration,
}

/// The answer of a home to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The token of the answered claim.
    pub token: Uuid,
    pub verdict: Verdict,
    /// Whether the claim may be stored although it was not granted. The requester
    /// then releases it.
    pub maybe_stored: bool,
}

/// An outcome to be recorded for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub request: Request,
    pub outcome: Outcome,
}

/// A message about claims from one control thread to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Claims for buckets whose home is the receiver.
    Claims(Vec<Claim>),
    /// Answers to claims of the receiver.
    Answers(Vec<Answer>),
    /// Outcomes for buckets whose home is the receiver.
    Records(Vec<Record>),
    /// Tokens of outcomes of the receiver that need not be sent again.
    Recorded(Vec<Uuid>),
    /// The wall clock of the sender, for the VM that advances the floor.
    Clock { wall: Wall },
    /// The era that the store stated to the sender, which follows an earlier one.
    Era(Era),
    /// The sender wrote a bucket of which the receiver is home, for instance because the
    /// requester did not reach the receiver.
    Written(Bucket),
}
