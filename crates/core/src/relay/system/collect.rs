//! Handles the events of the client that connects to targets.

use std::sync::Arc;

use super::{Context, connect, hop, leg, suspect};
use crate::{
    count::{Count, Drop, Retry},
    log::{Event, Line},
    name::Name,
    relay::{
        self, Loss, Tables,
        message::{Notice, Reply},
        table::{attempt::Attempt, connection::State, leg::Key, timer::Timer},
    },
};

/// Marks a newly opened connection as idle, unless an attempt already uses it. A
/// target that accepts connections has not crashed, so its earlier losses no
/// longer count as possible crashes.
pub fn opened(tables: &mut Tables, connection: relay::Connection, cx: &mut Context<'_>) {
    let Some(row) = tables.connections.get(&connection) else { return };
    tables.suspects.clear_target(&row.target);
    if row.state == State::Opening {
        connect::release(tables, connection, cx);
    }
}

/// Handles the reply to an attempt. A reply on a connection that does not carry
/// this attempt closes the connection.
pub fn replied(
    tables: &mut Tables,
    connection: relay::Connection,
    attempt: relay::Attempt,
    reply: Reply,
    cx: &mut Context<'_>,
) {
    if !is_busy_with(tables, connection, attempt) {
        cx.out.counts.add(Count::Dropped(Drop::Crossed));
        connect::close(tables, connection, cx);
        return;
    }
    let Some(row) = tables.attempts.remove(&attempt) else { return };
    tables.suspects.clear_target(&row.target);
    record_reply(tables, attempt, &row, &reply, cx);
    if reply.reusable {
        connect::release(tables, connection, cx);
    } else {
        connect::close(tables, connection, cx);
    }
    connect::prune(tables, &row.target);
    match row.leg {
        Some(key) => finish_or_retry(tables, key, attempt, &row, reply, cx),
        None => cx.out.counts.add(Count::Dropped(Drop::Late)),
    }
}

fn is_busy_with(tables: &Tables, connection: relay::Connection, attempt: relay::Attempt) -> bool {
    let row = tables.connections.get(&connection);
    row.is_some_and(|row| row.state == State::Busy(attempt))
}

/// Updates the statistics of the target and the route of a reply. A target that
/// does not serve the requested range gets no new work.
fn record_reply(
    tables: &mut Tables,
    attempt: relay::Attempt,
    row: &Attempt,
    reply: &Reply,
    cx: &mut Context<'_>,
) {
    let took = cx.now.since(row.sent);
    let stats = tables.stats_of(&row.route);
    let usual = stats.latency.mean().as_secs_f64();
    let ratio = if usual > 0.0 { took.as_secs_f64() / usual } else { 1.0 };
    if reply.is_success() {
        stats.latency.record(took);
    }
    let Some(target) = tables.targets.get_mut(&row.target) else { return };
    target.running.remove(&(row.sent, attempt));
    let ratio = if reply.is_success() { ratio } else { target.slowness(cx.now) };
    target.record_reply(ratio, reply.is_success(), cx.now);
    if let Some(load) = reply.load {
        target.record_load(load, cx.now);
    }
    record_notice(tables, &row.target, reply.notice, cx);
    let Some(target) = tables.targets.get_mut(&row.target) else { return };
    if reply.misdirected {
        target.is_usable = false;
        let service = target.entry.service.clone();
        if let Some(targets) = tables.services.get_mut(&service) {
            targets.remove(&row.target);
        }
        connect::close_idle(tables, &row.target, cx);
    }
}

/// Records what a target said about further requests. A target that is leaving loses its
/// idle connections, as it gets no new work while others are left.
fn record_notice(tables: &mut Tables, id: &Name, notice: Notice, cx: &mut Context<'_>) {
    let Some(target) = tables.targets.get_mut(id) else { return };
    let was_leaving = target.is_leaving();
    target.record_notice(notice, cx.now);
    if target.is_backing_off(cx.now) {
        tables.timers.set(target.backoff_until, Timer::Backoff(id.clone()));
    }
    if target.is_leaving() && !was_leaving {
        let fields = vec![("target", id.to_string()), ("source", "reply".to_owned())];
        cx.out.lines.push(Line::new(Event::TargetDraining, fields));
        connect::close_idle(tables, id, cx);
        hop::announce_leaving(tables, id, cx);
    }
}

/// Ends the leg of a reply, or retries it at another target.
fn finish_or_retry(
    tables: &mut Tables,
    key: Key,
    attempt: relay::Attempt,
    row: &Attempt,
    reply: Reply,
    cx: &mut Context<'_>,
) {
    let Some(request) = tables.requests.get(&key.call) else { return };
    let is_gather = request.legs > 1 || matches!(request.route.plan, relay::route::Plan::Gather(_));
    let is_idempotent = request.route.idempotent;
    let id = Arc::clone(&request.caller_request.id);
    let is_suspecting = !tables.suspects.rows.is_empty();
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    leg.attempts.remove(&attempt);
    if reply.is_success() {
        if let Some(request) = tables.requests.get(&key.call).filter(|_| is_suspecting) {
            let fingerprint = request.caller_request.fingerprint();
            suspect::clear_request(tables, fingerprint, cx);
        }
        leg::finish(tables, key, Arc::new(reply), cx);
        return;
    }
    log_failed_attempt(&id, row, &reply, cx);
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    if reply.refused {
        let reason = if reply.misdirected { Retry::RangeMoved } else { Retry::Shed };
        leg::retry(tables, key, reason, cx);
        return;
    }
    leg.runs.may_have_run = true;
    let reply = Arc::new(reply);
    let is_final = !is_gather && (!is_idempotent || reply.is_failure() && reply.status < 500);
    if !is_gather {
        leg.failure = Some(Arc::clone(&reply));
    }
    if is_final {
        leg::finish(tables, key, reply, cx);
    } else {
        leg::retry(tables, key, Retry::TargetFailed, cx);
    }
}

fn log_failed_attempt(id: &str, row: &Attempt, reply: &Reply, cx: &mut Context<'_>) {
    let fields = vec![
        ("id", id.to_owned()),
        ("target", row.target.to_string()),
        ("status", reply.status.to_string()),
        ("refused", reply.refused.to_string()),
        ("took_ms", leg::age_ms(row.sent, cx.now)),
    ];
    cx.out.lines.push(Line::new(Event::AttemptFailed, fields));
}

/// Ends an attempt for which there was no room. Another one would need as much, so its leg is
/// not retried; the target did nothing wrong. It ran if it was sent.
pub fn unheld(
    tables: &mut Tables,
    connection: relay::Connection,
    attempt: relay::Attempt,
    sent: bool,
    cx: &mut Context<'_>,
) {
    connect::close(tables, connection, cx);
    cx.out.counts.add(Count::Dropped(Drop::Unheld));
    let Some(row) = tables.attempts.remove(&attempt) else { return };
    if let Some(target) = tables.targets.get_mut(&row.target) {
        target.running.remove(&(row.sent, attempt));
    }
    connect::prune(tables, &row.target);
    let Some(leg) = row.leg.and_then(|key| tables.legs.get_mut(&key)) else { return };
    leg.attempts.remove(&attempt);
    if sent {
        leg.runs.may_have_run = true;
    } else {
        leg.runs.arrived = leg.runs.arrived.saturating_sub(1);
    }
    let is_over = leg.attempts.is_empty() && !leg.queued;
    if let Some(key) = row.leg.filter(|_| is_over) {
        leg::give_up(tables, key, cx);
    }
}

/// Removes a connection that was closed and retries the leg that it carried. One that carried no
/// request when it ended says nothing against its target, also if one was on its way to it.
pub fn closed(
    tables: &mut Tables,
    connection: relay::Connection,
    loss: &Loss,
    cx: &mut Context<'_>,
) {
    let Some(row) = connect::remove(tables, connection) else { return };
    if loss.idle && matches!(row.state, State::Idle { .. }) {
        return;
    }
    if !loss.idle {
        log_lost_connection(&row.target, loss, cx);
        pause(tables, &row.target, cx);
    }
    if loss.gone && !loss.sent {
        suspect::confirm_crash(tables, &row.target, cx);
    }
    if let State::Busy(attempt) = row.state {
        lose_attempt(tables, attempt, loss, cx);
    }
    connect::prune(tables, &row.target);
}

/// Sends a target no new connection for a while, as one to it was lost.
fn pause(tables: &mut Tables, target: &Name, cx: &Context<'_>) {
    let Some(row) = tables.targets.get_mut(target) else { return };
    row.record_loss(cx.now);
    let until = row.pause_until;
    tables.timers.set(until, Timer::Pause(target.clone()));
}

/// Ends an attempt whose connection is lost and retries its leg.
fn lose_attempt(tables: &mut Tables, attempt: relay::Attempt, loss: &Loss, cx: &mut Context<'_>) {
    let Some(row) = tables.attempts.remove(&attempt) else { return };
    if let Some(target) = tables.targets.get_mut(&row.target) {
        target.running.remove(&(row.sent, attempt));
    }
    let Some(key) = row.leg else { return };
    suspect::record_loss(tables, key.call, &row, loss, cx);
    log_lost_attempt(tables, key, &row, loss, cx);
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    leg.attempts.remove(&attempt);
    if loss.sent {
        leg.runs.may_have_run = true;
    } else {
        leg.runs.arrived = leg.runs.arrived.saturating_sub(1);
    }
    let reason = if loss.sent { Retry::ConnectionLost } else { Retry::Unsent };
    leg::retry(tables, key, reason, cx);
}

fn log_lost_attempt(tables: &Tables, key: Key, row: &Attempt, loss: &Loss, cx: &mut Context<'_>) {
    let Some(request) = tables.requests.get(&key.call) else { return };
    let fields = vec![
        ("id", request.caller_request.id.to_string()),
        ("target", row.target.to_string()),
        ("sent", loss.sent.to_string()),
        ("took_ms", leg::age_ms(row.sent, cx.now)),
        ("detail", loss.detail.clone()),
    ];
    cx.out.lines.push(Line::new(Event::AttemptFailed, fields));
}

fn log_lost_connection(target: &Name, loss: &Loss, cx: &mut Context<'_>) {
    let fields = vec![
        ("target", target.to_string()),
        ("sent", loss.sent.to_string()),
        ("detail", loss.detail.clone()),
    ];
    cx.out.lines.push(Line::new(Event::ConnectionLost, fields));
}
