//! Opens, monitors and closes connections to targets.

use std::collections::BTreeSet;

use rand::RngExt;

use crate::{
    id,
    log::{Event, Line},
    name::Name,
    notice::Report,
    target::{Command, Status},
    traffic::{
        Context, Outbox, Tables,
        table::{Connection, timer::Timer},
    },
};

/// The number of consecutive failures from which on a target counts as lost, so
/// that its ranges are no longer advertised.
pub const LOST_FAILURES: u32 = 2;

/// The largest factor on the reconnect delay; a power of two.
const MAX_BACKOFF_FACTOR: u32 = 32;

/// Opens a connection to the target unless one is open, being opened or
/// scheduled.
pub fn ensure(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    if target.reopening || !target.connections.is_empty() || target.connection_limit == 0 {
        return;
    }
    open(tables, cx, name, out);
}

fn open(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    let max = cx.limits.connections.min(target.connection_limit);
    if u32::try_from(target.connections.len()).unwrap_or(u32::MAX) >= max {
        return;
    }
    let connection = cx.ids.connection();
    target.connections.insert(connection);
    let row = Connection {
        target: name.clone(),
        open: false,
        attempts: BTreeSet::new(),
        status_requested: Some(cx.now),
        last_received: cx.now,
    };
    tables.connections.insert(connection, row);
    tables.timers.set(cx.now + cx.limits.connect_timeout, Timer::Connection(connection));
    out.commands.push(Command::Open {
        connection,
        address: target.address,
        limit: cx.limits.connect_timeout,
    });
}

/// Records that a connection is open.
pub fn opened(tables: &mut Tables, cx: &mut Context, connection: id::Connection, out: &mut Outbox) {
    let Some(row) = tables.connections.get_mut(&connection) else { return };
    row.open = true;
    let name = row.target.clone();
    if let Some(target) = tables.targets.get_mut(&name) {
        target.failures = 0;
        tables.to_advertise.insert(target.shard.clone());
        tables.to_dispatch.insert(target.shard.clone());
        if !target.polled {
            target.polled = true;
            tables.timers.set(cx.now + cx.limits.status_interval, Timer::Poll(name.clone()));
        }
    }
    out.lines.push(Line::new(Event::ConnectionOpened, vec![("target", name.to_string())]));
}

/// Records that something was received on a connection, which also answers a
/// status read.
pub fn record_activity(tables: &mut Tables, cx: &Context, connection: id::Connection) {
    if let Some(row) = tables.connections.get_mut(&connection) {
        row.last_received = cx.now;
        row.status_requested = None;
    }
}

/// Applies the status that a target reported, unless it is from an older
/// incarnation of the target.
pub fn apply_status(tables: &mut Tables, name: &Name, status: Status, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    if target.status.as_ref() == Some(&status) {
        return;
    }
    let newer = target.status.as_ref().is_none_or(|own| own.incarnation <= status.incarnation);
    if !newer {
        return;
    }
    let was_draining = target.status.as_ref().is_some_and(|own| own.draining);
    let restarted = target.status.as_ref().is_some_and(|own| own.incarnation < status.incarnation);
    let mut status = status;
    if was_draining && !restarted {
        // Only a newer incarnation ends a drain, because a reply that was sent
        // before the drain may arrive after it.
        status.draining = true;
    }
    if status.draining && !was_draining {
        let incarnation = status.incarnation;
        out.reports.push(Report::Draining { target: name.clone(), incarnation });
        out.lines.push(Line::new(Event::TargetDraining, vec![("target", name.to_string())]));
    }
    if !status.draining && (restarted || target.status.is_none()) {
        let incarnation = status.incarnation;
        out.reports.push(Report::Serving { target: name.clone(), incarnation });
    }
    target.status = Some(status);
    tables.to_advertise.insert(target.shard.clone());
    tables.to_dispatch.insert(target.shard.clone());
}

/// Requests the target's status over a connection, unless a request is still
/// unanswered.
pub fn request_status(
    tables: &mut Tables,
    cx: &Context,
    connection: id::Connection,
    out: &mut Outbox,
) {
    let Some(row) = tables.connections.get_mut(&connection) else { return };
    if !row.open || row.status_requested.is_some() {
        return;
    }
    row.status_requested = Some(cx.now);
    tables.timers.set(cx.now + cx.limits.status_timeout, Timer::Connection(connection));
    // The limit of the command is longer, so that the timer fires first and
    // silence does not count as a lost connection.
    out.commands.push(Command::ReadStatus { connection, limit: cx.limits.status_timeout * 2 });
}

/// Requests the status over every connection of a target and schedules the next
/// poll.
pub fn poll(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    let connections: Vec<id::Connection> = target.connections.iter().copied().collect();
    target.polled = !connections.is_empty();
    if !target.polled {
        return;
    }
    for connection in connections {
        request_status(tables, cx, connection, out);
    }
    tables.timers.set(cx.now + cx.limits.status_interval, Timer::Poll(name.clone()));
}

/// Removes a connection from the tables and returns its row.
pub fn remove(tables: &mut Tables, connection: id::Connection) -> Option<Connection> {
    let row = tables.connections.remove(&connection)?;
    if let Some(target) = tables.targets.get_mut(&row.target) {
        target.connections.remove(&connection);
    }
    Some(row)
}

/// Opens a new connection after one was lost: at once after the first failure,
/// then with exponential backoff and jitter. Nothing is opened while the target
/// is not needed.
pub fn reopen(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    let wanted =
        tables.shards.get(&target.shard).is_some_and(|shard| shard.home || !shard.queue.is_empty());
    if !wanted || !target.connections.is_empty() || target.reopening {
        return;
    }
    target.failures += 1;
    if target.failures == LOST_FAILURES {
        tables.to_advertise.insert(target.shard.clone());
        tables.to_dispatch.insert(target.shard.clone());
    }
    if target.failures == 1 {
        open(tables, cx, name, out);
        return;
    }
    target.reopening = true;
    let factor = 1_u32 << (target.failures - LOST_FAILURES).min(MAX_BACKOFF_FACTOR.ilog2());
    let pause = cx.limits.reconnect_delay * factor;
    let pause = pause.mul_f64(cx.random.random_range(0.5..1.0));
    tables.timers.set(cx.now + pause, Timer::Reopen(name.clone()));
}

/// Closes every connection of a target; attempts on them are retried elsewhere.
pub fn close_all(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get(name) else { return };
    let connections: Vec<id::Connection> = target.connections.iter().copied().collect();
    for connection in connections {
        close(tables, cx, connection, out);
    }
}

/// Closes a connection; attempts on it are retried elsewhere.
pub fn close(tables: &mut Tables, cx: &mut Context, connection: id::Connection, out: &mut Outbox) {
    let Some(row) = remove(tables, connection) else { return };
    out.commands.push(Command::Close { connection });
    for attempt in row.attempts {
        super::collect::fail_silent(tables, cx, attempt, out);
    }
}
