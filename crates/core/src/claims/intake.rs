//! Applies events to the tables.

use std::{sync::Arc, time::Duration};

use uuid::Uuid;

use crate::{
    claim::{Outcome, Request, Verdict},
    id,
    name::Name,
    store,
    time::{Instant, Wall},
};

use super::{
    Context, Count, Event, Message, Outbox, Replies, era,
    layout::Bucket,
    memory,
    message::{Answer, Claim, Record},
    table::{self, Cache, CallId, Operation, Pending, Report, Row, Tables},
};

/// The age up to which a slot without a cached value counts as new, so that its
/// first write tries to create the bucket without reading it.
const NEW_SLOT_AGE: Duration = Duration::from_secs(2);

/// The reply to a store call, and the era that it stated.
pub struct Answered {
    pub id: CallId,
    pub era: Option<store::Era>,
    pub reply: store::Reply,
}

/// Handles all events but the replies to store calls, which it returns.
pub fn run(
    tables: &mut Tables,
    context: &Context<'_>,
    events: Vec<Event>,
    replies: &mut Replies,
    out: &mut Outbox,
) -> Vec<Answered> {
    let mut calls = Vec::new();
    for event in events {
        match event {
            Event::Claim { operation, request, deadline } => {
                add_operation(tables, context, operation, request, deadline, out);
            }
            Event::Outcome { request, outcome } => {
                add_report(tables, context, request, outcome, out)
            }
            Event::Message { from, message } => {
                handle_message(tables, context, &from, message, replies, out)
            }
            Event::Reply { id, era, reply } => calls.push(Answered { id, era, reply }),
            Event::Era(era) => era::learn(tables, context, era, out),
            Event::Unreachable { vm } => {
                tables.unreachable.insert(vm.clone(), context.now + context.limits.unreachable_for);
                reroute(tables, context, &vm);
            }
        }
    }
    calls
}

/// Makes claims and outcomes that were last sent to `vm` due now, so that they
/// go to another home.
fn reroute(tables: &mut Tables, context: &Context<'_>, vm: &Name) {
    for row in tables.operations.values_mut().filter(|row| row.home.as_ref() == Some(vm)) {
        if row.tries < context.limits.tries {
            row.next_send = context.now;
        }
    }
    for row in tables.reports.values_mut().filter(|row| row.home.as_ref() == Some(vm)) {
        row.next_send = context.now;
    }
}

fn add_operation(
    tables: &mut Tables,
    context: &Context<'_>,
    operation: id::Query,
    request: Request,
    deadline: Instant,
    out: &mut Outbox,
) {
    if let Some(verdict) = refusal(tables, context, &request) {
        out.verdicts.push((operation, verdict));
        return;
    }
    if tables.operations.len() >= context.limits.operations {
        out.count(Count::QueueFull);
        let detail = "too many operations wait for a claim at this VM".to_owned();
        out.verdicts.push((operation, Verdict::Unsettled { detail }));
        return;
    }
    let next_send = context.now;
    let row = Operation { operation, request, deadline, home: None, tries: 0, next_send };
    tables.operations.insert(row.request.token, row);
}

/// Queues an outcome of this VM for sending to its home. An outcome whose result
/// is too long, or that finds the table full, is dropped.
pub fn add_report(
    tables: &mut Tables,
    context: &Context<'_>,
    request: Request,
    mut outcome: Outcome,
    out: &mut Outbox,
) {
    if let Outcome::Done { result } = &mut outcome
        && result.len() > context.limits.result_bytes
    {
        out.count(Count::OutcomeDropped);
        return;
    }
    if tables.reports.len() >= context.limits.reports {
        out.count(Count::OutcomeDropped);
        return;
    }
    let deadline = context.now + context.limits.report_timeout;
    let token = request.token;
    tables
        .reports
        .insert(token, Report { request, outcome, home: None, next_send: context.now, deadline });
}

/// Returns the verdict for a key that lies below the floor, lies too far ahead
/// or holds no time of issue, and `None` for a key that may be claimed.
pub fn refusal(tables: &Tables, context: &Context<'_>, request: &Request) -> Option<Verdict> {
    let layout = context.limits.layout;
    let Some(bucket) = layout.bucket(&request.key) else { return Some(Verdict::Expired) };
    let latest = context.wall.0.saturating_add(context.limits.skew.as_millis() as u64);
    let outside = bucket.slot < tables.floor || layout.slot_start(bucket.slot) > latest;
    outside.then_some(Verdict::Expired)
}

fn handle_message(
    tables: &mut Tables,
    context: &Context<'_>,
    from: &Name,
    message: Message,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    tables.unreachable.remove(from);
    match message {
        Message::Claims(claims) => {
            for claim in claims {
                enqueue_claim(tables, context, from, claim, replies, out);
            }
        }
        Message::Answers(answers) => {
            for answer in answers {
                finish_operation(tables, context, answer, out);
            }
        }
        Message::Records(records) => {
            for record in records {
                enqueue_record(tables, context, from, record, out);
            }
        }
        Message::Recorded(tokens) => {
            for token in tokens {
                tables.reports.remove(&token);
            }
        }
        Message::Era(era) => era::hear(tables, context, era),
        Message::Written(bucket) => memory::note_written(tables, context, bucket),
        Message::Clock { wall } => record_clock(tables, context, from, wall),
    }
}

fn record_clock(tables: &mut Tables, context: &Context<'_>, from: &Name, wall: Wall) {
    if context.vms.contains_key(from) {
        tables.sweep.clocks.insert(from.clone(), (wall, context.now));
    }
}

/// Passes a verdict to the operation that waits for it. An operation that
/// expired has no row any more, so a late verdict is only counted.
pub fn finish_operation(
    tables: &mut Tables,
    context: &Context<'_>,
    answer: Answer,
    out: &mut Outbox,
) {
    let Some(row) = tables.operations.remove(&answer.token) else {
        out.count(Count::LateVerdict);
        return;
    };
    if context.now >= row.deadline {
        out.count(Count::LateVerdict);
        tables.operations.insert(answer.token, row);
        return;
    }
    // A claim that was sent more than once may still be queued at another home,
    // which may store it later.
    let maybe_stored = answer.maybe_stored || row.tries > 1;
    let unsettled =
        matches!(answer.verdict, Verdict::Unsettled { .. } | Verdict::Full | Verdict::Unknown);
    if unsettled && maybe_stored {
        add_report(tables, context, row.request, Outcome::NotRun, out);
    }
    out.verdicts.push((row.operation, answer.verdict));
}

/// Queues a claim at this home. A claim whose token is queued already is ignored,
/// because requesters send claims again.
pub fn enqueue_claim(
    tables: &mut Tables,
    context: &Context<'_>,
    from: &Name,
    claim: Claim,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Claim { request, remaining } = claim;
    let bucket = context.limits.layout.bucket(&request.key);
    let (Some(bucket), None) = (bucket, refusal(tables, context, &request)) else {
        push_answer(replies, from, request.token, Verdict::Expired, false);
        out.count(Count::Expired);
        return;
    };
    if remaining.is_zero() || tables.waiting.contains(&request.token) {
        return;
    }
    if tables.waiting.len() >= context.limits.queue {
        out.count(Count::QueueFull);
        let detail = "too many claims wait at the home of the bucket".to_owned();
        push_answer(replies, from, request.token, Verdict::Unsettled { detail }, false);
        return;
    }
    let deadline = context.now + remaining;
    let token = request.token;
    let row = bucket_row(tables, context, bucket);
    let requester = from.clone();
    row.claims.push(Pending { request, requester, deadline, held_until: None });
    tables.waiting.insert(token);
}

/// Queues an outcome at this home. It is dropped without an answer if it cannot
/// be queued; the requester sends it again until it expires.
pub fn enqueue_record(
    tables: &mut Tables,
    context: &Context<'_>,
    from: &Name,
    record: Record,
    out: &mut Outbox,
) {
    let Record { request, outcome } = record;
    let Some(bucket) = context.limits.layout.bucket(&request.key) else { return };
    if bucket.slot < tables.floor {
        return;
    }
    if queued_records(tables) >= context.limits.queue {
        out.count(Count::QueueFull);
        return;
    }
    let queued_at = context.now;
    let row = bucket_row(tables, context, bucket);
    if row.records.iter().any(|known| known.request.token == request.token) {
        return;
    }
    row.records.push(table::Record { request, outcome, requester: from.clone(), queued_at });
}

fn queued_records(tables: &Tables) -> usize {
    tables.buckets.values().map(|row| row.records.len()).sum()
}

/// Queues an answer that is sent at the end of the tick. `maybe_stored` says that
/// the claim may be stored although it was not granted.
pub fn push_answer(
    replies: &mut Replies,
    to: &Name,
    token: Uuid,
    verdict: Verdict,
    maybe_stored: bool,
) {
    replies.answers.push((to.clone(), Answer { token, verdict, maybe_stored }));
}

/// Returns the row of a bucket, which is created if there is none.
pub fn bucket_row<'a>(
    tables: &'a mut Tables,
    context: &Context<'_>,
    bucket: Bucket,
) -> &'a mut Row {
    let now = context.now;
    let memory = &tables.memory;
    let row = tables.buckets.entry(bucket).or_insert_with(|| Row {
        cache: if memory.contains_key(&bucket) {
            Cache::Stale
        } else {
            initial_cache(context, context.limits.layout.slot_start(bucket.slot))
        },
        claims: Vec::new(),
        held: Vec::new(),
        records: Vec::new(),
        call: None,
        retry_at: now,
        failures: 0,
        restore_at: None,
        last_used: now,
    });
    row.last_used = now;
    row
}

fn initial_cache(context: &Context<'_>, start: u64) -> Cache {
    if context.wall.0.saturating_sub(start) <= NEW_SLOT_AGE.as_millis() as u64 {
        Cache::Known { version: None, value: Arc::default(), read_at: None, is_ahead: false }
    } else {
        Cache::Stale
    }
}
