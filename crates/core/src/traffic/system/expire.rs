//! Handles timers that are due.

use crate::{
    count::{Count, Retry},
    fault::Kind,
    id,
    log::{Event, Line},
    message::{Message, Outcome},
    name::Name,
    notice::Report,
    traffic::{
        Context, Outbox, Tables,
        system::{advertise, collect, connect, dispatch, job, leg},
        table::{shard, timer::Timer},
    },
    view::Lane,
};

/// Handles every timer that is due.
pub fn run(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    while let Some(timer) = tables.timers.pop(cx.now) {
        match timer {
            Timer::Query(id) => {
                tables.to_answer.insert(id);
            }
            Timer::Link(lane) => check_link(tables, cx, &lane, out),
            Timer::Job(id) => end_job(tables, cx, id, out),
            Timer::Hedge(id) => hedge(tables, cx, id, out),
            Timer::Shard(key) => {
                tables.to_dispatch.insert(key);
            }
            Timer::Poll(name) => connect::poll(tables, cx, &name, out),
            Timer::Reopen(name) => {
                if let Some(target) = tables.targets.get_mut(&name) {
                    target.reopening = false;
                }
                connect::ensure(tables, cx, &name, out);
            }
            Timer::Connection(connection) => check_silence(tables, cx, connection, out),
            Timer::Idle(key) => close_idle(tables, cx, &key, out),
            Timer::Advertise => advertise::repeat(tables, cx),
            // The timer only causes a tick; the `ready` system checks the time.
            Timer::Holdings => {}
        }
    }
}

/// Ends a job whose reply is due. A running operation is kept for a grace time,
/// so that its outcome can be recorded.
fn end_job(tables: &mut Tables, cx: &mut Context, id: id::Leg, out: &mut Outbox) {
    if let Some(row) = tables.jobs.get_mut(&id)
        && !row.is_idempotent()
        && !row.attempts.is_empty()
        && !row.overdue
    {
        row.overdue = true;
        row.deadline = cx.now + cx.limits.outcome_grace;
        tables.timers.set(row.deadline, Timer::Job(id));
        return;
    }
    let detail = "the deadline passed at the home of the shard".to_owned();
    let ran = collect::ran_of(tables, id);
    job::finish(tables, cx, id, Outcome::Failed { kind: Kind::DeadlinePassed, ran, detail }, out);
}

/// Hedges a slow attempt, and checks its connection if nothing was received on
/// it since the attempt was sent.
fn hedge(tables: &mut Tables, cx: &mut Context, id: id::Attempt, out: &mut Outbox) {
    let Some(attempt) = tables.attempts.get(&id) else { return };
    let connection = attempt.connection;
    let sent = attempt.sent;
    let is_quiet = tables
        .connections
        .get(&connection)
        .is_some_and(|connection| connection.last_received <= sent);
    if is_quiet {
        connect::request_status(tables, cx, connection, out);
    }
    dispatch::hedge(tables, cx, id, out);
}

/// Closes a connection that did not open, or on which the target did not
/// answer, in time.
fn check_silence(tables: &mut Tables, cx: &mut Context, id: id::Connection, out: &mut Outbox) {
    let Some(row) = tables.connections.get(&id) else { return };
    let Some(requested) = row.status_requested else { return };
    let limit = if row.open { cx.limits.status_timeout } else { cx.limits.connect_timeout };
    if cx.now.since(requested) < limit {
        return;
    }
    let target = row.target.clone();
    let fields = vec![("target", target.to_string())];
    out.lines.push(Line::new(Event::ConnectionSilent, fields));
    connect::close(tables, cx, id, out);
    connect::reopen(tables, cx, &target, out);
}

/// Pings a lane with legs in flight from which nothing was received for a
/// while. If it does not answer in time, its legs are sent to their next homes,
/// unless it was this process that was paused.
fn check_link(tables: &mut Tables, cx: &mut Context, lane: &Lane, out: &mut Outbox) {
    let interval = cx.limits.home_timeout / 2;
    let Some(link) = tables.links.get_mut(lane) else { return };
    if link.legs.is_empty() {
        link.watched = false;
        return;
    }
    if link.pinged.is_some_and(|pinged| cx.now.since(pinged) >= interval) && !cx.paused {
        link.watched = false;
        link.pinged = None;
        let legs = std::mem::take(&mut link.legs);
        out.reports.push(Report::Unreachable { vm: lane.vm.clone() });
        for id in legs {
            out.count(Count::Retried(Retry::HomeUnreachable));
            leg::home_lost(tables, cx, id, out);
        }
        return;
    }
    if link.pinged.is_none() && cx.now.since(link.last_received) >= interval {
        link.pinged = Some(cx.now);
        out.send(lane.clone(), Message::Ping);
    }
    tables.timers.set(cx.now + interval, Timer::Link(lane.clone()));
}

/// Closes the connections to the targets of a shard that another thread serves,
/// once they are idle.
fn close_idle(tables: &mut Tables, cx: &mut Context, key: &shard::Key, out: &mut Outbox) {
    let Some(shard) = tables.shards.get(key) else { return };
    if shard.home {
        return;
    }
    let is_used = !shard.queue.is_empty() || cx.now.since(shard.last_used) < cx.limits.idle_timeout;
    let names: Vec<Name> = shard.targets.iter().cloned().collect();
    let is_busy =
        names.iter().filter_map(|name| tables.targets.get(name)).any(|target| target.in_use > 0);
    if is_used || is_busy {
        tables.timers.set(cx.now + cx.limits.idle_timeout, Timer::Idle(key.clone()));
        return;
    }
    for name in names {
        connect::close_all(tables, cx, &name, out);
        if let Some(target) = tables.targets.get_mut(&name) {
            // Without a connection, changes of the status are not noticed.
            target.status = None;
            target.failures = 0;
        }
    }
}
