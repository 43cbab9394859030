//! What the stream of a connection and the handlers of its requests share.
//!
//! A stream sees bytes and a handler sees requests; whether the next bytes
//! belong to a new request is known only to both together.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    task::Waker,
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

#[derive(Debug)]
struct Row {
    state: State,
    reader: Option<Waker>,
}

/// The state of one connection.
#[derive(Debug)]
pub struct Connection(Mutex<Row>);

impl Default for Connection {
    fn default() -> Connection {
        let state = State { phase: Phase::Waiting, answered: 0 };
        Connection(Mutex::new(Row { state, reader: None }))
    }
}

impl Connection {
    /// The state now.
    pub fn state(&self) -> State {
        self.lock().state
    }

    /// The state now; `reader` is woken when a wait for the next request begins,
    /// since the HTTP library does not read again by itself.
    pub fn watch(&self, reader: &Waker) -> State {
        let mut row = self.lock();
        if !row.reader.as_ref().is_some_and(|known| known.will_wake(reader)) {
            row.reader = Some(reader.clone());
        }
        row.state
    }

    /// Notes that bytes have arrived.
    pub fn arrive(&self) {
        let mut row = self.lock();
        if row.state.phase == Phase::Waiting {
            row.state.phase = Phase::Head;
        }
    }

    /// Notes that a request was handed to its handler.
    pub fn begin(&self) {
        self.lock().state.phase = Phase::Request;
    }

    /// Notes that the whole request was read and is answered.
    pub fn finish(&self) {
        let mut row = self.lock();
        row.state.phase = Phase::Waiting;
        row.state.answered += 1;
        if let Some(reader) = &row.reader {
            reader.wake_by_ref();
        }
    }

    /// Notes that the rest of the request is not read.
    pub fn end(&self) {
        self.lock().state.phase = Phase::Last;
    }

    fn lock(&self) -> MutexGuard<'_, Row> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
