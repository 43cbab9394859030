//! Messages between the traffic threads of VMs.
//!
//! This module defines only their types; they are encoded elsewhere, so that
//! the codec and the transport can be replaced.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    digest::Fingerprint,
    fault::{Kind, Ran},
    id, key,
    name::Name,
    target::{Row, Version, Work},
};

/// A leg that the entry VM of a query sends to the home of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leg {
    /// The id of the leg, which the reply repeats.
    pub leg: id::Leg,
    /// The query of the leg, for the logs.
    pub query: id::Query,
    /// The index of the shard.
    pub index: Name,
    pub shard: Name,
    /// The profile of the request.
    pub profile: Name,
    /// The work for a target.
    pub work: Work,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The time that remains until the deadline.
    pub remaining: Duration,
    /// Whether this shard tries the search before it is sent to the others.
    pub trial: bool,
}

/// The result of a leg.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The rows of `range` at `version`.
    Rows { version: Version, range: key::Range, rows: Vec<Row>, digest: u64 },
    /// The operation ran and returned `result`.
    Done { result: Arc<str> },
    /// No target of the shard still holds the range at the version.
    Moved { ran: Ran },
    /// The connection to `target` was lost while it ran a search on trial. The
    /// entry VM decides where the search is tried next.
    Lost { target: Name },
    /// The leg was refused or failed.
    Failed { kind: Kind, ran: Ran, detail: String },
}

/// The reply of a home to a leg.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The id of the leg.
    pub leg: id::Leg,
    pub outcome: Outcome,
    /// The number of attempts at targets.
    pub attempts: u32,
    /// The expected time that a leg which arrives now waits for a slot.
    pub backlog: Duration,
}

/// The ranges that a shard holds, as its home knows them from the targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The index of the shard.
    pub index: Name,
    pub shard: Name,
    /// The ranges by version that targets hold which accept work.
    pub ranges: Vec<HeldRange>,
}

/// A range that targets of a shard hold at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldRange {
    pub version: Version,
    pub range: key::Range,
    /// The number of targets that hold the range.
    pub replicas: u32,
}

/// A message from one traffic thread to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Legs for shards whose home is the receiver; they may belong to several
    /// queries.
    Legs(Vec<Leg>),
    /// Cancels legs whose replies are no longer needed.
    Cancels(Vec<id::Leg>),
    /// Replies to legs that the receiver sent.
    Replies(Vec<Reply>),
    /// The holdings of the shards whose home is the sender.
    Holdings(Vec<Holding>),
    /// Requests the holdings of all shards whose home is the receiver.
    AskHoldings,
    /// Checks that the connection and the receiver respond.
    Ping,
    /// The answer to [`Message::Ping`].
    Pong,
}
