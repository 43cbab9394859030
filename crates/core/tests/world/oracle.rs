//! The oracle, which checks the answers against the guarantees.
//!
//! It is independent of the implementation: it sees only the requests, the answers
//! and what the targets did. The guarantees are listed in `docs/PROOF.md`.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use laburnum_core::{
    fault::{Kind, Ran},
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

/// The number of targets that one request may crash.
const MAX_CRASHED_TARGETS: usize = 2;

/// The content of a request.
#[derive(Clone, Debug)]
pub enum Task {
    /// A search. No other request has the same text unless `is_resend` is set.
    Search { text: Arc<str>, coverage: u32, is_resend: bool },
    /// An operation, identified by its detail.
    Operation { detail: Arc<str> },
}

/// A caller's request.
#[derive(Clone, Debug)]
pub struct Request {
    /// The VM that received it.
    pub vm: Name,
    /// The start of that VM when it received the request.
    pub start: u64,
    pub task: Task,
    /// The time by which it must be answered.
    pub due: Instant,
}

/// The requests and answers so far.
#[derive(Debug, Default)]
pub struct Oracle {
    /// The requests without an answer.
    pub open: BTreeMap<Call, Request>,
    /// The claim tokens of the operations, by query.
    pub tokens: BTreeMap<id::Query, Uuid>,
    /// The number of answers by outcome.
    pub outcomes: BTreeMap<String, u64>,
    /// The tokens and texts of requests that were answered as not run.
    tokens_not_run: BTreeSet<Uuid>,
    texts_not_run: BTreeSet<Arc<str>>,
}

impl Oracle {
    /// Checks an answer against its request and what the targets did.
    pub fn answered(&mut self, call: Call, answer: &Answer, now: Instant, targets: &Targets) {
        let request = self.open.remove(&call);
        let Some(request) = request else { panic!("{call:?} was answered twice or never asked") };
        assert!(now <= request.due + TICK, "{call:?} was answered at {now:?}: {request:?}");
        *self.outcomes.entry(outcome_label(&answer.body)).or_default() += 1;
        match (&request.task, &answer.body) {
            (Task::Search { text, coverage, .. }, Body::Found(found)) => {
                assert!(found.coverage >= *coverage, "{call:?} covers {}", found.coverage);
                check_rows(found, text);
            }
            (Task::Operation { detail }, Body::Done { result, .. }) => {
                assert_eq!(**result, *targets::result(detail), "the result of {call:?}");
                assert_eq!(targets.executions.get(detail), Some(&1), "executions of {call:?}");
            }
            (Task::Operation { detail }, Body::Refused(fault))
                if fault.kind == Kind::ClaimUnsettled =>
            {
                let has_run = targets.executions.contains_key(detail);
                assert!(fault.ran != Ran::No || !has_run, "{call:?}: {detail} ran");
                // This request is not run, whatever became of earlier ones with its key.
                self.record_not_run(&request.task, answer.query);
            }
            (task, Body::Refused(fault)) if fault.ran == Ran::No => {
                self.record_not_run(task, answer.query);
            }
            (_, Body::Refused(_)) => {}
            (task, body) => panic!("{task:?} was answered by {body:?}"),
        }
    }

    fn record_not_run(&mut self, task: &Task, query: id::Query) {
        match task {
            Task::Search { text, is_resend: false, .. } => {
                self.texts_not_run.insert(text.clone());
            }
            Task::Search { .. } => {}
            Task::Operation { .. } => self.tokens_not_run.extend(self.tokens.get(&query)),
        }
    }

    /// Checks the guarantees that must hold at any time. `runs` tells whether the VM
    /// that received a request still runs.
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
            assert!(crashed.len() <= MAX_CRASHED_TARGETS, "{text} crashed {crashed:?}");
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

    /// Extends the deadlines of the open requests at a VM that is paused for `span`.
    pub fn extend_deadlines(&mut self, vm: &Name, span: Duration) {
        for request in self.open.values_mut().filter(|request| request.vm == *vm) {
            request.due = request.due + span;
        }
    }
}

fn outcome_label(body: &Body) -> String {
    match body {
        Body::Found(found) if found.missing.is_empty() => "complete".to_owned(),
        Body::Found(_) => "partial".to_owned(),
        Body::Done { replayed, .. } => format!("done, replayed {replayed}"),
        Body::Refused(fault) => format!("{}, ran {}", fault.kind, fault.ran.as_str()),
    }
}

/// Checks that an answer contains exactly the rows of its version in the ranges that
/// it covers, and states its coverage correctly.
pub fn check_rows(found: &Found, text: &str) {
    let mut covered = Set::from_range(Range::ALL);
    for &range in found.missing.ranges() {
        covered.remove(range);
    }
    let expected = targets::rows(found.version, text, |key| covered.covers(point(key)));
    assert_eq!(found.rows, expected, "rows of {:?} in {covered:?}", found.version);
    assert_eq!(found.coverage, covered.parts_per_million(Range::ALL));
}
