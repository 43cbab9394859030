//! Messages between the traffic threads of VMs.
//!
//! They are typed here and encoded elsewhere, so that another codec or
//! transport can carry them.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    digest::Fingerprint,
    fault::{Kind, Ran},
    id, key,
    name::Name,
    target::{Row, Version, Work},
};

/// A leg that an entry hands to the home of its shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leg {
    /// The id of the leg, echoed in the reply.
    pub leg: id::Leg,
    /// The query that it belongs to, for the logs.
    pub query: id::Query,
    /// The index of the shard.
    pub index: Name,
    /// The shard.
    pub shard: Name,
    /// The profile under which it runs.
    pub profile: Name,
    /// What is asked of a target.
    pub work: Work,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The time that remains until the deadline.
    pub remaining: Duration,
    /// Whether the search is tried at this shard before it goes to the others.
    pub trial: bool,
}

/// The result of a leg.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The rows of `range` at `version`.
    Rows { version: Version, range: key::Range, rows: Vec<Row>, digest: u64 },
    /// The operation ran and returned this.
    Done { result: Arc<str> },
    /// No target of the shard holds the range at the version any more.
    Moved { ran: Ran },
    /// This target was lost while it ran the search on trial. The entry decides
    /// where it is tried next.
    Lost { target: Name },
    /// The leg was refused or failed.
    Failed { kind: Kind, ran: Ran, detail: String },
}

/// The reply of a home to a leg.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The id of the leg.
    pub leg: id::Leg,
    /// Its result.
    pub outcome: Outcome,
    /// The attempts at targets that the leg took.
    pub attempts: u32,
    /// The time that a leg which arrives now is expected to wait for a slot.
    pub backlog: Duration,
}

/// What a shard holds, as its home knows it from the targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The index of the shard.
    pub index: Name,
    /// The shard.
    pub shard: Name,
    /// The ranges by version that targets which take work hold.
    pub ranges: Vec<HeldRange>,
}

/// A range that targets of a shard hold at a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldRange {
    /// The version.
    pub version: Version,
    /// The range.
    pub range: key::Range,
    /// The number of targets that hold it.
    pub replicas: u32,
}

/// A message from one traffic thread to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Legs of any number of queries for shards whose home is the receiver.
    Legs(Vec<Leg>),
    /// Legs whose replies are of no more use.
    Cancels(Vec<id::Leg>),
    /// Replies to legs of the receiver.
    Replies(Vec<Reply>),
    /// What the shards hold whose home is the sender.
    Holdings(Vec<Holding>),
    /// Asks for the holdings of all shards whose home is the receiver.
    AskHoldings,
    /// Asks for a sign of life.
    Ping,
    /// The sign of life.
    Pong,
}
