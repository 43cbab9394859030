//! The oracle: what was sent, and whether what was answered keeps the promises.
//!
//! It knows only the promises of the brief: it sees requests, answers and what
//! targets did, and nothing of how an answer is made.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use laburnum_core::{
    fault::Ran,
    id,
    key::{Range, Set},
    name::Name,
    time::Instant,
    traffic::{Answer, Body, Call, Found},
};
use uuid::Uuid;

use super::{
    point,
    targets::{self, Targets},
};

/// The time by which an answer may be later than its deadline: one tick.
const TICK: Duration = Duration::from_millis(1);

/// The targets that one request may crash.
const MOST_CRASHES: usize = 2;

/// What was asked.
#[derive(Clone, Debug)]
pub enum Task {
    /// A search for a text, which no other request carries unless it is sent
    /// `again`.
    Search { text: Arc<str>, coverage: u32, again: bool },
    /// An operation, known by its detail.
    Operation { detail: Arc<str> },
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The VM that took it.
    pub vm: Name,
    /// The start of that VM.
    pub start: u64,
    /// What was asked.
    pub task: Task,
    /// When the answer is due.
    pub due: Instant,
}

/// What was sent and answered so far.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The requests that wait for an answer.
    pub open: BTreeMap<Call, Request>,
    /// The tokens under which operations claimed, by query.
    pub tokens: BTreeMap<id::Query, Uuid>,
    /// How many answers there were of each sort.
    pub seen: BTreeMap<String, u64>,
    tokens_not_run: BTreeSet<Uuid>,
    texts_not_run: BTreeSet<Arc<str>>,
}

impl Oracle {
    /// Checks an answer against its request and what the targets did.
    pub fn answered(&mut self, call: Call, answer: &Answer, now: Instant, targets: &Targets) {
        let request = self.open.remove(&call);
        let Some(request) = request else { panic!("{call:?} was answered twice or never asked") };
        assert!(now <= request.due + TICK, "{call:?} was answered at {now:?}: {request:?}");
        *self.seen.entry(label(&answer.body)).or_default() += 1;
        match (&request.task, &answer.body) {
            (Task::Search { text, coverage, .. }, Body::Found(found)) => {
                assert!(found.coverage >= *coverage, "{call:?} covers {}", found.coverage);
                check(found, text);
            }
            (Task::Operation { detail }, Body::Done { result, .. }) => {
                assert_eq!(**result, *targets::result(detail), "the result of {call:?}");
                assert_eq!(targets.executions.get(detail), Some(&1), "executions of {call:?}");
            }
            (task, Body::Refused(fault)) if fault.ran == Ran::No => {
                self.refused(task, answer.query);
            }
            (_, Body::Refused(_)) => {}
            (task, body) => panic!("{task:?} was answered by {body:?}"),
        }
    }

    fn refused(&mut self, task: &Task, query: id::Query) {
        match task {
            Task::Search { text, again: false, .. } => {
                self.texts_not_run.insert(text.clone());
            }
            Task::Search { .. } => {}
            Task::Operation { .. } => self.tokens_not_run.extend(self.tokens.get(&query)),
        }
    }

    /// Checks what must hold at every moment.
    pub fn check(&self, now: Instant, targets: &Targets, runs: impl Fn(&Request) -> bool) {
        for (detail, &times) in &targets.executions {
            assert!(times <= 1, "{detail} ran {times} times");
        }
        for text in &self.texts_not_run {
            assert!(!targets.started.contains_key(text), "{text} ran although it was denied");
        }
        for token in &self.tokens_not_run {
            assert!(!targets.tokens.contains_key(token), "{token} ran although it was denied");
        }
        for (text, crashed) in &targets.crashes {
            assert!(crashed.len() <= MOST_CRASHES, "{text} crashed {crashed:?}");
        }
        assert_eq!(targets.late_work, [], "work for a target long after it was leaving");
        assert_eq!(targets.over_limit, [], "more connections than the target takes");
        assert_eq!(targets.expired, [], "work for a target after its deadline");
        assert!(
            targets.lost_beside_suspect.is_empty(),
            "lost beside a suspect: {:?}",
            targets.lost_beside_suspect
        );
        for (call, request) in &self.open {
            let is_late = now > request.due + TICK && runs(request);
            assert!(!is_late, "{call:?} has no answer at {now:?}: {request:?}");
        }
    }

    /// Allows the answers of a VM that is stopped for `span` to come later.
    pub fn excuse(&mut self, vm: &Name, span: Duration) {
        for request in self.open.values_mut().filter(|request| request.vm == *vm) {
            request.due = request.due + span;
        }
    }
}

fn label(body: &Body) -> String {
    match body {
        Body::Found(found) if found.missing.is_empty() => "complete".to_owned(),
        Body::Found(_) => "partial".to_owned(),
        Body::Done { replayed, .. } => format!("done, replayed {replayed}"),
        Body::Refused(fault) => format!("{}, ran {}", fault.kind, fault.ran.as_str()),
    }
}

/// An answer holds all rows of its version in what it covers and no other, and
/// states what it covers.
pub fn check(found: &Found, text: &str) {
    let mut covered = Set::from_range(Range::ALL);
    for &range in found.missing.ranges() {
        covered.remove(range);
    }
    let expected = targets::rows(found.version, text, |key| covered.covers(point(key)));
    assert_eq!(found.rows, expected, "rows of {:?} in {covered:?}", found.version);
    assert_eq!(found.coverage, covered.parts_per_million(Range::ALL));
}
