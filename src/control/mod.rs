//! The control thread: one runtime, one engine, and the borders around it.
//!
//! The thread waits for events or for the earliest time at which the engine has
//! something to do, takes the events that are ready, runs one tick of the
//! engine and carries out the outbox of the tick. It decides nothing.

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

/// Sends messages to the control threads of other VMs.
pub trait Messenger {
    /// Sends a message, which may get lost on the way.
    fn send(&mut self, vm: &Name, address: SocketAddr, message: Message);
}

/// Counts what the control thread does, in counters and gauges.
pub trait Meter {
    /// Adds the calls and claim counts in the outbox of a tick.
    fn count(&mut self, out: &Outbox);
    /// Updates the gauges from the tables.
    fn observe(&mut self, engine: &Engine);
}

/// The borders through which the control thread acts. They are made on the
/// thread itself, because the clients behind them need its runtime.
pub struct Borders {
    pub platform: Box<dyn Platform>,
    /// The control threads of other VMs.
    pub messenger: Box<dyn Messenger>,
    pub journal: Box<dyn Journal>,
    pub meter: Box<dyn Meter>,
}
