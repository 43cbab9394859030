//! Open requests of callers at their entry.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use uuid::Uuid;

use crate::{
    claim,
    digest::Fingerprint,
    fault::{Fault, Ran},
    id,
    key::Set,
    name::Name,
    profile::Profile,
    target::{Row, Version},
    time::Instant,
    traffic::Call,
};

/// An open request of a caller.
#[derive(Clone, Debug)]
pub struct Query {
    /// The call of the front end that waits for the answer.
    pub call: Call,
    /// The name of the profile.
    pub profile: Name,
    /// The content of the profile as it was in force when the request arrived.
    pub pinned_profile: Profile,
    /// The revision of the profiles that `pinned_profile` was taken from.
    pub revision: u64,
    pub task: Task,
    pub fingerprint: Fingerprint,
    pub arrived: Instant,
    /// When the answer is due.
    pub deadline: Instant,
    /// The legs in flight.
    pub legs: BTreeSet<id::Leg>,
    /// The attempts at targets that the replies have reported so far.
    pub attempts: u32,
    /// Whether any part of the request ran, as far as the replies tell.
    pub ran: Ran,
}

/// What a caller asks for, and how far it has got.
#[derive(Clone, Debug)]
pub enum Task {
    /// Reads the rows that match a text.
    Search(Search),
    /// Runs an operation at most once.
    Operation(Operation),
}

/// The state of a search.
#[derive(Clone, Debug)]
pub struct Search {
    /// The text to match.
    pub text: Arc<str>,
    /// The version that every row is read at, or none until it is pinned.
    pub version: Option<Version>,
    /// The keys that were read at that version.
    pub covered: Set,
    /// The rows that were read at that version.
    pub rows: Vec<Row>,
    /// The keys whose legs failed and were not sent again.
    pub failed_keys: Set,
    /// How often legs were planned.
    pub plans: u32,
    /// The targets that were lost while they ran the search on trial, each with
    /// its shard.
    pub crashed: BTreeMap<Name, Name>,
    /// The trials that ran and failed so far, while the search is tried at one
    /// shard at a time; none once it goes to all shards.
    pub trial: Option<u32>,
    /// The fault that ends the whole search, if a leg met one.
    pub fault: Option<Fault>,
}

/// The state of an operation.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The key in the index that the operation changes.
    pub subject: u64,
    /// The name of the operation.
    pub operation: Name,
    /// The content of the operation.
    pub detail: Arc<str>,
    /// The caller's idempotency key.
    pub key: claim::Key,
    /// Identifies this run among all runs with the same idempotency key.
    pub token: Uuid,
    pub stage: Stage,
}

/// The progress of an operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The claim is requested; nothing may be sent yet.
    Claiming,
    /// The claim was granted, and nothing is sent yet.
    Granted,
    /// The operation was sent to a home and may run.
    Sent,
    /// The answer for the caller is known.
    Settled(Result<Settled, Fault>),
}

/// The result of an operation that has run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The text that the target returned.
    pub result: Arc<str>,
    /// Whether the result was recorded by an earlier request with the same
    /// idempotency key.
    pub replayed: bool,
}

impl Operation {
    /// The claim for this run.
    pub fn claim(&self, fingerprint: Fingerprint) -> claim::Request {
        claim::Request { key: self.key, fingerprint, token: self.token }
    }
}
