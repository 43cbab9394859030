//! Queues, retries and ends the legs of requests.

use std::sync::Arc;

use super::{Context, suspect};
use crate::{
    count::{Count, Retry},
    log::{Event, Line},
    name::Name,
    relay::{
        self, Tables,
        message::{Call, Reply},
        table::{
            budget::Bound,
            leg::{Key, Leg, QueuePosition, State},
            timer::Timer,
        },
    },
    time::Instant,
};

/// Time for which an attempt goes on after its reply is no longer needed. Closing
/// its connection at once would cost a new connection for each late reply.
const ORPHAN_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

/// The same time after the caller left: shorter, because a request that nobody
/// waits for must not go on.
const ABANDONED_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(150);

/// Why a request is dropped, which decides how long its attempts go on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Answered,
    /// The caller left before the answer.
    Abandoned,
}

/// Returns the bound on attempts beyond the first at this VM.
pub fn bound(tables: &Tables, cx: &Context<'_>) -> Bound {
    let limits = cx.limits;
    // A VM that just restarted does not know how much of its slack it spent before
    // the restart, so the slack grows from zero over the first window.
    let window_fraction =
        cx.now.since(tables.started).as_secs_f64() / limits.retry_window.as_secs_f64();
    let slack =
        limits.retry_slack / f64::from(tables.view.sharing_vms()) * window_fraction.min(1.0);
    Bound { window: limits.retry_window, ratio: limits.retry_ratio, slack }
}

/// Puts a leg into the queue of its service.
pub fn enqueue(tables: &mut Tables, key: Key) {
    let Some(request) = tables.requests.get(&key.call) else { return };
    let position =
        QueuePosition { priority: request.route.priority, arrived: request.arrived, key };
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    leg.queued = true;
    tables.waiting.entry(leg.service.clone()).or_default().insert(position);
}

/// Ends a leg with a reply.
pub fn finish(tables: &mut Tables, key: Key, reply: Arc<Reply>, cx: &mut Context<'_>) {
    settle(tables, key, State::Done(reply), cx);
}

/// Ends a leg without a reply.
pub fn fail(tables: &mut Tables, key: Key, cx: &mut Context<'_>) {
    settle(tables, key, State::Failed, cx);
}

fn settle(tables: &mut Tables, key: Key, state: State, cx: &mut Context<'_>) {
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    leg.state = state;
    let attempts = std::mem::take(&mut leg.attempts);
    cancel_hedge(tables, key);
    dequeue(tables, key);
    orphan(tables, attempts, End::Answered, cx);
    tables.changed.insert(key.call);
}

/// Removes a leg from the queue of its service, if it is queued.
pub fn dequeue(tables: &mut Tables, key: Key) {
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    if !std::mem::replace(&mut leg.queued, false) {
        return;
    }
    let Some(request) = tables.requests.get(&key.call) else { return };
    let position =
        QueuePosition { priority: request.route.priority, arrived: request.arrived, key };
    if let Some(queue) = tables.waiting.get_mut(&leg.service) {
        queue.remove(&position);
    }
}

/// Cancels the hedge timer of a leg.
fn cancel_hedge(tables: &mut Tables, key: Key) {
    let hedge = tables.legs.get_mut(&key).and_then(|leg| leg.hedge_at.take());
    if let Some(at) = hedge {
        tables.timers.cancel(at, Timer::Hedge(key));
    }
}

/// Detaches attempts from their leg and lets them go on until a timeout.
fn orphan(
    tables: &mut Tables,
    attempts: std::collections::BTreeSet<relay::Attempt>,
    end: End,
    cx: &mut Context<'_>,
) {
    let timeout = if end == End::Abandoned { ABANDONED_TIMEOUT } else { ORPHAN_TIMEOUT };
    for attempt in attempts {
        if let Some(row) = tables.attempts.get_mut(&attempt) {
            row.leg = None;
            tables.timers.set(cx.now + timeout, Timer::Orphan(attempt));
        }
    }
}

/// Removes a request with its legs and timers.
pub fn drop_request(tables: &mut Tables, call: Call, end: End, cx: &mut Context<'_>) {
    let Some(legs) = tables.requests.get(&call).map(|request| request.legs) else { return };
    for index in 0..legs {
        let key = Key { call, index };
        cancel_hedge(tables, key);
        dequeue(tables, key);
        if let Some(leg) = tables.legs.remove(&key) {
            orphan(tables, leg.attempts, end, cx);
        }
    }
    if let Some(request) = tables.requests.remove(&call) {
        tables.timers.cancel(request.goal, Timer::Goal(call));
        tables.timers.cancel(request.deadline, Timer::Deadline(call));
    }
    tables.changed.remove(&call);
}

/// Queues a leg for another target. If it may not be retried, it ends as soon as
/// it has no attempt in flight.
pub fn retry(tables: &mut Tables, key: Key, reason: Retry, cx: &mut Context<'_>) {
    if !may_retry(tables, key, cx) {
        let is_over = tables.legs.get(&key).is_some_and(|leg| leg.attempts.is_empty());
        if is_over {
            give_up(tables, key, cx);
        }
        return;
    }
    cx.out.counts.add(Count::Retried(reason));
    log_retry(tables, key, reason, cx);
    enqueue(tables, key);
}

/// Ends a leg with the last failure that a target returned, or without a reply if
/// there is none.
pub fn give_up(tables: &mut Tables, key: Key, cx: &mut Context<'_>) {
    let failure = tables.legs.get(&key).and_then(|leg| leg.failure.clone());
    match failure {
        Some(reply) => finish(tables, key, reply, cx),
        None => fail(tables, key, cx),
    }
}

/// Whether a leg may be sent once more. Charges the retry budget if so, unless no
/// attempt of the leg has reached a target.
fn may_retry(tables: &mut Tables, key: Key, cx: &mut Context<'_>) -> bool {
    let Some(request) = tables.requests.get(&key.call) else { return false };
    let Some(leg) = tables.legs.get(&key) else { return false };
    let may_run_twice = request.route.idempotent || !leg.runs.may_have_run;
    let has_time = request.deadline > cx.now;
    if suspect::is_leg_quarantined(tables, &key, cx) {
        return false;
    }
    if leg.queued || !may_run_twice || !has_time || leg.runs.arrived >= request.route.attempts {
        return false;
    }
    if leg.runs.arrived == 0 {
        return true;
    }
    charge_budget(tables, key, cx)
}

/// Charges one attempt beyond the first to the retry budget of a leg's service;
/// returns false if the budget is spent.
pub fn charge_budget(tables: &mut Tables, key: Key, cx: &mut Context<'_>) -> bool {
    let bound = bound(tables, cx);
    let Some(leg) = tables.legs.get(&key) else { return false };
    let service: Name = leg.service.clone();
    let is_allowed = tables.budget(&service).take(cx.now, bound);
    if !is_allowed {
        cx.out.counts.add(Count::BudgetSpent);
    }
    is_allowed
}

fn log_retry(tables: &Tables, key: Key, reason: Retry, cx: &mut Context<'_>) {
    let Some(request) = tables.requests.get(&key.call) else { return };
    let Some(leg) = tables.legs.get(&key) else { return };
    let fields = vec![
        ("id", request.caller_request.id.to_string()),
        ("service", leg.service.to_string()),
        ("reason", reason.as_str().to_owned()),
        ("arrived", leg.runs.arrived.to_string()),
        ("age_ms", age_ms(request.arrived, cx.now)),
    ];
    cx.out.lines.push(Line::new(Event::LegRetried, fields));
}

/// Formats the time since `from` in whole milliseconds for a log line.
pub fn age_ms(from: Instant, now: Instant) -> String {
    now.since(from).as_millis().to_string()
}

/// Whether a leg is open with exactly one attempt in flight, so that a hedge is
/// allowed.
pub fn has_one_attempt(leg: &Leg) -> bool {
    leg.is_open() && leg.attempts.len() == 1
}
