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
    control::Message,
    name::Name,
};

pub use self::{
    codec::Json,
    handle::{Ask, Handle, Inbox, channel},
    thread::{Parts, spawn},
};

/// The control threads of other VMs.
pub trait Messenger {
    /// Sends a message, without a promise that it arrives.
    fn send(&mut self, vm: &Name, address: SocketAddr, message: Message);
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
}
