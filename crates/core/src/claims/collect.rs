//! Takes the answers to store calls, and the calls that got none, into the
//! tables.

use std::time::Duration;

use crate::{
    claim::Verdict,
    store::{Call, Entry, Reply, Version},
};

use super::{
    Count, Outbox, Replies, Scope, call, intake,
    layout::Bucket,
    sweep,
    table::{CallId, Grant, Hint, Pending, Purpose, Record, Row, Tables},
    value::{Floor, Value},
};

/// The wait after the first failed call of a bucket; it doubles with each.
const FIRST_RETRY: Duration = Duration::from_millis(20);
/// The doublings after which the wait stays the same.
const MAX_DOUBLINGS: u32 = 5;

/// Runs the system.
pub fn run(
    tables: &mut Tables,
    scope: &Scope<'_>,
    calls: Vec<(CallId, Reply)>,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    for (id, reply) in calls {
        take(tables, scope, id, reply, replies, out);
    }
    for id in overdue(tables, scope) {
        let detail = "the call got no answer in time".to_owned();
        take(tables, scope, id, Reply::Lost { detail }, replies, out);
    }
}

fn overdue(tables: &Tables, scope: &Scope<'_>) -> Vec<CallId> {
    let due = tables.calls.iter().filter(|(_, flight)| flight.deadline <= scope.now);
    due.map(|(&id, _)| id).collect()
}

fn take(
    tables: &mut Tables,
    scope: &Scope<'_>,
    id: CallId,
    reply: Reply,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Some(flight) = tables.calls.remove(&id) else { return };
    if matches!(reply, Reply::Lost { .. }) {
        out.count(Count::Lost);
    }
    match flight.purpose {
        Purpose::Read { bucket } => read(tables, scope, bucket, reply),
        Purpose::Write { bucket, value, claims, records } => {
            let batch = Batch { value, claims, records };
            written(tables, scope, bucket, batch, reply, replies, out);
        }
        Purpose::Confirm { grants } => confirmed(tables, scope, grants, &reply, replies, out),
        Purpose::Undo => {}
        purpose => sweep::collect(tables, scope, purpose, reply, out),
    }
}

fn read(tables: &mut Tables, scope: &Scope<'_>, bucket: Bucket, reply: Reply) {
    let Some(row) = tables.buckets.get_mut(&bucket) else { return };
    row.call = None;
    match reply {
        Reply::Value { entry, .. } => {
            row.failures = 0;
            row.hint = hint(entry, scope);
        }
        _ => fail(row, scope),
    }
}

struct Batch {
    value: Value,
    claims: Vec<Pending>,
    records: Vec<Record>,
}

fn written(
    tables: &mut Tables,
    scope: &Scope<'_>,
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
            row.hint =
                Hint::Known { version: Some(version), value: batch.value, read: Some(scope.now) };
            let grants = batch.claims.into_iter().map(|pending| Grant { pending, bucket });
            tables.grants.extend(grants);
            let recorded = batch.records.into_iter();
            replies.recorded.extend(recorded.map(|r| (r.requester, r.request.token)));
            return;
        }
        Reply::Conflict { current } => {
            out.count(Count::Conflict);
            row.failures = 0;
            row.hint = hint(current, scope);
        }
        Reply::Refused { .. } => fail(row, scope),
        _ => {
            // The write may have taken effect, or may still do so: only a new
            // read shows the tokens that are stored.
            row.hint = Hint::Stale;
            fail(row, scope);
        }
    }
    row.claims.splice(0..0, batch.claims);
    row.records.splice(0..0, batch.records);
}

fn fail(row: &mut Row, scope: &Scope<'_>) {
    let doublings = row.failures.min(MAX_DOUBLINGS);
    row.failures += 1;
    row.retry = scope.now + FIRST_RETRY * 2u32.pow(doublings);
}

fn hint(entry: Option<Entry>, scope: &Scope<'_>) -> Hint {
    let Some(entry) = entry else {
        return Hint::Known { version: None, value: Value::default(), read: Some(scope.now) };
    };
    match Value::try_from(entry.value.as_slice()) {
        Ok(value) => Hint::Known { version: Some(entry.version), value, read: Some(scope.now) },
        Err(_) => Hint::Unreadable,
    }
}

fn confirmed(
    tables: &mut Tables,
    scope: &Scope<'_>,
    grants: Vec<Grant>,
    reply: &Reply,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Some(floor) = floor(reply) else {
        tables.grants.extend(grants);
        tables.confirm = scope.now + FIRST_RETRY;
        return;
    };
    tables.floor = tables.floor.max(floor);
    for grant in grants {
        let below = grant.bucket.slot < tables.floor;
        let verdict = if below { Verdict::Expired } else { Verdict::Granted };
        out.count(if below { Count::Expired } else { Count::Granted });
        if below {
            undo(tables, scope, grant.bucket, out);
        }
        let pending = grant.pending;
        intake::answer(replies, &pending.requester, pending.request.token, verdict, false);
    }
}

/// Reads the slot of the floor from the answer to a read, or none if there was
/// no usable answer. A floor that was never written is zero.
fn floor(reply: &Reply) -> Option<u64> {
    match reply {
        Reply::Value { entry: None, .. } => Some(0),
        Reply::Value { entry: Some(entry), .. } => {
            Floor::try_from(entry.value.as_slice()).ok().map(|floor| floor.slot)
        }
        _ => None,
    }
}

/// Removes a bucket that this home wrote below the floor.
fn undo(tables: &mut Tables, scope: &Scope<'_>, bucket: Bucket, out: &mut Outbox) {
    let Some(row) = tables.buckets.get_mut(&bucket) else { return };
    let Hint::Known { version: Some(expect), .. } = row.hint else { return };
    row.hint = Hint::Stale;
    remove(tables, scope, bucket, expect, out);
}

fn remove(
    tables: &mut Tables,
    scope: &Scope<'_>,
    bucket: Bucket,
    expect: Version,
    out: &mut Outbox,
) {
    let key = bucket.text();
    call(tables, scope, out, Purpose::Undo, Call::Remove { key, expect });
}
