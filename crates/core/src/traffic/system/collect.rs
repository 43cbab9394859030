//! Handles the events of the client of the targets.

use crate::{
    count::{Count, Drop, Retry},
    digest,
    fault::{Kind, Ran},
    id, key, latency,
    log::{Event, Line},
    message::Outcome,
    name::Name,
    notice::Report,
    target::{self, Refusal, Reply, Row, Version, Work},
    time::Instant,
    traffic::{
        Context, Outbox, Tables,
        system::{connect, job},
        table::Attempt,
    },
};

/// Handles the events in the order of their arrival.
pub fn run(tables: &mut Tables, cx: &mut Context, events: Vec<target::Event>, out: &mut Outbox) {
    for event in events {
        match event {
            target::Event::Opened { connection, status } => {
                connect::opened(tables, cx, connection, out);
                take_status(tables, cx, connection, status, out);
            }
            target::Event::Status { connection, status } => {
                take_status(tables, cx, connection, status, out);
            }
            target::Event::Reply { connection, attempt, reply } => {
                replied(tables, cx, connection, attempt, reply, out);
            }
            target::Event::Unsent { attempt, .. } => unsent(tables, cx, attempt, out),
            target::Event::Closed { connection, detail } => {
                closed(tables, cx, connection, &detail, out);
            }
        }
    }
}

/// Handles a status that a target sent over a connection.
fn take_status(
    tables: &mut Tables,
    cx: &Context,
    connection: id::Connection,
    status: target::Status,
    out: &mut Outbox,
) {
    connect::record_activity(tables, cx, connection);
    let Some(row) = tables.connections.get(&connection) else { return };
    let name = row.target.clone();
    if let Some(target) = tables.targets.get_mut(&name) {
        if cx.now.since(target.status_at) > cx.limits.status_max_age {
            // Jobs may have waited for a status that is recent enough.
            tables.to_dispatch.insert(target.shard.clone());
        }
        target.status_at = cx.now;
    }
    connect::apply_status(tables, &name, status, out);
}

fn replied(
    tables: &mut Tables,
    cx: &mut Context,
    connection: id::Connection,
    sent_as: id::Attempt,
    reply: Reply,
    out: &mut Outbox,
) {
    if let Some(status) = reply.status {
        take_status(tables, cx, connection, status, out);
    } else {
        connect::record_activity(tables, cx, connection);
    }
    if reply.attempt.is_some_and(|echoed| echoed != sent_as) {
        record_dropped(Drop::Crossed, sent_as, out);
        fail_attempt(tables, cx, sent_as, Retry::Garbled, out);
        let target = tables.connections.get(&connection).map(|row| row.target.clone());
        connect::close(tables, cx, connection, out);
        if let Some(target) = target {
            // Without a connection the status of the target would not be read
            // any more.
            connect::reopen(tables, cx, &target, out);
        }
        return;
    }
    let Some(attempt) = job::release(tables, sent_as) else {
        out.count(Count::Dropped(Drop::Late));
        return;
    };
    match reply.outcome {
        target::Outcome::Refused(refusal) => refused(tables, cx, &attempt, refusal, out),
        target::Outcome::Garbled { .. } => {
            record_dropped(Drop::Cut, sent_as, out);
            mark_ran(tables, attempt.job);
            mark_avoided(tables, &attempt);
            job::retry(tables, cx, attempt.job, Retry::Garbled, out);
        }
        target::Outcome::Done { result } => {
            record_latency(tables, cx, &attempt);
            job::finish(tables, cx, attempt.job, Outcome::Done { result }, out);
        }
        target::Outcome::Rows { version, range, rows, count, digest } => {
            let read = UncheckedRows { version, range, rows, count, digest };
            rows_read(tables, cx, sent_as, &attempt, read, out);
        }
    }
}

/// The rows of a reply before they are checked.
struct UncheckedRows {
    version: Version,
    range: key::Range,
    rows: Vec<Row>,
    count: u64,
    digest: u64,
}

fn rows_read(
    tables: &mut Tables,
    cx: &mut Context,
    id: id::Attempt,
    attempt: &Attempt,
    read: UncheckedRows,
    out: &mut Outbox,
) {
    let Some(row) = tables.jobs.get(&attempt.job) else {
        out.count(Count::Dropped(Drop::Late));
        return;
    };
    match check_rows(&row.leg.work, read) {
        Ok(outcome) => {
            record_latency(tables, cx, attempt);
            job::finish(tables, cx, attempt.job, outcome, out);
        }
        Err(reason) => {
            record_dropped(reason, id, out);
            mark_ran(tables, attempt.job);
            mark_avoided(tables, attempt);
            job::retry(tables, cx, attempt.job, Retry::Garbled, out);
        }
    }
}

/// Checks that the rows are the whole answer to what was asked and nothing
/// else, and sorts them. The error says why the reply is dropped.
fn check_rows(work: &Work, read: UncheckedRows) -> Result<Outcome, Drop> {
    let Work::Search { version, range, .. } = work else { return Err(Drop::Crossed) };
    if read.version != *version {
        return Err(Drop::WrongVersion);
    }
    if read.range != *range || read.rows.iter().any(|row| !range.contains(row.key)) {
        return Err(Drop::OutsideRange);
    }
    let is_whole = u64::try_from(read.rows.len()) == Ok(read.count);
    if !is_whole || digest::rows(&read.rows) != read.digest {
        return Err(Drop::Cut);
    }
    let mut rows = read.rows;
    rows.sort();
    if rows.windows(2).any(|pair| pair[0] == pair[1]) {
        return Err(Drop::Doubled);
    }
    let digest = digest::rows(&rows);
    Ok(Outcome::Rows { version: *version, range: *range, rows, digest })
}

fn refused(
    tables: &mut Tables,
    cx: &mut Context,
    attempt: &Attempt,
    refusal: Refusal,
    out: &mut Outbox,
) {
    let reason = match refusal {
        Refusal::Shed => {
            pause_target(tables, cx, &attempt.target);
            cx.policies.slots.shed(&attempt.target);
            Retry::Shed
        }
        Refusal::Draining => Retry::Draining,
        Refusal::VersionGone => Retry::VersionGone,
        Refusal::RangeMoved => Retry::RangeMoved,
        Refusal::DeadlinePassed => {
            let detail = "the deadline passed before the target had a free slot".to_owned();
            let ran = ran_of(tables, attempt.job);
            let failed = Outcome::Failed { kind: Kind::DeadlinePassed, ran, detail };
            job::finish(tables, cx, attempt.job, failed, out);
            return;
        }
        Refusal::Cancelled => Retry::Unsent,
    };
    mark_avoided(tables, attempt);
    job::retry(tables, cx, attempt.job, reason, out);
}

/// Whether a job may have run at a target so far.
pub fn ran_of(tables: &Tables, id: id::Leg) -> Ran {
    match tables.jobs.get(&id) {
        Some(job) if job.ran || !job.attempts.is_empty() || job.follows.is_some() => Ran::Unknown,
        _ => Ran::No,
    }
}

/// Pauses a target that shed an attempt, with jitter.
fn pause_target(tables: &mut Tables, cx: &mut Context, name: &Name) {
    use rand::RngExt;
    let Some(target) = tables.targets.get_mut(name) else { return };
    let jitter = cx.random.random_range(1.0..2.0);
    target.paused_until = cx.now + cx.limits.shed_pause.mul_f64(jitter);
    let due = target.paused_until;
    let shard = target.shard.clone();
    tables.timers.set(due, crate::traffic::table::timer::Timer::Shard(shard));
}

fn unsent(tables: &mut Tables, cx: &mut Context, id: id::Attempt, out: &mut Outbox) {
    let Some(attempt) = job::release(tables, id) else { return };
    job::retry(tables, cx, attempt.job, Retry::Unsent, out);
}

fn closed(
    tables: &mut Tables,
    cx: &mut Context,
    connection: id::Connection,
    detail: &str,
    out: &mut Outbox,
) {
    let Some(row) = connect::remove(tables, connection) else { return };
    let fields = vec![("target", row.target.to_string()), ("detail", detail.to_owned())];
    out.lines.push(Line::new(Event::ConnectionLost, fields));
    for attempt in row.attempts {
        record_suspect(tables, cx, attempt, out);
        fail_attempt(tables, cx, attempt, Retry::ConnectionLost, out);
    }
    connect::reopen(tables, cx, &row.target, out);
}

/// Records that a target was lost while it ran a request, and reports the
/// request for quarantine once it has lost as many targets as the limit allows.
fn record_suspect(tables: &mut Tables, cx: &Context, id: id::Attempt, out: &mut Outbox) {
    let Some(attempt) = tables.attempts.get(&id) else { return };
    let Some(row) = tables.jobs.get_mut(&attempt.job) else { return };
    row.suspect = true;
    let fingerprint = row.leg.fingerprint;
    let query = row.leg.query;
    tables.suspects.retain(|_, suspect| suspect.until > cx.now);
    let suspect = tables.suspects.entry(fingerprint).or_default();
    suspect.until = cx.now + cx.limits.suspect_ttl;
    let start = tables.targets.get(&attempt.target).and_then(|row| row.status.as_ref());
    let incarnation = start.map_or(0, |status| status.incarnation);
    if !suspect.targets.insert((attempt.target.clone(), incarnation)) {
        return;
    }
    let target = attempt.target.clone();
    out.reports.push(Report::Suspect { fingerprint, query, target });
    let shard = row.shard.clone();
    if job::lost_targets(tables, cx, fingerprint, &shard).len() == cx.limits.lost_targets {
        out.reports.push(Report::Quarantined { fingerprint, origin: cx.ids.origin() });
        let fields = vec![("fingerprint", format!("{:016x}", fingerprint.0))];
        out.lines.push(Line::for_query(query, Event::RequestQuarantined, fields));
    }
}

/// Ends an attempt that may have run and retries its job elsewhere. A job on
/// trial is not retried here; its entry decides where it is tried next.
fn fail_attempt(
    tables: &mut Tables,
    cx: &mut Context,
    id: id::Attempt,
    reason: Retry,
    out: &mut Outbox,
) {
    let Some(attempt) = job::release(tables, id) else { return };
    mark_ran(tables, attempt.job);
    mark_avoided(tables, &attempt);
    let on_trial = tables.jobs.get(&attempt.job).is_some_and(|job| job.leg.trial);
    if reason == Retry::ConnectionLost && on_trial {
        job::finish(tables, cx, attempt.job, Outcome::Lost { target: attempt.target }, out);
    } else {
        job::retry(tables, cx, attempt.job, reason, out);
    }
}

/// Ends an attempt whose connection this thread has closed. It is counted as
/// lost with a silent connection.
pub fn fail_silent(tables: &mut Tables, cx: &mut Context, id: id::Attempt, out: &mut Outbox) {
    fail_attempt(tables, cx, id, Retry::ConnectionSilent, out);
}

fn mark_ran(tables: &mut Tables, id: id::Leg) {
    if let Some(job) = tables.jobs.get_mut(&id) {
        job.ran = true;
    }
}

fn mark_avoided(tables: &mut Tables, attempt: &Attempt) {
    if let Some(job) = tables.jobs.get_mut(&attempt.job) {
        job.avoid.insert(attempt.target.clone());
    }
}

fn record_latency(tables: &mut Tables, cx: &mut Context, attempt: &Attempt) {
    let took = cx.now.since(attempt.sent);
    cx.policies.slots.answered(&attempt.target, took);
    let Some(target) = tables.targets.get_mut(&attempt.target) else { return };
    if took * latency::RECOVERY_FACTOR < target.latency.mean() {
        // The target may have recovered, so the next probe is due at once.
        target.last_used = Instant::default();
    }
    target.latency.record(took);
    if let Some(index) = tables.indexes.get_mut(&target.shard.index) {
        index.latency.record(took);
    }
}

fn record_dropped(reason: Drop, id: id::Attempt, out: &mut Outbox) {
    out.count(Count::Dropped(reason));
    let fields = vec![("attempt", id.to_string()), ("reason", format!("{reason:?}"))];
    out.lines.push(Line::new(Event::ReplyDropped, fields));
}
