//! Answers claims from what is stored and starts the reads and writes of the
//! buckets, one at a time for each.

use crate::{
    claim::{Outcome, Request, Verdict},
    store::Call,
    time::Instant,
};

use super::{
    Count, Limits, Outbox, Replies, Scope, call, intake,
    layout::Bucket,
    table::{Grant, Hint, Pace, Pending, Purpose, Record, Row, Tables},
    value::{CLAIM_SIZE, Entry, Value},
};

/// Runs the system.
pub fn run(tables: &mut Tables, scope: &Scope<'_>, replies: &mut Replies, out: &mut Outbox) {
    let ready: Vec<Bucket> = ready(tables, scope).collect();
    for bucket in ready {
        // The row stays out of the table while the system works on it.
        let Some(mut row) = tables.buckets.remove(&bucket) else { continue };
        step(tables, scope, bucket, &mut row, replies, out);
        tables.buckets.insert(bucket, row);
    }
    prune(tables, scope);
}

fn ready<'a>(tables: &'a Tables, scope: &'a Scope<'_>) -> impl Iterator<Item = Bucket> + 'a {
    let rows = tables.buckets.iter();
    let idle = rows.filter(|(_, row)| row.call.is_none() && row.retry <= scope.now);
    idle.filter(|(_, row)| !is_empty(row)).map(|(&bucket, _)| bucket)
}

fn is_empty(row: &Row) -> bool {
    row.claims.is_empty() && row.records.is_empty()
}

fn step(
    tables: &mut Tables,
    scope: &Scope<'_>,
    bucket: Bucket,
    row: &mut Row,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    match row.hint {
        Hint::Unreadable => refuse(row, replies, out),
        Hint::Stale => read(tables, scope, bucket, row, out),
        Hint::Known { .. } => {
            answer(tables, scope, bucket, row, replies, out);
            if matches!(row.hint, Hint::Stale) {
                read(tables, scope, bucket, row, out);
            } else if is_due(row, scope) && pace(tables, scope, bucket.part) {
                write(tables, scope, bucket, row, replies, out);
            }
        }
    }
}

fn refuse(row: &mut Row, replies: &mut Replies, out: &mut Outbox) {
    for pending in row.claims.drain(..) {
        out.count(Count::Unsettled);
        let detail = "the stored claims cannot be read".to_owned();
        let verdict = Verdict::Unsettled { detail };
        intake::answer(replies, &pending.requester, pending.request.token, verdict, false);
    }
    for record in row.records.drain(..) {
        out.count(Count::OutcomeDropped);
        replies.recorded.push((record.requester, record.request.token));
    }
    row.hint = Hint::Stale;
}

fn read(tables: &mut Tables, scope: &Scope<'_>, bucket: Bucket, row: &mut Row, out: &mut Outbox) {
    let get = Call::Get { key: bucket.text() };
    row.call = Some(call(tables, scope, out, Purpose::Read { bucket }, get));
}

/// What a stored entry means for a claim.
enum Match {
    /// The key is free: the claim has to be written.
    Free,
    /// The claim itself is stored.
    Own,
    /// The claim is answered.
    Verdict(Verdict),
}

fn examine(value: &Value, request: &Request) -> Match {
    let Some(entry) = value.get(&request.key) else { return Match::Free };
    if entry.fingerprint != request.fingerprint {
        return Match::Verdict(Verdict::Reused);
    }
    let own = entry.token == request.token;
    match &entry.outcome {
        Some(Outcome::Done { result }) => {
            Match::Verdict(Verdict::Recorded { result: result.clone() })
        }
        Some(Outcome::NotRun) if own => {
            let detail = "the claim was released".to_owned();
            Match::Verdict(Verdict::Unsettled { detail })
        }
        Some(Outcome::NotRun) => Match::Free,
        None if own => Match::Own,
        None => Match::Verdict(Verdict::Unknown),
    }
}

/// Answers the claims whose keys are stored.
fn answer(
    tables: &mut Tables,
    scope: &Scope<'_>,
    bucket: Bucket,
    row: &mut Row,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let fresh = is_fresh(row, scope);
    let Hint::Known { value, .. } = &row.hint else { return };
    let mut reread = false;
    let mut free = Vec::new();
    for pending in row.claims.drain(..) {
        match examine(value, &pending.request) {
            Match::Free => free.push(pending),
            Match::Own => tables.grants.push(Grant { pending, bucket }),
            Match::Verdict(Verdict::Unknown) => match told(value, &row.records, &pending.request) {
                Some(verdict) => settle(&pending, verdict, replies, out),
                // Another home may have stored the outcome meanwhile.
                None if !fresh => {
                    reread = true;
                    free.push(pending);
                }
                None => settle(&pending, Verdict::Unknown, replies, out),
            },
            Match::Verdict(verdict) => settle(&pending, verdict, replies, out),
        }
    }
    row.claims = free;
    if reread {
        row.hint = Hint::Stale;
    }
}

/// The result of the run that holds the key, if it was reported to this home
/// and only waits to be written.
///
/// The report comes from the VM that ran the operation, so the result is true
/// whether or not it is written later.
fn told(value: &Value, records: &[Record], request: &Request) -> Option<Verdict> {
    let entry = value.get(&request.key)?;
    let is_of_run =
        |record: &&Record| record.request.key == request.key && record.request.token == entry.token;
    match &records.iter().find(is_of_run)?.outcome {
        Outcome::Done { result } => Some(Verdict::Recorded { result: result.clone() }),
        Outcome::NotRun => None,
    }
}

/// Whether the remembered value was read lately, so that what it lacks may be
/// taken as missing.
fn is_fresh(row: &Row, scope: &Scope<'_>) -> bool {
    let Hint::Known { read: Some(read), .. } = row.hint else { return false };
    scope.now.since(read) <= scope.limits.fresh
}

fn settle(pending: &Pending, verdict: Verdict, replies: &mut Replies, out: &mut Outbox) {
    out.count(match verdict {
        Verdict::Granted => Count::Granted,
        Verdict::Recorded { .. } => Count::Recorded,
        Verdict::Unknown => Count::Unknown,
        Verdict::Reused => Count::Reused,
        Verdict::Expired => Count::Expired,
        Verdict::Full => Count::Full,
        Verdict::Unsettled { .. } => Count::Unsettled,
    });
    intake::answer(replies, &pending.requester, pending.request.token, verdict, false);
}

/// When the waiting claims and outcomes of a bucket are due to be written,
/// leaving the pace aside.
pub fn due(row: &Row, limits: &Limits) -> Option<Instant> {
    if !row.claims.is_empty() || row.records.len() >= limits.group {
        return Some(Instant::default());
    }
    row.records.iter().map(|record| record.since + limits.batch_delay).min()
}

fn is_due(row: &Row, scope: &Scope<'_>) -> bool {
    due(row, scope.limits).is_some_and(|due| due <= scope.now)
}

/// When the pace allows the next write of a part.
pub fn paced(pace: Pace, limits: &Limits) -> Instant {
    let early = limits.interval() * limits.burst.saturating_sub(1);
    Instant(pace.next.0.saturating_sub(early.as_micros() as u64))
}

/// Takes one write of the part's pace, if it allows one now.
fn pace(tables: &mut Tables, scope: &Scope<'_>, part: u16) -> bool {
    let pace = tables.paces.entry(part).or_default();
    if paced(*pace, scope.limits) > scope.now {
        return false;
    }
    pace.next = pace.next.max(scope.now) + scope.limits.interval();
    true
}

fn write(
    tables: &mut Tables,
    scope: &Scope<'_>,
    bucket: Bucket,
    row: &mut Row,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Hint::Known { version, value, .. } = &row.hint else { return };
    let expect = *version;
    let mut value = value.clone();
    let claims = add_claims(&mut value, row, scope, replies, out);
    let records = add_records(&mut value, row, scope, replies, out);
    if claims.is_empty() && records.is_empty() {
        return;
    }
    let key = bucket.text();
    let swap = Call::Swap { key, expect, value: value.encode(), lease: None };
    let purpose = Purpose::Write { bucket, value, claims, records };
    row.call = Some(call(tables, scope, out, purpose, swap));
}

/// Adds the waiting claims to `value` and returns those that it holds now. A
/// claim whose key another claim took in this same write waits for its result.
fn add_claims(
    value: &mut Value,
    row: &mut Row,
    scope: &Scope<'_>,
    replies: &mut Replies,
    out: &mut Outbox,
) -> Vec<Pending> {
    let mut added = Vec::new();
    let mut left = Vec::new();
    for pending in row.claims.drain(..) {
        let free = matches!(examine(value, &pending.request), Match::Free);
        if !free || added.len() >= scope.limits.group {
            left.push(pending);
        } else if value.size() + CLAIM_SIZE > scope.limits.bucket_bytes / 2 {
            settle(&pending, Verdict::Full, replies, out);
        } else {
            let Request { key, token, fingerprint } = pending.request;
            value.insert(key, Entry { token, fingerprint, outcome: None });
            added.push(pending);
        }
    }
    row.claims = left;
    added
}

/// Adds the waiting outcomes to `value` and returns those that it holds now.
fn add_records(
    value: &mut Value,
    row: &mut Row,
    scope: &Scope<'_>,
    replies: &mut Replies,
    out: &mut Outbox,
) -> Vec<Record> {
    let mut added = Vec::new();
    let fresh = is_fresh(row, scope);
    let mut rest = row.records.split_off(row.records.len().min(scope.limits.group));
    for record in row.records.drain(..) {
        match apply(value, &record, scope) {
            Applied::Changed => added.push(record),
            Applied::Stored => replies.recorded.push((record.requester, record.request.token)),
            // Another home may have stored the claim.
            Applied::Refused if !fresh => {
                row.hint = Hint::Stale;
                rest.push(record);
            }
            Applied::Refused => {
                out.count(Count::OutcomeDropped);
                replies.recorded.push((record.requester, record.request.token));
            }
        }
    }
    row.records = rest;
    added
}

/// What became of an outcome.
enum Applied {
    /// The value holds it now and has to be written.
    Changed,
    /// The value held it already.
    Stored,
    /// The value does not take it.
    Refused,
}

/// Puts an outcome into `value`. Only the token that holds the key may do so;
/// what ran is never changed to what did not run.
fn apply(value: &mut Value, record: &Record, scope: &Scope<'_>) -> Applied {
    let Request { key, token, fingerprint } = record.request;
    let outcome = Some(record.outcome.clone());
    let stored = value.get(&key);
    if stored.is_some_and(|entry| entry.outcome == outcome && entry.token == token) {
        return Applied::Stored;
    }
    let allowed = match (stored, &record.outcome) {
        // A release may overtake its claim, which then finds itself released.
        (None, Outcome::NotRun) => true,
        (None, Outcome::Done { .. }) => false,
        (Some(entry), _) => {
            entry.token == token && !matches!(entry.outcome, Some(Outcome::Done { .. }))
        }
    };
    let grows = match &record.outcome {
        Outcome::Done { result } => result.len() + 4,
        Outcome::NotRun => CLAIM_SIZE,
    };
    if !allowed || value.size() + grows > scope.limits.bucket_bytes {
        return Applied::Refused;
    }
    value.insert(key, Entry { token, fingerprint, outcome });
    Applied::Changed
}

/// Forgets the least recently used buckets that have no work. The stored value
/// is read again when it is needed.
fn prune(tables: &mut Tables, scope: &Scope<'_>) {
    while tables.buckets.len() > scope.limits.buckets {
        let idle = tables.buckets.iter().filter(|(_, row)| row.call.is_none() && is_empty(row));
        let Some((&bucket, _)) = idle.min_by_key(|(_, row)| row.used) else { return };
        tables.buckets.remove(&bucket);
    }
}
