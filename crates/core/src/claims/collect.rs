//! Applies the replies to store calls, and the calls that timed out, to the
//! tables.

use std::{sync::Arc, time::Duration};

use crate::{
    claim::Verdict,
    store::{Call, Entry, Reply, Version},
};

use super::{
    Context, Count, Message, Outbox, Replies, decide, era,
    intake::Answered,
    layout::{Bucket, FLOOR_KEY},
    memory, start_call, sweep,
    table::{Cache, CallId, Grant, Pending, Purpose, Record, Row, StoredFloor, Tables},
    tenure,
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
    let reply = era::receive(tables, context, &call, era, reply, out);
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
        Purpose::Undo | Purpose::LossWrite => {}
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
            notify_home(tables, context, bucket, out);
            let epoch = tables.history.epoch;
            let grants = batch.claims.into_iter().map(|pending| Grant { pending, bucket, epoch });
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

/// Tells the home of a bucket that this VM, which is not its home, wrote it.
fn notify_home(tables: &Tables, context: &Context<'_>, bucket: Bucket, out: &mut Outbox) {
    if tables.tenure.since.contains_key(&bucket.partition) {
        return;
    }
    if let Some(home) = tenure::home(context, bucket.partition).filter(|vm| *vm != context.vm) {
        out.messages.push((home.clone(), Message::Written(bucket)));
    }
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
/// another epoch than that of the floor is settled once more.
fn handle_confirm(
    tables: &mut Tables,
    context: &Context<'_>,
    grants: Vec<Grant>,
    reply: &Reply,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let stored = decode_floor(reply);
    let recorded = stored.filter(|stored| is_loss_recorded(tables, context, *stored, out));
    let Some(StoredFloor { floor, .. }) = recorded else {
        tables.grants.extend(grants);
        tables.next_confirm = context.now + INITIAL_BACKOFF;
        return;
    };
    tables.floor = tables.floor.max(floor.slot);
    tables.history.loss = era::loss(tables, context, floor);
    for grant in grants {
        if grant.epoch != tables.history.epoch {
            era::settle(tables, context, grant);
            continue;
        }
        let verdict = if grant.bucket.slot < tables.floor {
            undo_write(tables, context, grant.bucket, out);
            Verdict::Expired
        } else if tenure::is_doubtful(tables, grant.bucket) {
            Verdict::Unknown
        } else {
            Verdict::Granted
        };
        decide::finish_claim(&grant.pending, verdict, replies, out);
    }
}

/// Returns whether the floor states the loss of the present era, and starts to write it
/// otherwise. Nothing is granted before that: a VM that starts later learns of the loss
/// only from the floor.
fn is_loss_recorded(
    tables: &mut Tables,
    context: &Context<'_>,
    stored: StoredFloor,
    out: &mut Outbox,
) -> bool {
    let StoredFloor { version, floor } = stored;
    let loss = era::loss(tables, context, floor);
    let Some(expect) = version.filter(|_| loss != floor.loss) else { return true };
    let value = Floor { loss, ..floor }.encode();
    let key = FLOOR_KEY.to_owned();
    let swap = Call::Swap { key, expect: Some(expect), value, lease: None };
    start_call(tables, context, out, Purpose::LossWrite, swap);
    false
}

/// Returns the floor, or `None` if the read failed or its value cannot be decoded. A
/// floor that was never written is zero.
fn decode_floor(reply: &Reply) -> Option<StoredFloor> {
    match reply {
        Reply::Value { entry: None, .. } => {
            Some(StoredFloor { version: None, floor: Floor::default() })
        }
        Reply::Value { entry: Some(entry), .. } => {
            let floor = Floor::try_from(entry.value.as_slice()).ok()?;
            Some(StoredFloor { version: Some(entry.version), floor })
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
