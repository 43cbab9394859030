//! The rows that callers, targets and faults write during a soak. The checks run over
//! them at the end.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// How a request ended for its caller.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The caller received a whole answer.
    Answer(Answer),
    /// The connection ended without an answer, or no answer came in time.
    Closed {
        /// The cause, as text for the report.
        detail: String,
    },
    /// The caller closed the connection before the answer came.
    Cancelled,
    /// The bytes received are not a valid answer; the text says why.
    Malformed(String),
}

/// An answer as the caller received it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    /// The digest of the target's reply, in the answer to an operation.
    pub digest: Option<String>,
    /// The digests of the parts, in the answer to a search.
    pub digests: Vec<String>,
    /// The number of shards without a part in the answer to a search.
    pub missing: usize,
    pub body: Vec<u8>,
    pub closes_connection: bool,
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A search over all shards, which is idempotent.
    Search,
    /// An operation, which is not idempotent and must run at most once.
    Operation,
    /// A search that crashes every target that runs it.
    Poison,
}

/// A request that a caller sent to a relay.
#[derive(Clone, Debug)]
pub struct Request {
    pub id: String,
    pub kind: Kind,
    pub relay: usize,
    /// The body; only operations have one.
    pub body: Vec<u8>,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

impl Request {
    /// Returns whether the request was answered with success.
    pub fn is_served(&self) -> bool {
        matches!(&self.outcome, Outcome::Answer(answer) if answer.status == 200)
    }
}

/// An attempt that reached a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub target: String,
    /// The index of the target's endpoint in the deployment.
    pub endpoint: usize,
    pub service: String,
    pub path: String,
    pub body: Vec<u8>,
    pub at: Instant,
    /// The remaining time that the request states in its deadline header.
    pub deadline: Duration,
    /// The digest and body of the target's reply, if it was a success.
    pub success: Option<(String, Vec<u8>)>,
    /// Whether the target refused the request with the promise that it did not run it.
    pub refused: bool,
}

/// A version of the configuration that was written to the store.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub shards: Vec<&'static str>,
    /// The service that operations go to.
    pub desk: &'static str,
    /// When the write was sent to the store.
    pub written: Instant,
    /// When the store confirmed the write.
    pub acknowledged: Instant,
}

/// What a disturbance affects.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The process of one relay.
    Relay(usize),
    /// The process of one relay, by an orderly shutdown: requests that it has accepted
    /// must be answered.
    Leaving(usize),
    /// The store or a relay's link to it; taken as a disturbance of all relays.
    Store,
    /// The link to a target, by the index of its endpoint. Requests that the link holds
    /// back arrive late.
    TargetLink(usize),
}

/// A period in which something was disturbed.
#[derive(Clone, Debug)]
pub struct Disturbance {
    pub subject: Subject,
    pub from: Instant,
    pub to: Instant,
}

/// A target that was registered as draining.
#[derive(Clone, Debug)]
pub struct Drain {
    pub target: String,
    /// When the store confirmed the registration.
    pub acknowledged: Instant,
}

/// All rows of a soak.
#[derive(Debug, Default)]
pub struct Rows {
    pub requests: Vec<Request>,
    pub attempts: Vec<Attempt>,
    pub versions: Vec<Version>,
    pub disturbances: Vec<Disturbance>,
    pub drains: Vec<Drain>,
    /// When [`Kind::Poison`] crashed a target, by the target's id and the number of
    /// attempts before the crash.
    pub crashes: BTreeMap<String, Instant>,
    /// Violations that are found while the soak runs, before the checks.
    pub violations: Vec<String>,
}

/// The rows, shared by all tasks of a soak.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Rows>>);

impl Ledger {
    pub fn rows(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().unwrap()
    }

    /// Adds a disturbance.
    pub fn record_disturbance(&self, subject: Subject, from: Instant, to: Instant) {
        self.rows().disturbances.push(Disturbance { subject, from, to });
    }
}
