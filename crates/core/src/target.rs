//! Typed requests to targets and their replies.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{id, key, name::Name};

/// The version of an index; a greater number is newer.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version(pub u64);

/// One row of an answer.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Row {
    /// The position of the row in the key space.
    pub key: u64,
    pub body: Arc<str>,
}

/// The work that a request asks of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Work {
    /// Read the rows of `range` that match `text` at `version`.
    Search { version: Version, range: key::Range, text: Arc<str> },
    /// Run a non-idempotent operation once. `token` identifies this run.
    Operate { subject: u64, operation: Name, detail: Arc<str>, token: uuid::Uuid },
}

/// A request to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The id that the target echoes in its reply.
    pub attempt: id::Attempt,
    pub work: Work,
    /// The time that remains until the deadline.
    pub remaining: Duration,
}

/// The state that a target reports with each reply.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The incarnation of the target; a later start has a greater number.
    pub incarnation: u64,
    /// Whether the target is leaving and accepts no new work.
    pub draining: bool,
    /// The range that the target holds at each version.
    pub holds: BTreeMap<Version, key::Range>,
}

/// Why a target refused a request. A refused request was not started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Refusal {
    /// All slots are in use.
    Shed,
    /// The target is leaving and accepts no new work.
    Draining,
    /// The target no longer holds the version.
    VersionGone,
    /// The target does not hold the whole range at the version.
    RangeMoved,
    /// The deadline had passed when the request reached a slot.
    DeadlinePassed,
    /// The request was cancelled before it reached a slot.
    Cancelled,
}

/// The result of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The rows of a search, with the version and range that were read.
    Rows { version: Version, range: key::Range, rows: Vec<Row>, count: u64, digest: u64 },
    /// The operation ran and returned `result`.
    Done { result: Arc<str> },
    /// The request was not started.
    Refused(Refusal),
    /// The reply was truncated or could not be decoded. The request may have
    /// run.
    Garbled { detail: String },
}

/// A reply of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The id that the target echoed, if any.
    pub attempt: Option<id::Attempt>,
    pub outcome: Outcome,
    /// The state that the target reported, if any.
    pub status: Option<Status>,
}

/// A command to the client of the targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Open a connection and read the target's status over it.
    Open { connection: id::Connection, address: SocketAddr, limit: Duration },
    /// Send a request over an open connection.
    Send { connection: id::Connection, request: Request },
    /// Cancel a request whose reply is no longer needed.
    Cancel { connection: id::Connection, attempt: id::Attempt },
    /// Read the target's status over an open connection.
    ReadStatus { connection: id::Connection, limit: Duration },
    /// Close a connection and abandon the requests on it.
    Close { connection: id::Connection },
}

/// A report of the client of the targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The connection is open and the target reported its status.
    Opened { connection: id::Connection, status: Status },
    /// The target answered [`Command::ReadStatus`].
    Status { connection: id::Connection, status: Status },
    /// The target answered the request that was sent as `attempt`.
    Reply { connection: id::Connection, attempt: id::Attempt, reply: Reply },
    /// The request was not sent on the connection, so it did not run.
    Unsent { connection: id::Connection, attempt: id::Attempt },
    /// The connection was lost or could not be opened. Requests sent on it may
    /// have run.
    Closed { connection: id::Connection, detail: String },
}
