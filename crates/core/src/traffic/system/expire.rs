//! Acts on the points in time that have come.

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
        system::{collect, connect, dispatch, job, leg, tell},
        table::{shard, timer::Timer},
    },
    view::Lane,
};

/// Takes every timer that is due.
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
            Timer::Asked(connection) => check_silence(tables, cx, connection, out),
            Timer::Idle(key) => idle(tables, cx, &key, out),
            Timer::Tell => tell::again(tables, cx),
            // The system that waits looks at the time itself.
            Timer::Inform => {}
        }
    }
}

/// Ends a job whose reply is due. An operation that runs is awaited a little
/// longer, so that its outcome can be recorded.
fn end_job(tables: &mut Tables, cx: &mut Context, id: id::Leg, out: &mut Outbox) {
    if let Some(row) = tables.jobs.get_mut(&id)
        && !row.is_idempotent()
        && !row.attempts.is_empty()
        && !row.overdue
    {
        row.overdue = true;
        row.deadline = cx.now + cx.limits.overdue;
        tables.timers.set(row.deadline, Timer::Job(id));
        return;
    }
    let detail = "the deadline passed at the home of the shard".to_owned();
    let ran = collect::ran_of(tables, id);
    job::finish(tables, cx, id, Outcome::Failed { kind: Kind::DeadlinePassed, ran, detail }, out);
}

/// Sends a slow attempt's job to a second target and makes sure that the
/// connection of the first is alive.
fn hedge(tables: &mut Tables, cx: &mut Context, id: id::Attempt, out: &mut Outbox) {
    let Some(attempt) = tables.attempts.get(&id) else { return };
    let connection = attempt.connection;
    let sent = attempt.sent;
    let is_quiet =
        tables.connections.get(&connection).is_some_and(|connection| connection.heard <= sent);
    if is_quiet {
        connect::ask(tables, cx, connection, out);
    }
    dispatch::hedge(tables, cx, id, out);
}

/// Closes a connection on which the target did not answer in time.
fn check_silence(tables: &mut Tables, cx: &mut Context, id: id::Connection, out: &mut Outbox) {
    let Some(row) = tables.connections.get(&id) else { return };
    let Some(asked) = row.asked else { return };
    let limit = if row.open { cx.limits.status_timeout } else { cx.limits.connect_timeout };
    if cx.now.since(asked) < limit {
        return;
    }
    let target = row.target.clone();
    let fields = vec![("target", target.to_string())];
    out.lines.push(Line::new(Event::ConnectionSilent, fields));
    connect::close(tables, cx, id, out);
    connect::reopen(tables, cx, &target, out);
}

/// Looks for a sign of life of a lane with legs in flight; a lane that gives
/// none in time loses them to the next homes.
fn check_link(tables: &mut Tables, cx: &mut Context, lane: &Lane, out: &mut Outbox) {
    let interval = cx.limits.home_silent / 2;
    let Some(link) = tables.links.get_mut(lane) else { return };
    if link.legs.is_empty() {
        link.watched = false;
        return;
    }
    if link.asked.is_some_and(|asked| cx.now.since(asked) >= interval) && !cx.paused {
        link.watched = false;
        link.asked = None;
        let legs = std::mem::take(&mut link.legs);
        out.reports.push(Report::Unreachable { vm: lane.vm.clone() });
        for id in legs {
            out.count(Count::Retried(Retry::HomeUnreachable));
            leg::advance(tables, cx, id, out);
        }
        return;
    }
    if link.asked.is_none() && cx.now.since(link.heard) >= interval {
        link.asked = Some(cx.now);
        out.send(lane.clone(), Message::Ping);
    }
    tables.timers.set(cx.now + interval, Timer::Link(lane.clone()));
}

/// Closes the connections to the targets of a shard that another VM serves.
fn idle(tables: &mut Tables, cx: &mut Context, key: &shard::Key, out: &mut Outbox) {
    let Some(shard) = tables.shards.get(key) else { return };
    if shard.home {
        return;
    }
    let is_used = !shard.queue.is_empty() || cx.now.since(shard.used) < cx.limits.idle;
    let names: Vec<Name> = shard.targets.iter().cloned().collect();
    let is_busy =
        names.iter().filter_map(|name| tables.targets.get(name)).any(|target| target.in_use > 0);
    if is_used || is_busy {
        tables.timers.set(cx.now + cx.limits.idle, Timer::Idle(key.clone()));
        return;
    }
    for name in names {
        connect::close_all(tables, cx, &name, out);
        if let Some(target) = tables.targets.get_mut(&name) {
            // What it holds may change unseen from now on.
            target.status = None;
            target.failures = 0;
        }
    }
}
