//! Messages between the control threads of VMs about claims.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::{
    claim::{Outcome, Request, Verdict},
    time::Wall,
};

/// A request for the right to run, sent to the home of its bucket.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// What is claimed.
    pub request: Request,
    /// The time that remains until the deadline.
    pub remaining: Duration,
}

/// The answer of a home to a [`Claim`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The token of the claim.
    pub token: Uuid,
    /// The answer.
    pub verdict: Verdict,
    /// Whether the claim may be stored although it was not granted, so that the
    /// requester has to release it.
    pub held: bool,
}

/// An outcome to be recorded for a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// What was claimed.
    pub request: Request,
    /// The outcome.
    pub outcome: Outcome,
}

/// A message from one control thread to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Claims for buckets whose home is the receiver.
    Claims(Vec<Claim>),
    /// Answers to claims of the receiver.
    Answers(Vec<Answer>),
    /// Outcomes for buckets whose home is the receiver.
    Records(Vec<Record>),
    /// The tokens of the receiver whose outcomes need not be sent again.
    Recorded(Vec<Uuid>),
    /// The wall clock of the sender, for the VM that moves the floor.
    Clock { wall: Wall },
}
