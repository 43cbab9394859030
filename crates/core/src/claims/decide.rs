//! Answers claims from the cached values and starts the reads and writes of
//! buckets, with at most one call in flight for each bucket.

use std::{sync::Arc, time::Duration};

use crate::{
    claim::{Outcome, Request, Verdict},
    store::Call,
    time::Instant,
};

use super::{
    Context, Count, Limits, Outbox, Replies, intake,
    layout::Bucket,
    start_call,
    table::{Cache, Grant, Limiter, Pending, Purpose, Record, Row, Tables},
    tenure,
    value::{CLAIM_BYTES, Entry, Value},
};

/// The time that a held claim leaves for its verdict to reach the requester.
const VERDICT_TIME: Duration = Duration::from_millis(50);

/// Processes every bucket that has work, no call in flight and no back-off.
pub fn run(tables: &mut Tables, context: &Context<'_>, replies: &mut Replies, out: &mut Outbox) {
    let ready: Vec<Bucket> = ready_buckets(tables, context).collect();
    for bucket in ready {
        // The row is taken out of the table so that it can be changed together
        // with the other tables.
        let Some(mut row) = tables.buckets.remove(&bucket) else { continue };
        advance(tables, context, bucket, &mut row, replies, out);
        tables.buckets.insert(bucket, row);
    }
    evict_idle(tables, context);
}

fn ready_buckets<'a>(
    tables: &'a Tables,
    context: &'a Context<'_>,
) -> impl Iterator<Item = Bucket> + 'a {
    let rows = tables.buckets.iter();
    let idle = rows.filter(|(_, row)| row.call.is_none() && row.retry_at <= context.now);
    idle.filter(|(_, row)| !has_no_work(row)).map(|(&bucket, _)| bucket)
}

fn has_no_work(row: &Row) -> bool {
    let is_restored = row.restore_at.is_none() && !is_ahead(row);
    row.claims.is_empty() && row.held.is_empty() && row.records.is_empty() && is_restored
}

/// Whether the cached value holds entries that the store has lost.
fn is_ahead(row: &Row) -> bool {
    matches!(row.cache, Cache::Known { is_ahead: true, .. })
}

/// Returns when the next held claim no longer waits.
pub fn hold_end(row: &Row) -> Option<Instant> {
    row.held.iter().filter_map(|pending| pending.held_until).min()
}

/// Queues the held claims again that need not wait any longer: their time is over, or
/// an outcome arrived that may be the one they wait for.
fn release_held(row: &mut Row, context: &Context<'_>) {
    let Row { held, records, claims, .. } = row;
    claims.extend(held.extract_if(.., |pending| {
        let is_over = pending.held_until.is_none_or(|until| until <= context.now);
        is_over || records.iter().any(|record| record.request.key == pending.request.key)
    }));
}

fn advance(
    tables: &mut Tables,
    context: &Context<'_>,
    bucket: Bucket,
    row: &mut Row,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    release_held(row, context);
    let must_read = row.restore_at.is_some_and(|at| at <= context.now);
    if must_read && matches!(row.cache, Cache::Known { .. }) {
        // A write was under way when the read was asked for, and has cached its own value.
        row.cache = Cache::Stale;
    }
    let restores = is_ahead(row) || must_read;
    if row.claims.is_empty() && row.records.is_empty() && !restores {
        return;
    }
    match row.cache {
        Cache::Unreadable => refuse_all(row, replies, out),
        Cache::Stale => start_read(tables, context, bucket, row, out),
        Cache::Known { .. } => {
            answer_claims(tables, context, bucket, row, replies, out);
            if matches!(row.cache, Cache::Stale) {
                start_read(tables, context, bucket, row, out);
            } else if is_due(row, context) && acquire_write(tables, context, bucket.partition) {
                start_write(tables, context, bucket, row, replies, out);
            }
        }
    }
}

/// Answers all work of a bucket whose stored value cannot be decoded. The value
/// is read again when the next claim or outcome arrives.
fn refuse_all(row: &mut Row, replies: &mut Replies, out: &mut Outbox) {
    for pending in row.claims.drain(..).chain(row.held.drain(..)) {
        out.count(Count::Unsettled);
        let detail = "the stored claims cannot be read".to_owned();
        let verdict = Verdict::Unsettled { detail };
        intake::push_answer(replies, &pending.requester, pending.request.token, verdict, false);
    }
    for record in row.records.drain(..) {
        out.count(Count::OutcomeDropped);
        replies.recorded.push((record.requester, record.request.token));
    }
    row.cache = Cache::Stale;
    row.restore_at = None;
}

fn start_read(
    tables: &mut Tables,
    context: &Context<'_>,
    bucket: Bucket,
    row: &mut Row,
    out: &mut Outbox,
) {
    let get = Call::Get { key: bucket.key() };
    row.call = Some(start_call(tables, context, out, Purpose::Read { bucket }, get));
}

/// How a claim compares with the stored entry of its key.
enum Match {
    /// No other claim holds the key, so the claim can be written.
    Free,
    /// The stored entry is this claim.
    Own,
    /// The stored entry decides the verdict.
    Verdict(Verdict),
}

fn match_claim(value: &Value, request: &Request) -> Match {
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

/// Answers the claims that the cached value decides and keeps those that have
/// to be written.
fn answer_claims(
    tables: &mut Tables,
    context: &Context<'_>,
    bucket: Bucket,
    row: &mut Row,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let fresh = is_fresh(row, context);
    let Cache::Known { value, is_ahead, .. } = &row.cache else { return };
    let epoch = tables.history.epoch;
    let mut needs_read = false;
    let mut free = Vec::new();
    for mut pending in row.claims.drain(..) {
        match match_claim(value, &pending.request) {
            Match::Free if !tenure::is_doubtful(tables, bucket) => free.push(pending),
            // Another home may have stored the key again since the read.
            Match::Free if !fresh => {
                needs_read = true;
                free.push(pending);
            }
            Match::Free => finish_claim(&pending, Verdict::Unknown, replies, out),
            // The store lost the claim. It is granted once it is stored again.
            Match::Own if *is_ahead => free.push(pending),
            Match::Own => tables.grants.push(Grant { pending, bucket, epoch }),
            Match::Verdict(Verdict::Unknown) => {
                match reported_result(value, &row.records, &pending.request) {
                    Some(verdict) => finish_claim(&pending, verdict, replies, out),
                    None if is_held(&mut pending, context) => row.held.push(pending),
                    // Another home may have stored the outcome since the read.
                    None if !fresh => {
                        needs_read = true;
                        free.push(pending);
                    }
                    None => finish_claim(&pending, Verdict::Unknown, replies, out),
                }
            }
            Match::Verdict(verdict) => finish_claim(&pending, verdict, replies, out),
        }
    }
    row.claims = free;
    if needs_read {
        row.cache = Cache::Stale;
    }
}

/// Returns whether a claim still waits for the outcome of the request that holds its
/// key. A caller that sends an operation again at once often comes before the outcome.
fn is_held(pending: &mut Pending, context: &Context<'_>) -> bool {
    let latest = pending.deadline.0.saturating_sub(VERDICT_TIME.as_micros() as u64);
    let until = (context.now + context.limits.outcome_wait).min(Instant(latest));
    *pending.held_until.get_or_insert(until) > context.now
}

/// Returns the result of the request that holds the key, if it was reported to
/// this home and is not written yet.
///
/// The report comes from the VM that sent the operation, so the result is
/// correct whether or not it is written later.
fn reported_result(value: &Value, records: &[Record], request: &Request) -> Option<Verdict> {
    let entry = value.get(&request.key)?;
    let holds_key =
        |record: &&Record| record.request.key == request.key && record.request.token == entry.token;
    match &records.iter().find(holds_key)?.outcome {
        Outcome::Done { result } => Some(Verdict::Recorded { result: result.clone() }),
        Outcome::NotRun => None,
    }
}

/// Whether the cached value was read within `cache_ttl`, so that an entry or
/// outcome that it lacks counts as not stored.
fn is_fresh(row: &Row, context: &Context<'_>) -> bool {
    let Cache::Known { read_at: Some(read_at), .. } = row.cache else { return false };
    context.now.since(read_at) <= context.limits.cache_ttl
}

/// Counts the verdict and queues it for the requester.
pub fn finish_claim(pending: &Pending, verdict: Verdict, replies: &mut Replies, out: &mut Outbox) {
    out.count(match verdict {
        Verdict::Granted => Count::Granted,
        Verdict::Recorded { .. } => Count::Recorded,
        Verdict::Unknown => Count::Unknown,
        Verdict::Reused => Count::Reused,
        Verdict::Expired => Count::Expired,
        Verdict::Full => Count::Full,
        Verdict::Unsettled { .. } => Count::Unsettled,
    });
    intake::push_answer(replies, &pending.requester, pending.request.token, verdict, false);
}

/// When the waiting claims and outcomes of a bucket are due to be written, apart
/// from the rate limit. Claims, full batches and what the store has lost are due at
/// once; outcomes wait for `batch_delay`.
pub fn write_due(row: &Row, limits: &Limits) -> Option<Instant> {
    if is_ahead(row) || !row.claims.is_empty() || row.records.len() >= limits.batch_size {
        return Some(Instant::default());
    }
    row.records.iter().map(|record| record.queued_at + limits.batch_delay).min()
}

fn is_due(row: &Row, context: &Context<'_>) -> bool {
    write_due(row, context.limits).is_some_and(|due| due <= context.now)
}

/// The earliest time at which the rate limit allows the next write of a
/// partition.
pub fn earliest_write(limiter: Limiter, limits: &Limits) -> Instant {
    let burst_allowance = limits.write_interval() * limits.burst.saturating_sub(1);
    Instant(limiter.next_write.0.saturating_sub(burst_allowance.as_micros() as u64))
}

/// Counts one write against the rate limit of a partition; returns false if the
/// limit does not allow a write now.
fn acquire_write(tables: &mut Tables, context: &Context<'_>, partition: u16) -> bool {
    let limiter = tables.limiters.entry(partition).or_default();
    if earliest_write(*limiter, context.limits) > context.now {
        return false;
    }
    limiter.next_write = limiter.next_write.max(context.now) + context.limits.write_interval();
    true
}

/// Starts a compare-and-swap that adds the waiting claims and outcomes to the
/// cached value.
fn start_write(
    tables: &mut Tables,
    context: &Context<'_>,
    bucket: Bucket,
    row: &mut Row,
    replies: &mut Replies,
    out: &mut Outbox,
) {
    let Cache::Known { version, value, is_ahead, .. } = &row.cache else { return };
    let (expect, is_ahead) = (*version, *is_ahead);
    let mut value = Value::clone(value);
    let claims = add_claims(&mut value, row, context, replies, out);
    let records = add_records(&mut value, row, context, replies, out);
    if claims.is_empty() && records.is_empty() && !is_ahead {
        return;
    }
    let key = bucket.key();
    let swap = Call::Swap { key, expect, value: value.encode(), lease: None };
    let purpose = Purpose::Write { bucket, value: Arc::new(value), claims, records };
    row.call = Some(start_call(tables, context, out, purpose, swap));
}

/// Adds the waiting claims to `value` and returns those that were added. A claim
/// whose key another claim of the same write holds stays queued until the write
/// is done.
fn add_claims(
    value: &mut Value,
    row: &mut Row,
    context: &Context<'_>,
    replies: &mut Replies,
    out: &mut Outbox,
) -> Vec<Pending> {
    let mut added = Vec::new();
    let mut left = Vec::new();
    for pending in row.claims.drain(..) {
        let free = matches!(match_claim(value, &pending.request), Match::Free);
        if !free || added.len() >= context.limits.batch_size {
            left.push(pending);
        } else if value.encoded_len() + CLAIM_BYTES > context.limits.bucket_bytes / 2 {
            finish_claim(&pending, Verdict::Full, replies, out);
        } else {
            let Request { key, token, fingerprint } = pending.request;
            value.insert(key, Entry { token, fingerprint, outcome: None });
            added.push(pending);
        }
    }
    row.claims = left;
    added
}

/// Adds the waiting outcomes to `value` and returns those that changed it.
fn add_records(
    value: &mut Value,
    row: &mut Row,
    context: &Context<'_>,
    replies: &mut Replies,
    out: &mut Outbox,
) -> Vec<Record> {
    let mut added = Vec::new();
    let fresh = is_fresh(row, context);
    let mut rest = row.records.split_off(row.records.len().min(context.limits.batch_size));
    for record in row.records.drain(..) {
        match insert_outcome(value, &record, context) {
            Insertion::Changed => added.push(record),
            Insertion::Present => replies.recorded.push((record.requester, record.request.token)),
            // Another home may have stored the claim since the read.
            Insertion::Refused if !fresh => {
                row.cache = Cache::Stale;
                rest.push(record);
            }
            Insertion::Refused => {
                out.count(Count::OutcomeDropped);
                replies.recorded.push((record.requester, record.request.token));
            }
        }
    }
    row.records = rest;
    added
}

/// The result of inserting an outcome into a value.
enum Insertion {
    /// The value was changed and has to be written.
    Changed,
    /// The value already held the outcome.
    Present,
    /// The key is held by another token or has a result, or the value is full.
    Refused,
}

/// Inserts an outcome into `value`. Only the token that holds the key may set an
/// outcome, and a stored result is never replaced.
fn insert_outcome(value: &mut Value, record: &Record, context: &Context<'_>) -> Insertion {
    let Request { key, token, fingerprint } = record.request;
    let outcome = Some(record.outcome.clone());
    let stored = value.get(&key);
    if stored.is_some_and(|entry| entry.outcome == outcome && entry.token == token) {
        return Insertion::Present;
    }
    let allowed = match (stored, &record.outcome) {
        // A release may arrive before its claim; the claim is then answered as
        // released.
        (None, Outcome::NotRun) => true,
        (None, Outcome::Done { .. }) => false,
        (Some(entry), _) => {
            entry.token == token && !matches!(entry.outcome, Some(Outcome::Done { .. }))
        }
    };
    let growth = match &record.outcome {
        Outcome::Done { result } => result.len() + 4,
        Outcome::NotRun => CLAIM_BYTES,
    };
    if !allowed || value.encoded_len() + growth > context.limits.bucket_bytes {
        return Insertion::Refused;
    }
    value.insert(key, Entry { token, fingerprint, outcome });
    Insertion::Changed
}

/// Evicts the least recently used buckets without work once more than
/// `cached_buckets` are held. Their values are read again when needed.
fn evict_idle(tables: &mut Tables, context: &Context<'_>) {
    while tables.buckets.len() > context.limits.cached_buckets {
        let idle = tables.buckets.iter().filter(|(_, row)| row.call.is_none() && has_no_work(row));
        let Some((&bucket, _)) = idle.min_by_key(|(_, row)| row.last_used) else { return };
        tables.buckets.remove(&bucket);
    }
}
