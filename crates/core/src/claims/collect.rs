//! Applies the replies to store calls, and the calls that timed out, to the
//! tables.

use std::time::Duration;

use crate::{
    claim::Verdict,
    store::{Call, Entry, Reply, Version},
};

use super::{
    Context, Count, Outbox, Replies, intake,
    layout::Bucket,
    start_call, sweep,
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
    calls: Vec<(CallId, Reply)>,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    for (id, reply) in calls {
        handle_reply(tables, context, id, reply, replies, out);
    }
    for id in timed_out(tables, context) {
        let detail = "the call got no answer in time".to_owned();
        handle_reply(tables, context, id, Reply::Lost { detail }, replies, out);
    }
}

fn timed_out(tables: &Tables, context: &Context<'_>) -> Vec<CallId> {
    let due = tables.calls.iter().filter(|(_, call)| call.deadline <= context.now);
    due.map(|(&id, _)| id).collect()
}

fn handle_reply(
    tables: &mut Tables,
    context: &Context<'_>,
    id: CallId,
    reply: Reply,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Some(call) = tables.calls.remove(&id) else { return };
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
            handle_confirm(tables, context, grants, &reply, replies, out)
        }
        Purpose::Undo => {}
        purpose => sweep::handle_reply(tables, context, purpose, reply, out),
    }
}

/// Caches the value that was read.
fn handle_read(tables: &mut Tables, context: &Context<'_>, bucket: Bucket, reply: Reply) {
    let Some(row) = tables.buckets.get_mut(&bucket) else { return };
    row.call = None;
    match reply {
        Reply::Value { entry, .. } => {
            row.failures = 0;
            row.cache = decode(entry, context);
        }
        _ => back_off(row, context),
    }
}

/// The claims and outcomes that were put into one write, and the value written.
struct Batch {
    value: Value,
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
    let Some(row) = tables.buckets.get_mut(&bucket) else { return };
    row.call = None;
    match reply {
        Reply::Swapped { version } => {
            row.failures = 0;
            row.cache = Cache::Known {
                version: Some(version),
                value: batch.value,
                read_at: Some(context.now),
            };
            let grants = batch.claims.into_iter().map(|pending| Grant { pending, bucket });
            tables.grants.extend(grants);
            let recorded = batch.records.into_iter();
            replies.recorded.extend(recorded.map(|r| (r.requester, r.request.token)));
            return;
        }
        Reply::Conflict { current } => {
            out.count(Count::Conflict);
            row.failures = 0;
            row.cache = decode(current, context);
        }
        Reply::Refused { .. } => back_off(row, context),
        _ => {
            // The write may have taken effect or may still do so, so only a new
            // read shows which tokens are stored.
            row.cache = Cache::Stale;
            back_off(row, context);
        }
    }
    row.claims.splice(0..0, batch.claims);
    row.records.splice(0..0, batch.records);
}

/// Delays the next call of a bucket after a failure.
fn back_off(row: &mut Row, context: &Context<'_>) {
    let doublings = row.failures.min(MAX_BACKOFF_DOUBLINGS);
    row.failures += 1;
    row.retry_at = context.now + INITIAL_BACKOFF * 2u32.pow(doublings);
}

fn decode(entry: Option<Entry>, context: &Context<'_>) -> Cache {
    let Some(entry) = entry else {
        return Cache::Known { version: None, value: Value::default(), read_at: Some(context.now) };
    };
    match Value::try_from(entry.value.as_slice()) {
        Ok(value) => {
            Cache::Known { version: Some(entry.version), value, read_at: Some(context.now) }
        }
        Err(_) => Cache::Unreadable,
    }
}

/// Answers stored claims once the floor was read. A claim whose slot is below
/// the floor has expired, and its bucket is removed again.
fn handle_confirm(
    tables: &mut Tables,
    context: &Context<'_>,
    grants: Vec<Grant>,
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
    for grant in grants {
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
