//! The rows that the parties of a soak write, and that the checks run over.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// What a caller got.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A whole answer.
    Answer(Answer),
    /// The connection ended without one.
    Closed {
        /// What happened, for people.
        detail: String,
    },
    /// The caller left before its answer.
    Left,
    /// Bytes that belong to no request, or are no answer.
    Stray(String),
}

/// An answer as it came.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub digest: Option<String>,
    pub digests: Vec<String>,
    pub missing: usize,
    pub body: Vec<u8>,
    pub closes: bool,
}

/// What a request is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A search over all shards, which may run more than once.
    Search,
    /// An operation, which may run once.
    Operation,
    /// A search that crashes the targets that run it.
    Poison,
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Ask {
    pub id: String,
    pub kind: Kind,
    pub relay: usize,
    /// The body of an operation.
    pub body: Vec<u8>,
    pub sent: Instant,
    pub ended: Instant,
    pub outcome: Outcome,
}

impl Ask {
    /// Whether it had a success.
    pub fn is_served(&self) -> bool {
        matches!(&self.outcome, Outcome::Answer(answer) if answer.status == 200)
    }
}

/// A request that reached a target.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub place: usize,
    pub service: String,
    pub path: String,
    pub body: Vec<u8>,
    pub at: Instant,
    pub deadline: Duration,
    /// The digest and body of its success, if it had one.
    pub success: Option<(String, Vec<u8>)>,
    /// Whether the target said that it did not run it.
    pub refused: bool,
}

/// A version of the configuration.
#[derive(Clone, Debug)]
pub struct Version {
    pub number: u64,
    pub shards: Vec<&'static str>,
    pub desk: &'static str,
    pub written: Instant,
    pub acknowledged: Instant,
}

/// What a disturbance is about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// One relay, whose process or links are disturbed.
    Relay(usize),
    /// The same, by an orderly end: what was taken must be answered.
    Leaving(usize),
    /// The store, for all relays.
    Store,
    /// The link to a target, by its place; what is held back arrives late.
    Link(usize),
}

/// A time in which something was disturbed.
#[derive(Clone, Debug)]
pub struct Spell {
    pub subject: Subject,
    pub from: Instant,
    pub to: Instant,
}

/// When a target was announced as leaving.
#[derive(Clone, Debug)]
pub struct Drain {
    pub target: String,
    pub acknowledged: Instant,
}

/// All rows of a soak.
#[derive(Debug, Default)]
pub struct Rows {
    pub asks: Vec<Ask>,
    pub runs: Vec<Run>,
    pub versions: Vec<Version>,
    pub spells: Vec<Spell>,
    pub drains: Vec<Drain>,
    /// The targets that went down with the poison.
    pub crashes: BTreeMap<String, Instant>,
    /// What broke a promise at once.
    pub breaches: Vec<String>,
}

/// The rows, shared by all parties.
#[derive(Clone, Debug, Default)]
pub struct Ledger(Arc<Mutex<Rows>>);

impl Ledger {
    pub fn rows(&self) -> MutexGuard<'_, Rows> {
        self.0.lock().unwrap()
    }

    /// Notes a disturbance.
    pub fn spell(&self, subject: Subject, from: Instant, to: Instant) {
        self.rows().spells.push(Spell { subject, from, to });
    }
}
