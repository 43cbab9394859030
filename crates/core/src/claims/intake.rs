//! Takes events into the tables.

use std::time::Duration;

use uuid::Uuid;

use crate::{
    claim::{Outcome, Request, Verdict},
    id,
    name::Name,
    store,
    time::{Instant, Wall},
};

use super::{
    Count, Event, Message, Outbox, Replies, Scope,
    layout::Bucket,
    message::{Answer, Claim, Record},
    table::{self, CallId, Hint, Operation, Pending, Report, Row, Tables},
    value::Value,
};

/// How long after its start a slot that this home has not seen counts as new,
/// so that its first write may try to create it without a read.
const NEW_SLOT: Duration = Duration::from_secs(2);

/// Runs the system; returns the answers to store calls.
pub fn run(
    tables: &mut Tables,
    scope: &Scope<'_>,
    events: Vec<Event>,
    replies: &mut Replies,
    out: &mut Outbox,
) -> Vec<(CallId, store::Reply)> {
    let mut calls = Vec::new();
    for event in events {
        match event {
            Event::Claim { operation, request, deadline } => {
                operate(tables, scope, operation, request, deadline, out);
            }
            Event::Outcome { request, outcome } => report(tables, scope, request, outcome, out),
            Event::Message { from, message } => take(tables, scope, &from, message, replies, out),
            Event::Reply { id, reply } => calls.push((id, reply)),
            Event::Unreachable { vm } => {
                tables.unreachable.insert(vm.clone(), scope.now + scope.limits.avoid);
                resend(tables, scope, &vm);
            }
        }
    }
    calls
}

/// Sends what `vm` was to decide to another home.
fn resend(tables: &mut Tables, scope: &Scope<'_>, vm: &Name) {
    for row in tables.operations.values_mut().filter(|row| row.home.as_ref() == Some(vm)) {
        if row.tries < scope.limits.tries {
            row.next = scope.now;
        }
    }
    for row in tables.reports.values_mut().filter(|row| row.home.as_ref() == Some(vm)) {
        row.next = scope.now;
    }
}

fn operate(
    tables: &mut Tables,
    scope: &Scope<'_>,
    operation: id::Query,
    request: Request,
    deadline: Instant,
    out: &mut Outbox,
) {
    if let Some(verdict) = outside(tables, scope, &request) {
        out.verdicts.push((operation, verdict));
        return;
    }
    if tables.operations.len() >= scope.limits.operations {
        out.count(Count::QueueFull);
        let detail = "too many operations wait for a claim at this VM".to_owned();
        out.verdicts.push((operation, Verdict::Unsettled { detail }));
        return;
    }
    let next = scope.now;
    let row = Operation { operation, request, deadline, home: None, tries: 0, next };
    tables.operations.insert(row.request.token, row);
}

/// Adds an outcome of this VM that is to be recorded.
pub fn report(
    tables: &mut Tables,
    scope: &Scope<'_>,
    request: Request,
    mut outcome: Outcome,
    out: &mut Outbox,
) {
    if let Outcome::Done { result } = &mut outcome
        && result.len() > scope.limits.result
    {
        out.count(Count::OutcomeDropped);
        return;
    }
    if tables.reports.len() >= scope.limits.reports {
        out.count(Count::OutcomeDropped);
        return;
    }
    let deadline = scope.now + scope.limits.report;
    let token = request.token;
    tables
        .reports
        .insert(token, Report { request, outcome, home: None, next: scope.now, deadline });
}

/// The verdict for a key that no bucket may hold.
pub fn outside(tables: &Tables, scope: &Scope<'_>, request: &Request) -> Option<Verdict> {
    let layout = scope.limits.layout;
    let Some(bucket) = layout.bucket(&request.key) else { return Some(Verdict::Expired) };
    let latest = scope.wall.0.saturating_add(scope.limits.skew.as_millis() as u64);
    let outside = bucket.slot < tables.floor || layout.start(bucket.slot) > latest;
    outside.then_some(Verdict::Expired)
}

fn take(
    tables: &mut Tables,
    scope: &Scope<'_>,
    from: &Name,
    message: Message,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    tables.unreachable.remove(from);
    match message {
        Message::Claims(claims) => {
            for claim in claims {
                enqueue_claim(tables, scope, from, claim, replies, out);
            }
        }
        Message::Answers(answers) => {
            for answer in answers {
                finish(tables, scope, answer, out);
            }
        }
        Message::Records(records) => {
            for record in records {
                enqueue_record(tables, scope, from, record, out);
            }
        }
        Message::Recorded(tokens) => {
            for token in tokens {
                tables.reports.remove(&token);
            }
        }
        Message::Clock { wall } => clock(tables, scope, from, wall),
    }
}

fn clock(tables: &mut Tables, scope: &Scope<'_>, from: &Name, wall: Wall) {
    if scope.vms.contains_key(from) {
        tables.sweep.clocks.insert(from.clone(), (wall, scope.now));
    }
}

/// Gives a verdict to the operation that waits for it. An operation that gave
/// up has no row any more, so that a late verdict reaches nobody.
pub fn finish(tables: &mut Tables, scope: &Scope<'_>, answer: Answer, out: &mut Outbox) {
    let Some(row) = tables.operations.remove(&answer.token) else {
        out.count(Count::LateVerdict);
        return;
    };
    if scope.now >= row.deadline {
        out.count(Count::LateVerdict);
        tables.operations.insert(answer.token, row);
        return;
    }
    // A claim that was sent more than once may still wait at another home.
    let held = answer.held || row.tries > 1;
    let open =
        matches!(answer.verdict, Verdict::Unsettled { .. } | Verdict::Full | Verdict::Unknown);
    if open && held {
        report(tables, scope, row.request, Outcome::NotRun, out);
    }
    out.verdicts.push((row.operation, answer.verdict));
}

/// Puts a claim into the queue of its bucket.
pub fn enqueue_claim(
    tables: &mut Tables,
    scope: &Scope<'_>,
    from: &Name,
    claim: Claim,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Claim { request, remaining } = claim;
    let bucket = scope.limits.layout.bucket(&request.key);
    let (Some(bucket), None) = (bucket, outside(tables, scope, &request)) else {
        answer(replies, from, request.token, Verdict::Expired, false);
        out.count(Count::Expired);
        return;
    };
    if remaining.is_zero() || tables.waiting.contains(&request.token) {
        return;
    }
    if tables.waiting.len() >= scope.limits.queue {
        out.count(Count::QueueFull);
        let detail = "too many claims wait at the home of the bucket".to_owned();
        answer(replies, from, request.token, Verdict::Unsettled { detail }, false);
        return;
    }
    let deadline = scope.now + remaining;
    let token = request.token;
    let row = open(tables, scope, bucket);
    row.claims.push(Pending { request, requester: from.clone(), deadline });
    tables.waiting.insert(token);
}

/// Puts an outcome into the queue of its bucket.
pub fn enqueue_record(
    tables: &mut Tables,
    scope: &Scope<'_>,
    from: &Name,
    record: Record,
    out: &mut Outbox,
) {
    let Record { request, outcome } = record;
    let Some(bucket) = scope.limits.layout.bucket(&request.key) else { return };
    if bucket.slot < tables.floor {
        return;
    }
    if records(tables) >= scope.limits.queue {
        out.count(Count::QueueFull);
        return;
    }
    let since = scope.now;
    let row = open(tables, scope, bucket);
    if row.records.iter().any(|known| known.request.token == request.token) {
        return;
    }
    row.records.push(table::Record { request, outcome, requester: from.clone(), since });
}

fn records(tables: &Tables) -> usize {
    tables.buckets.values().map(|row| row.records.len()).sum()
}

/// Gives an answer to a requester at the end of the tick.
pub fn answer(replies: &mut Replies, to: &Name, token: Uuid, verdict: Verdict, held: bool) {
    replies.answers.push((to.clone(), Answer { token, verdict, held }));
}

fn open<'a>(tables: &'a mut Tables, scope: &Scope<'_>, bucket: Bucket) -> &'a mut Row {
    let now = scope.now;
    let start = scope.limits.layout.start(bucket.slot);
    let row = tables.buckets.entry(bucket).or_insert_with(|| Row {
        hint: first_hint(scope, start),
        claims: Vec::new(),
        records: Vec::new(),
        call: None,
        retry: now,
        failures: 0,
        used: now,
    });
    row.used = now;
    row
}

fn first_hint(scope: &Scope<'_>, start: u64) -> Hint {
    if scope.wall.0.saturating_sub(start) <= NEW_SLOT.as_millis() as u64 {
        Hint::Known { version: None, value: Value::default(), read: None }
    } else {
        Hint::Stale
    }
}
