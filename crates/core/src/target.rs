//! The border to the targets, as typed requests and replies.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{id, key, name::Name};

/// The version of an index; a greater one is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// One row of an answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// The place of the row in the key space.
    pub key: u64,
    /// The content.
    pub body: Arc<str>,
}

/// What is asked of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Read the rows of `range` that match `text` at `version`.
    Search { version: Version, range: key::Range, text: Arc<str> },
    /// Run a non-idempotent operation once. `token` names this one run.
    Operate { subject: u64, operation: Name, detail: Arc<str>, token: uuid::Uuid },
}

/// A request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The id that the target echoes.
    pub attempt: id::Attempt,
    /// What is asked.
    pub work: Work,
    /// The time that remains until the deadline.
    pub remaining: Duration,
}

/// What a target says of itself with each reply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The start of the target; a later start has a greater number.
    pub incarnation: u64,
    /// Whether it is leaving and takes no new work.
    pub draining: bool,
    /// The ranges that it holds, by version.
    pub holds: BTreeMap<Version, key::Range>,
}

/// Why a target did not run a request. In each case it was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// All slots are taken.
    Shed,
    /// The target is leaving.
    Draining,
    /// The target no longer holds the version.
    VersionGone,
    /// The target does not hold the whole range at the version.
    RangeMoved,
    /// The deadline had passed when the request reached a slot.
    DeadlinePassed,
    /// The request was withdrawn before it reached a slot.
    Cancelled,
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rows of a search, with the version and range that were read.
    Rows { version: Version, range: key::Range, rows: Vec<Row>, count: u64, digest: u64 },
    /// The operation ran; this is what it returned.
    Done { result: Arc<str> },
    /// The request was not started.
    Refused(Refusal),
    /// The target answered what the client could not read, or cut it. The
    /// request may have run.
    Garbled { detail: String },
}

/// A reply of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The id that the target echoed, if it echoed one.
    pub attempt: Option<id::Attempt>,
    /// The result.
    pub outcome: Outcome,
    /// What the target says of itself.
    pub status: Option<Status>,
}

/// An order to the client of the targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection and read the target's status over it.
    Open { connection: id::Connection, address: SocketAddr, limit: Duration },
    /// Send a request over an open connection.
    Send { connection: id::Connection, request: Request },
    /// Withdraw a request; its reply is of no more use.
    Cancel { connection: id::Connection, attempt: id::Attempt },
    /// Read the target's status over an open connection.
    ReadStatus { connection: id::Connection, limit: Duration },
    /// Close a connection with all that runs on it.
    Close { connection: id::Connection },
}

/// What the client of the targets reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection is open and the target said this of itself.
    Opened { connection: id::Connection, status: Status },
    /// The target answered [`Command::ReadStatus`].
    Status { connection: id::Connection, status: Status },
    /// The target answered the request that was sent as `attempt`.
    Reply { connection: id::Connection, attempt: id::Attempt, reply: Reply },
    /// The request could not be handed to the connection; it did not run.
    Unsent { connection: id::Connection, attempt: id::Attempt },
    /// The connection was lost or could not be opened; what ran on it may have
    /// run.
    Closed { connection: id::Connection, detail: String },
}
