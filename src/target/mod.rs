//! The client of the targets: JSON over HTTP/2, one TCP connection for each
//! row of the connection table.
//!
//! The client carries out [`Command`]s and reports [`Event`]s; it decides
//! nothing. Each connection is served by one task, so that a slow exchange
//! never delays another. The limits of a target count connections, so a
//! connection that was lost is reported and never replaced in silence; see
//! [`dial`].

use std::collections::BTreeMap;

use laburnum_core::{
    border::Targets,
    id,
    target::{Command, Event},
};
use tokio::sync::mpsc::{self, UnboundedSender};

pub mod body;
pub mod dial;
mod connection;
mod exchange;

use connection::Order;

/// Bounds that the client keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest reply body that is read, in bytes.
    pub body: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { body: 8 * 1024 * 1024 }
    }
}

/// The client of the targets.
///
/// It must be used inside a tokio runtime, because it starts one task for each
/// connection.
pub struct Client {
    limits: Limits,
    events: UnboundedSender<Event>,
    connections: BTreeMap<id::Connection, UnboundedSender<Order>>,
}

impl Client {
    /// Makes a client that reports to `events`.
    pub fn new(limits: Limits, events: UnboundedSender<Event>) -> Client {
        Client { limits, events, connections: BTreeMap::new() }
    }

    /// The number of connections that are open or being opened.
    pub fn open(&self) -> usize {
        self.connections.values().filter(|orders| !orders.is_closed()).count()
    }

    fn start(&mut self, connection: id::Connection, opening: connection::Opening) {
        self.connections.retain(|_, orders| !orders.is_closed());
        let (sender, orders) = mpsc::unbounded_channel();
        let events = self.events.clone();
        tokio::spawn(connection::run(connection, opening, self.limits, orders, events));
        self.connections.insert(connection, sender);
    }

    /// Hands an order to the task of a connection, or gives it back.
    fn order(&self, connection: id::Connection, order: Order) -> Result<(), Order> {
        match self.connections.get(&connection) {
            Some(orders) => orders.send(order).map_err(|refused| refused.0),
            None => Err(order),
        }
    }

    fn report(&self, event: Event) {
        // The receiver is gone only when the thread is ending.
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
                if self.order(connection, Order::Send(request)).is_err() {
                    self.report(Event::Unsent { connection, attempt });
                }
            }
            Command::Cancel { connection, attempt } => {
                // The reply of a lost connection needs no withdrawal.
                let _ = self.order(connection, Order::Cancel(attempt));
            }
            Command::ReadStatus { connection, limit } => {
                // The loss of the connection has been reported already.
                let _ = self.order(connection, Order::Ask(limit));
            }
            Command::Close { connection } => {
                // Dropping the sender ends the task with all that runs on it.
                self.connections.remove(&connection);
            }
        }
    }
}
