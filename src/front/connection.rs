//! The connections of a front, one row each.
//!
//! A stream sees bytes and a handler sees requests; whether the next bytes
//! belong to a new request is known only to both together. They share the row.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

/// What the next bytes of a connection belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte of the next request has arrived.
    Waiting,
    /// The head of a request is arriving.
    Head,
    /// A request was handed to its handler, which reads the body.
    Request,
    /// The rest of the request is not read and no other one follows.
    Last,
}

/// The phase of a connection and the number of requests before it, which tells
/// one wait from the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    /// What the next bytes belong to.
    pub phase: Phase,
    /// The requests that were answered.
    pub answered: u64,
}

/// The row of one connection.
#[derive(Debug)]
pub struct Connection(Mutex<State>);

impl Default for Connection {
    fn default() -> Connection {
        Connection(Mutex::new(State { phase: Phase::Waiting, answered: 0 }))
    }
}

impl Connection {
    /// The state now.
    pub fn state(&self) -> State {
        *self.lock()
    }

    /// Notes that bytes have arrived.
    pub fn arrive(&self) {
        let mut state = self.lock();
        if state.phase == Phase::Waiting {
            state.phase = Phase::Head;
        }
    }

    /// Notes that a request was handed to its handler.
    pub fn begin(&self) {
        self.lock().phase = Phase::Request;
    }

    /// Notes that the whole request was read and is answered.
    pub fn finish(&self) {
        let mut state = self.lock();
        state.phase = Phase::Waiting;
        state.answered += 1;
    }

    /// Notes that the rest of the request is not read.
    pub fn end(&self) {
        self.lock().phase = Phase::Last;
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The open connections by the address of the caller.
#[derive(Debug, Default)]
pub struct Table(Mutex<BTreeMap<SocketAddr, Arc<Connection>>>);

impl Table {
    /// Adds a connection.
    pub fn insert(&self, address: SocketAddr) -> Arc<Connection> {
        let connection = Arc::new(Connection::default());
        self.lock().insert(address, Arc::clone(&connection));
        connection
    }

    /// The connection from `address`.
    pub fn get(&self, address: SocketAddr) -> Option<Arc<Connection>> {
        self.lock().get(&address).cloned()
    }

    /// Removes a connection, unless the address belongs to a later one.
    pub fn remove(&self, address: SocketAddr, connection: &Arc<Connection>) {
        let mut rows = self.lock();
        if rows.get(&address).is_some_and(|row| Arc::ptr_eq(row, connection)) {
            rows.remove(&address);
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Arc<Connection>>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
