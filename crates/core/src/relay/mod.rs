//! Forwards callers' requests by route, to one target or to one of each shard.
//!
//! Tables hold requests, legs, attempts, targets and connections; the systems
//! run over them in the order of [`system`]. Nothing here knows a protocol: a
//! front end hands in an [`message::CallerRequest`] and gets an [`message::Answer`], a
//! client of the targets carries out each [`Command`] and reports an [`Event`].
//! See `docs/design/platform.md`.

pub mod hop;
pub mod message;
pub mod route;
pub mod view;
pub mod limits;
pub mod policy;
pub mod table;
pub mod system;
pub mod engine;
pub mod feed;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use crate::{count::Counts, digest::Fingerprint, log::Line, name::Name};

pub use self::{
    engine::Engine,
    hop::Hop,
    limits::Limits,
    message::{Answer, Call, CallerRequest, Message, Reply},
    route::{Config, Route},
    table::Tables,
    view::View,
};

/// The id of an attempt within one traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt(pub u64);

/// The id of a connection within one traffic thread.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// What a traffic thread learns.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller's request.
    Arrived { call: Call, caller_request: CallerRequest },
    /// A caller went away before its answer.
    Abandoned { call: Call },
    /// A connection is open.
    Opened { connection: Connection },
    /// A target answered an attempt.
    Replied { connection: Connection, attempt: Attempt, reply: Box<Reply> },
    /// A connection can be used no more.
    Closed { connection: Connection, loss: Loss },
    /// Another VM says something.
    Hop { from: Name, hop: Hop },
    /// What was sent to another VM may be lost; `maybe_received` tells whether that VM may
    /// have taken any of it.
    HopLost { to: Name, detail: String, maybe_received: bool },
    /// The control thread has a newer view.
    View(Arc<View>),
}

/// What became of the request that a lost connection carried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Loss {
    /// Whether some of a request may have reached the target.
    pub sent: bool,
    /// Whether the connection ended in an orderly way between two requests.
    pub idle: bool,
    /// Whether the target ended the connection or refused it, as one does whose
    /// process is gone; a target that is only silent does neither.
    pub gone: bool,
    /// What happened, for people.
    pub detail: String,
}

/// What a traffic thread asks of the client of the targets.
#[derive(Clone, Debug)]
pub enum Command {
    /// Opens a connection.
    Open { connection: Connection, address: SocketAddr },
    /// Sends a request as soon as the connection is open.
    Send { connection: Connection, attempt: Attempt, target_request: TargetRequest },
    /// Closes a connection, whatever it carries.
    Close { connection: Connection },
    /// Tells another VM something.
    Hop { to: Name, address: SocketAddr, hop: Hop },
}

/// A request for one target.
#[derive(Clone, Debug)]
pub struct TargetRequest {
    /// The request as the caller sent it.
    pub caller_request: Arc<CallerRequest>,
    /// The target that is meant; any other one must refuse.
    pub target: Name,
    /// The time that is left for the run.
    pub time_left: Duration,
}

/// What a step leaves to be done.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Orders for the client of the targets.
    pub commands: Vec<Command>,
    /// Answers to callers.
    pub answers: Vec<(Call, Answer)>,
    /// Lines for the log.
    pub lines: Vec<Line>,
    /// The requests that this VM holds back from now on.
    pub held: Vec<Fingerprint>,
    /// What was counted.
    pub counts: Counts,
}
