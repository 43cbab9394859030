//! Forwards callers' requests by route, to one target or to one target of each
//! shard.
//!
//! Tables hold requests, legs, attempts, targets and connections; the systems
//! run over them in the order given in [`system`]. Nothing here knows a protocol: a
//! front end hands in a [`message::CallerRequest`] and gets an [`message::Answer`], and the
//! client of the targets carries out each [`Command`] and reports each [`Event`].
//! See `docs/design/platform.md`.

pub mod hop;
pub mod message;
pub mod route;
pub mod view;
pub mod limits;
pub mod suspicion;
pub mod policy;
pub mod table;
pub mod system;
pub mod engine;
pub mod feed;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{count::Counts, log::Line, name::Name, time::Instant};

pub use self::{
    engine::Engine,
    hop::{Hop, Reach},
    limits::Limits,
    message::{Answer, Call, CallerRequest, Message, Reply},
    route::{Config, Route},
    suspicion::{Quarantine, Suspicion},
    table::Tables,
    view::View,
};

/// The id of an attempt within one traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// The id of a connection within one traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// The input of a traffic thread.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request arrived.
    Arrived { call: Call, caller_request: CallerRequest },
    /// A caller disconnected before its answer.
    Abandoned { call: Call },
    /// A connection was opened.
    Opened { connection: Connection },
    /// A target answered an attempt.
    Replied { connection: Connection, attempt: Attempt, reply: Box<Reply> },
    /// There was no room for the reply to an attempt, or, unless it was sent, for the connection
    /// that it needs. The connection is closed.
    Unheld { connection: Connection, attempt: Attempt, sent: bool },
    /// A connection was closed or lost.
    Closed { connection: Connection, loss: Loss },
    /// A message from another VM arrived.
    Hop { from: Name, hop: Hop },
    /// A message from another VM arrived, but there was no room for its body.
    HopUnheld { from: Name, hop: Hop },
    /// Messages to another VM may be lost; `maybe_received` is false if that VM
    /// cannot have received any of them.
    HopLost { to: Name, detail: String, maybe_received: bool },
    /// The VM shuts down; every request is to be answered by `at`.
    Stopping { at: Instant },
    /// Another VM told what it found out about requests that may crash targets.
    Suspicions(Vec<Suspicion>),
    /// The control thread published a newer view.
    View(Arc<View>),
}

/// How a connection ended, and what that means for the request on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Whether a part of a request may have reached the target.
    pub sent: bool,
    /// Whether the connection was closed in an orderly way between two requests.
    pub idle: bool,
    /// Whether the target closed or refused the connection, as happens when its
    /// process is gone. A target that merely does not answer does neither.
    pub gone: bool,
    /// A description of the cause, for the log.
    pub detail: String,
}

/// A command of a traffic thread to the client of the targets.
#[derive(Clone, Debug)]
pub enum Command {
    /// Opens a connection.
    Open { connection: Connection, address: SocketAddr },
    /// Sends a request as soon as the connection is open.
    Send { connection: Connection, attempt: Attempt, target_request: TargetRequest },
    /// Closes a connection, even if it carries an attempt.
    Close { connection: Connection },
    /// Sends a message to another VM.
    Hop { to: Name, address: SocketAddr, hop: Hop },
}

/// A request for one target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    pub caller_request: Arc<CallerRequest>,
    /// The target that the request is meant for; any other one must refuse it.
    pub target: Name,
    /// The time that the target has to answer.
    pub time_left: Duration,
}

/// The output of a tick.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Commands for the client of the targets.
    pub commands: Vec<Command>,
    /// Answers to callers.
    pub answers: Vec<(Call, Answer)>,
    pub lines: Vec<Line>,
    /// The requests that this VM quarantines from this tick on.
    pub quarantined: Vec<Quarantine>,
    /// What to tell the other VMs about requests that may crash targets.
    pub suspicions: Vec<Suspicion>,
    pub counts: Counts,
}
