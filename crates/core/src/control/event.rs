//! What the control thread takes in and puts out, as values.

use std::{collections::BTreeMap, net::SocketAddr};

use super::{Answer, Message, Request, RequestId};
use crate::{
    claims,
    log::Line,
    name::Name,
    notice::{Notice, Report},
    store::{Call, CallId, Reply},
};

/// Something that happened outside of the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A traffic thread reports.
    Report { thread: u16, report: Report },
    /// Another VM's control thread sent a message.
    Message(Message),
    /// The platform's service answered a call.
    Reply { call: CallId, reply: Reply },
    /// An operator asks for something.
    Request { id: RequestId, request: Request },
    /// The process was asked to shut down.
    Leave,
}

/// The traffic threads that a notice is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient {
    /// All of them.
    All,
    /// The one with this number.
    Thread(u16),
}

/// A message on its way to another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver.
    pub vm: Name,
    /// Where its control thread listens.
    pub address: SocketAddr,
    /// The message.
    pub message: Message,
}

/// What a step leaves to be carried out.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Calls of the platform's service.
    pub calls: Vec<(CallId, Call)>,
    /// Messages to other VMs.
    pub messages: Vec<Envelope>,
    /// Notices to the traffic threads.
    pub notices: Vec<(Recipient, Notice)>,
    /// Answers to operators.
    pub answers: Vec<(RequestId, Answer)>,
    /// What happened to claims, and how often.
    pub claims: BTreeMap<claims::Count, u64>,
    /// Lines of the log.
    pub lines: Vec<Line>,
}
