//! The control thread: one runtime, one engine, and the borders around it.
//!
//! The thread waits for events or for the earliest time at which the engine has
//! something to do, takes all events that are ready, runs one step and carries
//! out what the step left. It decides nothing.

mod codec;
mod handle;
mod thread;

use std::net::SocketAddr;

use laburnum_core::{
    border::{Journal, Platform},
    control::{Engine, Message, Outbox},
    name::Name,
};

pub use self::{
    codec::Json,
    handle::{Handle, Inbox, Submission, channel},
    thread::{Parts, spawn},
};

/// The control threads of other VMs.
pub trait Messenger {
    /// Sends a message, without a promise that it arrives.
    fn send(&mut self, vm: &Name, address: SocketAddr, message: Message);
}

/// The counters and gauges.
pub trait Meter {
    /// Adds what a step has left to be carried out.
    fn count(&mut self, out: &Outbox);
    /// Notes the state of the tables.
    fn observe(&mut self, engine: &Engine);
}

/// What the control thread works through. It is made on the thread itself, so
/// that clients find its runtime.
pub struct Borders {
    /// The platform's service.
    pub platform: Box<dyn Platform>,
    /// The other VMs.
    pub messenger: Box<dyn Messenger>,
    /// The log.
    pub journal: Box<dyn Journal>,
    /// The counters.
    pub meter: Box<dyn Meter>,
}
