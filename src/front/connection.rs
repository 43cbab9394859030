//! The state that the stream of a connection shares with the handlers of its
//! requests.
//!
//! The stream sees only bytes and a handler only its request; it takes both to
//! know whether the next bytes belong to a new request.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    task::Waker,
    time::Duration,
};

use laburnum_core::memory::{Full, Purpose};

use super::limit::Limits;
use crate::memory::{Account, Hold};

/// What the next bytes of a connection belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No byte of the next request has arrived.
    Waiting,
    /// The head of a request is arriving.
    Head,
    /// A request was handed to its handler, which reads the body.
    Request,
    /// The rest of the request is discarded, and no other request follows.
    Closing,
}

/// The phase of a connection, with the number of requests answered before it.
/// The number tells one wait for a request from the next, so that each gets a
/// time limit of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    pub phase: Phase,
    /// The number of requests answered so far.
    pub answered: u64,
}

#[derive(Debug)]
struct Inner {
    state: State,
    reader: Option<Waker>,
}

/// The shared state of one connection, and the account of what is held for it.
pub struct Connection {
    inner: Mutex<Inner>,
    account: Account,
}

impl Connection {
    /// Makes the state of a connection that has just been opened.
    pub fn new(account: Account) -> Connection {
        let state = State { phase: Phase::Waiting, answered: 0 };
        Connection { inner: Mutex::new(Inner { state, reader: None }), account }
    }

    /// Waits until the connection is to be closed to make room for others.
    pub async fn closing(&self) {
        self.account.closing().await;
    }

    /// Makes an empty hold for this connection.
    pub fn hold(&self, purpose: Purpose) -> Hold {
        self.account.hold(purpose)
    }

    /// Returns the current state.
    pub fn state(&self) -> State {
        self.lock().state
    }

    /// Returns the current state and registers `reader`, which is woken when
    /// the connection begins to wait for its next request. The HTTP library
    /// does not poll the stream again by itself at that point.
    pub fn watch(&self, reader: &Waker) -> State {
        let mut inner = self.lock();
        if !inner.reader.as_ref().is_some_and(|registered| registered.will_wake(reader)) {
            inner.reader = Some(reader.clone());
        }
        inner.state
    }

    /// Records that bytes have arrived, which starts a head if none has
    /// started.
    pub fn receive_bytes(&self, bytes: usize) {
        self.account.receive(bytes);
        let mut inner = self.lock();
        if inner.state.phase == Phase::Waiting {
            inner.state.phase = Phase::Head;
        }
    }

    /// Records that the network takes no more of an answer at once.
    pub fn wait_for_reader(&self) {
        self.account.wait_for_reader();
    }

    /// Returns how long the caller may still take to read.
    pub fn reader_time_left(&self, limits: &Limits) -> Duration {
        self.account.reader_time_left(limits.idle_timeout, limits.min_rate)
    }

    /// Records that the other side took bytes of an answer.
    pub fn send_bytes(&self, bytes: usize) {
        self.account.send(bytes);
    }

    /// Records that the other side took all bytes that were to be sent.
    pub fn finish_sending(&self) {
        self.account.end_answer();
    }

    /// Records that a request was handed to its handler.
    pub fn begin_request(&self) {
        self.lock().state.phase = Phase::Request;
    }

    /// Records that a request was read whole, if there is room to work on it.
    pub fn begin_work(&self) -> Result<(), Full> {
        self.account.begin_work()
    }

    /// Records that a request was read whole and has been answered. Of the answer `attributed`
    /// bytes count already.
    pub fn finish_request(&self, attributed: usize) {
        self.account.begin_answer(attributed);
        let mut inner = self.lock();
        inner.state.phase = Phase::Waiting;
        inner.state.answered += 1;
        if let Some(reader) = &inner.reader {
            reader.wake_by_ref();
        }
    }

    /// Records that the rest of the request is discarded.
    pub fn close(&self) {
        self.account.begin_answer(0);
        self.lock().state.phase = Phase::Closing;
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
