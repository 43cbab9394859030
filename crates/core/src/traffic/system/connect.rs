//! Opens, watches and closes connections to targets.

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

/// The failures to open after which a target no longer counts as holding its
/// ranges.
pub const LOST_FAILURES: u32 = 2;

/// The greatest factor by which the time between tries to open grows.
const MAX_BACKOFF: u32 = 32;

/// Opens a connection to the target unless one is open, opening or due later.
pub fn ensure(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    if target.reopening || !target.connections.is_empty() || target.connection_limit == 0 {
        return;
    }
    open(tables, cx, name, out);
}

fn open(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    let most = cx.limits.connections.min(target.connection_limit);
    if u32::try_from(target.connections.len()).unwrap_or(u32::MAX) >= most {
        return;
    }
    let connection = cx.ids.connection();
    target.connections.insert(connection);
    let row = Connection {
        target: name.clone(),
        open: false,
        attempts: BTreeSet::new(),
        asked: Some(cx.now),
        heard: cx.now,
    };
    tables.connections.insert(connection, row);
    tables.timers.set(cx.now + cx.limits.open, Timer::Asked(connection));
    out.commands.push(Command::Open { connection, address: target.address, limit: cx.limits.open });
}

/// Notes that a connection is open.
pub fn opened(tables: &mut Tables, cx: &mut Context, connection: id::Connection, out: &mut Outbox) {
    let Some(row) = tables.connections.get_mut(&connection) else { return };
    row.open = true;
    let name = row.target.clone();
    if let Some(target) = tables.targets.get_mut(&name) {
        target.failures = 0;
        tables.to_tell.insert(target.shard.clone());
        tables.to_dispatch.insert(target.shard.clone());
        if !target.polled {
            target.polled = true;
            tables.timers.set(cx.now + cx.limits.poll, Timer::Poll(name.clone()));
        }
    }
    out.lines.push(Line::new(Event::ConnectionOpened, vec![("target", name.to_string())]));
}

/// Notes a sign of life on a connection.
pub fn heard(tables: &mut Tables, cx: &Context, connection: id::Connection) {
    if let Some(row) = tables.connections.get_mut(&connection) {
        row.heard = cx.now;
        row.asked = None;
    }
}

/// Takes what a target says of itself.
pub fn status(tables: &mut Tables, name: &Name, status: Status, out: &mut Outbox) {
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
        // Only a newer start takes a drain back; a reply that was made before
        // the drain may arrive after it.
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
    tables.to_tell.insert(target.shard.clone());
    tables.to_dispatch.insert(target.shard.clone());
}

/// Asks for the target's status on a connection, unless an answer is awaited.
pub fn ask(tables: &mut Tables, cx: &Context, connection: id::Connection, out: &mut Outbox) {
    let Some(row) = tables.connections.get_mut(&connection) else { return };
    if !row.open || row.asked.is_some() {
        return;
    }
    row.asked = Some(cx.now);
    tables.timers.set(cx.now + cx.limits.silent, Timer::Asked(connection));
    // The timer comes first, so that silence is not taken for a loss.
    out.commands.push(Command::ReadStatus { connection, limit: cx.limits.silent * 2 });
}

/// Asks on every connection of a target and comes back after the interval.
pub fn poll(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    let connections: Vec<id::Connection> = target.connections.iter().copied().collect();
    target.polled = !connections.is_empty();
    if !target.polled {
        return;
    }
    for connection in connections {
        ask(tables, cx, connection, out);
    }
    tables.timers.set(cx.now + cx.limits.poll, Timer::Poll(name.clone()));
}

/// Removes the row of a connection and returns it.
pub fn remove(tables: &mut Tables, connection: id::Connection) -> Option<Connection> {
    let row = tables.connections.remove(&connection)?;
    if let Some(target) = tables.targets.get_mut(&row.target) {
        target.connections.remove(&connection);
    }
    Some(row)
}

/// Opens a new connection after one was lost: at once the first time, then
/// after a growing time with jitter.
pub fn reopen(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get_mut(name) else { return };
    let wanted =
        tables.shards.get(&target.shard).is_some_and(|shard| shard.home || !shard.queue.is_empty());
    if !wanted || !target.connections.is_empty() || target.reopening {
        return;
    }
    target.failures += 1;
    if target.failures == LOST_FAILURES {
        tables.to_tell.insert(target.shard.clone());
        tables.to_dispatch.insert(target.shard.clone());
    }
    if target.failures == 1 {
        open(tables, cx, name, out);
        return;
    }
    target.reopening = true;
    let factor = 1_u32 << (target.failures - LOST_FAILURES).min(MAX_BACKOFF.ilog2());
    let pause = cx.limits.reopen * factor;
    let pause = pause.mul_f64(cx.random.random_range(0.5..1.0));
    tables.timers.set(cx.now + pause, Timer::Reopen(name.clone()));
}

/// Closes every connection of a target; what ran on them is retried elsewhere.
pub fn close_all(tables: &mut Tables, cx: &mut Context, name: &Name, out: &mut Outbox) {
    let Some(target) = tables.targets.get(name) else { return };
    let connections: Vec<id::Connection> = target.connections.iter().copied().collect();
    for connection in connections {
        close(tables, cx, connection, out);
    }
}

/// Closes a connection; what ran on it is retried elsewhere.
pub fn close(tables: &mut Tables, cx: &mut Context, connection: id::Connection, out: &mut Outbox) {
    let Some(row) = remove(tables, connection) else { return };
    out.commands.push(Command::Close { connection });
    for attempt in row.attempts {
        super::collect::silent(tables, cx, attempt, out);
    }
}
