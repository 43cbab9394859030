//! Traits at the borders between the decisions and the rest of the process.
//!
//! An implementation carries out commands and reports back through the event
//! channel that it receives when it is created; it makes no decisions. Tests
//! implement the traits with fakes.

use std::{collections::BTreeMap, net::SocketAddr};

use crate::{
    log::Line,
    message::Message,
    store::{Call, CallId},
    target::Command,
    time::{Instant, Wall},
    view::Lane,
};

/// The client of the platform's key-value service and of its list.
pub trait Platform {
    /// Starts a call; its [`crate::store::Outcome`] is reported under `id`.
    fn call(&mut self, id: CallId, call: Call);
    /// Closes the connections that no call uses, because they may have gone silent.
    fn drop_idle(&mut self);
}

/// The client of the targets.
pub trait Targets {
    /// Starts a command; [`crate::target::Event`]s report its result.
    fn command(&mut self, command: Command);
}

/// The connections to traffic threads of other VMs and to the other traffic
/// threads of this VM.
pub trait Peers {
    /// Sends a message without a guarantee of delivery.
    fn send(&mut self, lane: &Lane, message: Message);
    /// Replaces the addresses at which the lanes listen.
    fn update(&mut self, addresses: BTreeMap<Lane, SocketAddr>);
}

/// The writer of the log.
pub trait Journal {
    fn write(&mut self, line: &Line);
}

/// The clocks of this machine.
pub trait Clock {
    /// The monotonic time since the start of the process.
    fn now(&self) -> Instant;
    /// The wall-clock time, which may jump.
    fn wall(&self) -> Wall;
}
