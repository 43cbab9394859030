//! Applies the replies to store calls, and the calls that timed out, to the
//! tables.

use std::{sync::Arc, time::Duration};

use crate::{
    claim::Verdict,
    store::{Call, Entry, Era, Reply, Version},
};

use super::{
    Context, Count, Outbox, Replies, era,
    intake::{self, Answered},
    layout::Bucket,
    memory, start_call, sweep,
    table::{Cache, CallId, Grant, Pending, Purpose, Record, Row, Tables},
    value::{Floor, Value},
};

/// The wait before a bucket is retried after one failed call. It doubles with
/// each further failure in a row.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
/// The number of doublings after which the wait no longer grows.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Handles `calls`, and treats every call past its deadline as lost.
pub fn run(
    tables: &mut Tables,
    context: &Context<'_>,
    calls: Vec<Answered>,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    for answered in calls {
        handle_reply(tables, context, answered, replies, out);
    }
    for id in timed_out(tables, context) {
        let detail = "the call got no answer in time".to_owned();
        let answered = Answered { id, era: None, reply: Reply::Lost { detail } };
        handle_reply(tables, context, answered, replies, out);
    }
}

fn timed_out(tables: &Tables, context: &Context<'_>) -> Vec<CallId> {
    let due = tables.calls.iter().filter(|(_, call)| call.deadline <= context.now);
    due.map(|(&id, _)| id).collect()
}

fn handle_reply(
    tables: &mut Tables,
    context: &Context<'_>,
    answered: Answered,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Answered { id, era, reply } = answered;
    let Some(call) = tables.calls.remove(&id) else { return };
    if let Some(era) = era {
        era::observe(tables, context, era, out);
    }
    let reply = era::check(tables, &call, era, reply);
    if matches!(reply, Reply::Lost { .. }) {
        out.count(Count::Lost);
    }
    match call.purpose {
        Purpose::Read { bucket } => handle_read(tables, context, bucket, reply),
        Purpose::Write { bucket, value, claims, records } => {
            let batch = Batch { value, claims, records };
            handle_write(tables, context, bucket, batch, reply, replies, out);
        }
        Purpose::Confirm { grants } => {
            handle_confirm(tables, context, grants, era, &reply, replies, out)
        }
        Purpose::Undo => {}
        purpose => sweep::handle_reply(tables, context, purpose, reply, out),
    }
}

/// Caches the value that was read.
fn handle_read(tables: &mut Tables, context: &Context<'_>, bucket: Bucket, reply: Reply) {
    let Some(mut row) = tables.buckets.remove(&bucket) else { return };
    row.call = None;
    match reply {
        Reply::Value { entry, .. } => {
            row.failures = 0;
            row.cache = decode(entry, context);
            memory::merge(tables, context, bucket, &mut row);
        }
        _ => back_off(&mut row, context),
    }
    tables.buckets.insert(bucket, row);
}

/// The claims and outcomes that were put into one write, and the value written.
struct Batch {
    value: Arc<Value>,
    claims: Vec<Pending>,
    records: Vec<Record>,
}

/// Moves written claims on to the read of the floor and acknowledges written
/// outcomes. After a failure all of them return to the front of their queues.
fn handle_write(
    tables: &mut Tables,
    context: &Context<'_>,
    bucket: Bucket,
    batch: Batch,
    reply: Reply,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Some(mut row) = tables.buckets.remove(&bucket) else { return };
    row.call = None;
    match reply {
        Reply::Swapped { version } => {
            row.failures = 0;
            memory::remember(tables, context, bucket, Arc::clone(&batch.value));
            row.cache = Cache::Known {
                version: Some(version),
                value: batch.value,
                read_at: Some(context.now),
                is_ahead: false,
            };
            tables.buckets.insert(bucket, row);
            let era = tables.history.era;
            let grants = batch.claims.into_iter().map(|pending| Grant { pending, bucket, era });
            tables.grants.extend(grants);
            let recorded = batch.records.into_iter();
            replies.recorded.extend(recorded.map(|r| (r.requester, r.request.token)));
            return;
        }
        Reply::Conflict { current } => {
            out.count(Count::Conflict);
            row.failures = 0;
            row.cache = decode(current, context);
            memory::merge(tables, context, bucket, &mut row);
        }
        Reply::Refused { .. } => back_off(&mut row, context),
        _ => {
            // The write may have taken effect or may still do so, so only a new
            // read shows which tokens are stored.
            row.cache = Cache::Stale;
            back_off(&mut row, context);
        }
    }
    row.claims.splice(0..0, batch.claims);
    row.records.splice(0..0, batch.records);
    tables.buckets.insert(bucket, row);
}

/// Delays the next call of a bucket after a failure.
fn back_off(row: &mut Row, context: &Context<'_>) {
    let doublings = row.failures.min(MAX_BACKOFF_DOUBLINGS);
    row.failures += 1;
    row.retry_at = context.now + INITIAL_BACKOFF * 2u32.pow(doublings);
}

fn decode(entry: Option<Entry>, context: &Context<'_>) -> Cache {
    let Some(entry) = entry else {
        return known(None, Value::default(), context);
    };
    match Value::try_from(entry.value.as_slice()) {
        Ok(value) => known(Some(entry.version), value, context),
        Err(_) => Cache::Unreadable,
    }
}

fn known(version: Option<Version>, value: Value, context: &Context<'_>) -> Cache {
    let read_at = Some(context.now);
    Cache::Known { version, value: Arc::new(value), read_at, is_ahead: false }
}

/// Answers stored claims once the floor was read. A claim whose slot is below
/// the floor has expired, and its bucket is removed again. A claim that was stored in
/// another era than that of the floor is settled once more.
fn handle_confirm(
    tables: &mut Tables,
    context: &Context<'_>,
    grants: Vec<Grant>,
    era: Option<Era>,
    reply: &Reply,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Some(floor) = decode_floor(reply) else {
        tables.grants.extend(grants);
        tables.next_confirm = context.now + INITIAL_BACKOFF;
        return;
    };
    tables.floor = tables.floor.max(floor);
    let era = era.or(tables.history.era);
    for grant in grants {
        if grant.era != era {
            era::settle(tables, context, grant);
            continue;
        }
        let below = grant.bucket.slot < tables.floor;
        let verdict = if below { Verdict::Expired } else { Verdict::Granted };
        out.count(if below { Count::Expired } else { Count::Granted });
        if below {
            undo_write(tables, context, grant.bucket, out);
        }
        let pending = grant.pending;
        intake::push_answer(replies, &pending.requester, pending.request.token, verdict, false);
    }
}

/// Returns the slot of the floor, or `None` if the read failed or its value
/// cannot be decoded. A floor that was never written is zero.
fn decode_floor(reply: &Reply) -> Option<u64> {
    match reply {
        Reply::Value { entry: None, .. } => Some(0),
        Reply::Value { entry: Some(entry), .. } => {
            Floor::try_from(entry.value.as_slice()).ok().map(|floor| floor.slot)
        }
        _ => None,
    }
}

/// Removes a bucket that this home wrote although its slot is below the floor.
fn undo_write(tables: &mut Tables, context: &Context<'_>, bucket: Bucket, out: &mut Outbox) {
    let Some(row) = tables.buckets.get_mut(&bucket) else { return };
    let Cache::Known { version: Some(expect), .. } = row.cache else { return };
    row.cache = Cache::Stale;
    start_removal(tables, context, bucket, expect, out);
}

fn start_removal(
    tables: &mut Tables,
    context: &Context<'_>,
    bucket: Bucket,
    expect: Version,
    out: &mut Outbox,
) {
    let key = bucket.key();
    start_call(tables, context, out, Purpose::Undo, Call::Remove { key, expect });
}
