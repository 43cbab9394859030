//! Requests of callers at their entry.

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

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Query {
    /// The call of the front end that waits for the answer.
    pub call: Call,
    /// The name of its profile.
    pub profile: Name,
    /// The profile as it was in force at the start.
    pub terms: Profile,
    /// The revision of the profile.
    pub revision: u64,
    /// What is asked.
    pub task: Task,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// When it arrived.
    pub arrived: Instant,
    /// When its answer is due.
    pub deadline: Instant,
    /// Its legs in flight.
    pub legs: BTreeSet<id::Leg>,
    /// The attempts at targets so far.
    pub attempts: u32,
    /// Whether any part of it ran, as far as its replies tell.
    pub ran: Ran,
}

/// What a caller asks.
#[derive(Clone, Debug)]
pub enum Task {
    /// Read the rows that match.
    Search(Search),
    /// Run an operation once.
    Operation(Operation),
}

/// The state of a search.
#[derive(Clone, Debug)]
pub struct Search {
    /// The text to match.
    pub text: Arc<str>,
    /// The version that every row comes from, once it is pinned.
    pub version: Option<Version>,
    /// The keys that were answered at that version.
    pub covered: Set,
    /// The rows that were answered.
    pub rows: Vec<Row>,
    /// The keys whose legs failed and were not sent again.
    pub lost: Set,
    /// How often legs were planned.
    pub plans: u32,
    /// The targets that were lost while they ran it on trial, with their shards.
    pub crashed: BTreeMap<Name, Name>,
    /// The shards at which it was tried alone, while it is not sent to all.
    pub trial: Option<u32>,
    /// The fault that ends the whole search, if a leg met one.
    pub fault: Option<Fault>,
}

/// The state of an operation.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The key that is changed.
    pub subject: u64,
    /// What is done to it.
    pub operation: Name,
    /// The content of the operation.
    pub detail: Arc<str>,
    /// The caller's idempotency key.
    pub key: claim::Key,
    /// Names this one run.
    pub token: Uuid,
    /// How far it is.
    pub stage: Stage,
}

/// How far an operation is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The claim was asked for; nothing may be sent.
    Claiming,
    /// The claim was granted and nothing was sent yet.
    Granted,
    /// The operation was handed to a home.
    Sent,
    /// The operation has an answer.
    Settled(Result<Settled, Fault>),
}

/// The result of an operation that ran.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// What the target returned.
    pub result: Arc<str>,
    /// Whether it was recorded by an earlier request with the same key.
    pub replayed: bool,
}

impl Operation {
    /// The claim for this run.
    pub fn claim(&self, fingerprint: Fingerprint) -> claim::Request {
        claim::Request { key: self.key, fingerprint, token: self.token }
    }
}
