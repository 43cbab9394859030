//! The client of the targets: JSON over HTTP/2, one TCP connection for each
//! row of the connection table.
//!
//! The client carries out [`Command`]s and reports [`Event`]s; it decides nothing. Each
//! connection is served by a task of its own, so that a slow exchange never delays
//! another. A target limits the number of its connections, so a lost connection is
//! reported and never replaced automatically; see `dial`. What a target can make a
//! connection read without delivering anything is bounded; see [`meter`].

use std::collections::BTreeMap;

use laburnum_core::{
    border::Targets,
    id,
    target::{Command, Event},
};
use tokio::sync::mpsc::{self, UnboundedSender};

pub mod body;
mod connection;
mod dial;
mod exchange;
pub mod frame;
pub mod meter;
mod socket;

use self::connection::Action;
use crate::memory::Ledger;

/// The longest reply body that is read by default, in bytes.
const BODY_BYTES: usize = 8 << 20;

/// The limits on replies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest reply body that is read, in bytes.
    pub body_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { body_bytes: BODY_BYTES }
    }
}

/// The rules for the replies on a connection.
#[derive(Clone, Debug)]
struct Rules {
    limits: Limits,
    ledger: Ledger,
}

/// The client of the targets.
///
/// It must be used inside a tokio runtime, because it starts one task for each
/// connection.
pub struct Client {
    limits: Limits,
    ledger: Ledger,
    events: UnboundedSender<Event>,
    connections: BTreeMap<id::Connection, UnboundedSender<Action>>,
}

impl Client {
    /// Makes a client that reports to `events` and counts replies in `ledger`.
    pub fn new(limits: Limits, ledger: Ledger, events: UnboundedSender<Event>) -> Client {
        Client { limits, ledger, events, connections: BTreeMap::new() }
    }

    fn start(&mut self, connection: id::Connection, opening: connection::Opening) {
        self.connections.retain(|_, actions| !actions.is_closed());
        let (sender, actions) = mpsc::unbounded_channel();
        let events = self.events.clone();
        let rules = Rules { limits: self.limits, ledger: self.ledger.clone() };
        tokio::spawn(connection::run(connection, opening, rules, actions, events));
        self.connections.insert(connection, sender);
    }

    /// Hands an action to the task of a connection. Returns the action if the connection
    /// is unknown or has ended.
    fn send_action(&self, connection: id::Connection, action: Action) -> Result<(), Action> {
        match self.connections.get(&connection) {
            Some(actions) => actions.send(action).map_err(|error| error.0),
            None => Err(action),
        }
    }

    fn report(&self, event: Event) {
        // Fails only if the thread is ending and has dropped the receiver.
        let _ = self.events.send(event);
    }
}

impl Targets for Client {
    fn command(&mut self, command: Command) {
        match command {
            Command::Open { connection, address, limit } => {
                self.start(connection, connection::Opening { address, limit });
            }
            Command::Send { connection, request } => {
                let attempt = request.attempt;
                if self.send_action(connection, Action::Send(request)).is_err() {
                    self.report(Event::Unsent { connection, attempt });
                }
            }
            Command::Cancel { connection, attempt } => {
                // If the connection was lost, there is nothing left to cancel.
                let _ = self.send_action(connection, Action::Cancel(attempt));
            }
            Command::ReadStatus { connection, limit } => {
                // If the connection was lost, that has been reported already.
                let _ = self.send_action(connection, Action::ReadStatus(limit));
            }
            Command::Close { connection } => {
                // Dropping the sender ends the task, which resets all of its streams.
                self.connections.remove(&connection);
            }
        }
    }
}
