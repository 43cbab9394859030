//! The inputs and outputs of the control thread, as values.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{Answer, Message, Request, RequestId};
use crate::{
    claims,
    log::Line,
    name::Name,
    notice::{Notice, Report},
    store::{Call, CallId, Outcome},
};

/// An input of the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A traffic thread sent a report.
    Report { thread: u16, report: Report },
    /// The control thread of another VM sent a message.
    Message(Message),
    /// The platform's service answered a call.
    Store(Outcome),
    /// An operator sent a request.
    Request { id: RequestId, request: Request },
    /// The process was asked to shut down.
    Leave,
}

/// The traffic threads to which a notice is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    All,
    /// The traffic thread with this number.
    Thread(u16),
}

/// A message with the VM and the address to which it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    pub vm: Name,
    /// The address of the receiver's control thread.
    pub address: SocketAddr,
    pub message: Message,
}

/// The outputs of a tick, to be carried out by the thread that runs it.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Calls to make to the platform's service.
    pub calls: Vec<(CallId, Call)>,
    pub messages: Vec<Envelope>,
    pub notices: Vec<(Recipient, Notice)>,
    /// Answers to requests of operators.
    pub answers: Vec<(RequestId, Answer)>,
    /// Counts of the claims engine to add to the metrics.
    pub claims: BTreeMap<claims::Count, u64>,
    /// Lines to write to the log.
    pub lines: Vec<Line>,
}
