//! The borders of the decisions, as traits whose implementations vary.
//!
//! A client behind a border carries orders out and reports back through the
//! event channel that it was given when it was made; it decides nothing. Tests
//! put fakes here.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    log::Line,
    message::Message,
    store::{Call, CallId},
    target::Command,
    time::{Instant, Wall},
    view::Lane,
};

/// The platform's key-value service and list.
pub trait Platform {
    /// Starts a call; its [`crate::store::Reply`] is reported under `id`.
    fn call(&mut self, id: CallId, call: Call);
}

/// The targets.
pub trait Targets {
    /// Starts to carry out an order; [`crate::target::Event`]s report on it.
    fn command(&mut self, command: Command);
}

/// The traffic threads of other VMs and the siblings of this one.
pub trait Peers {
    /// Sends a message, without a promise that it arrives.
    fn send(&mut self, lane: &Lane, message: Message);
    /// Takes the addresses at which the lanes listen from now on.
    fn update(&mut self, addresses: BTreeMap<Lane, SocketAddr>);
}

/// The writer of the log.
pub trait Journal {
    /// Writes a line.
    fn write(&mut self, line: &Line);
}

/// The clocks of this machine.
pub trait Clock {
    /// The monotonic time since the start of the process.
    fn now(&self) -> Instant;
    /// The wall-clock time, which may jump.
    fn wall(&self) -> Wall;
}
