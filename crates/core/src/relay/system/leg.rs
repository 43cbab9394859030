//! What becomes of a leg after a reply or a loss.

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

/// The time for which an attempt goes on that nobody waits for. Closing its
/// connection at once would cost a new one for each reply that is only late.
const ORPHAN: std::time::Duration = std::time::Duration::from_millis(500);

/// The same after the caller left, whose request must not go on.
const ABANDONED: std::time::Duration = std::time::Duration::from_millis(150);

/// Whether anyone still waits for the replies of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It was answered.
    Answered,
    /// Its caller left.
    Abandoned,
}

/// The bound on attempts beyond the first at this VM.
pub fn bound(tables: &Tables, cx: &Context<'_>) -> Bound {
    let limits = cx.limits;
    // A VM that just started does not know what it spent before: its share comes
    // back as the window fills.
    let up = cx.now.since(tables.started).as_secs_f64() / limits.retry_window.as_secs_f64();
    let slack = limits.retry_slack / f64::from(tables.view.sharing_vms()) * up.min(1.0);
    Bound { window: limits.retry_window, ratio: limits.retry_ratio, slack }
}

/// Puts a leg into the queue of its service.
pub fn enqueue(tables: &mut Tables, key: Key) {
    let Some(request) = tables.requests.get(&key.call) else { return };
    let place = QueuePosition { priority: request.route.priority, arrived: request.arrived, key };
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    leg.queued = true;
    tables.waiting.entry(leg.service.clone()).or_default().insert(place);
}

/// Notes the reply that a leg ends with.
pub fn finish(tables: &mut Tables, key: Key, reply: Arc<Reply>, cx: &mut Context<'_>) {
    settle(tables, key, State::Done(reply), cx);
}

/// Notes that a leg can have no reply any more.
pub fn fail(tables: &mut Tables, key: Key, cx: &mut Context<'_>) {
    settle(tables, key, State::Failed, cx);
}

fn settle(tables: &mut Tables, key: Key, state: State, cx: &mut Context<'_>) {
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    leg.state = state;
    let attempts = std::mem::take(&mut leg.attempts);
    disarm(tables, key);
    dequeue(tables, key);
    orphan(tables, attempts, End::Answered, cx);
    tables.changed.insert(key.call);
}

/// Takes a leg out of the queue of its service.
pub fn dequeue(tables: &mut Tables, key: Key) {
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    if !std::mem::replace(&mut leg.queued, false) {
        return;
    }
    let Some(request) = tables.requests.get(&key.call) else { return };
    let place = QueuePosition { priority: request.route.priority, arrived: request.arrived, key };
    if let Some(queue) = tables.waiting.get_mut(&leg.service) {
        queue.remove(&place);
    }
}

/// Takes the plan for a second attempt back.
fn disarm(tables: &mut Tables, key: Key) {
    let hedge = tables.legs.get_mut(&key).and_then(|leg| leg.hedge_at.take());
    if let Some(at) = hedge {
        tables.timers.cancel(at, Timer::Hedge(key));
    }
}

/// Lets attempts go on for a moment without anyone who waits for them.
fn orphan(
    tables: &mut Tables,
    attempts: std::collections::BTreeSet<relay::Attempt>,
    end: End,
    cx: &mut Context<'_>,
) {
    let span = if end == End::Abandoned { ABANDONED } else { ORPHAN };
    for attempt in attempts {
        if let Some(row) = tables.attempts.get_mut(&attempt) {
            row.leg = None;
            tables.timers.set(cx.now + span, Timer::Orphan(attempt));
        }
    }
}

/// Forgets a request with its legs.
pub fn drop_request(tables: &mut Tables, call: Call, end: End, cx: &mut Context<'_>) {
    let Some(legs) = tables.requests.get(&call).map(|request| request.legs) else { return };
    for index in 0..legs {
        let key = Key { call, index };
        disarm(tables, key);
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

/// Tries a leg at another target, or ends it if it may go nowhere else.
pub fn retry(tables: &mut Tables, key: Key, reason: Retry, cx: &mut Context<'_>) {
    if !may_retry(tables, key, cx) {
        let is_over = tables.legs.get(&key).is_some_and(|leg| leg.attempts.is_empty());
        if is_over {
            give_up(tables, key, cx);
        }
        return;
    }
    cx.out.counts.add(Count::Retried(reason));
    log(tables, key, reason, cx);
    enqueue(tables, key);
}

/// Ends a leg with the failure of a target, if one answered.
pub fn give_up(tables: &mut Tables, key: Key, cx: &mut Context<'_>) {
    let failure = tables.legs.get(&key).and_then(|leg| leg.failure.clone());
    match failure {
        Some(reply) => finish(tables, key, reply, cx),
        None => fail(tables, key, cx),
    }
}

/// Whether a leg may be sent once more; if so, the budget is charged.
fn may_retry(tables: &mut Tables, key: Key, cx: &mut Context<'_>) -> bool {
    let Some(request) = tables.requests.get(&key.call) else { return false };
    let Some(leg) = tables.legs.get(&key) else { return false };
    let may_run_twice = request.route.idempotent || !leg.runs.may_have_run;
    let has_time = request.deadline > cx.now;
    if suspect::holds(tables, &key, cx) {
        return false;
    }
    if leg.queued || !may_run_twice || !has_time || leg.runs.arrived >= request.route.attempts {
        return false;
    }
    if leg.runs.arrived == 0 {
        return true;
    }
    take_extra(tables, key, cx)
}

/// Takes an attempt beyond the first from the budget of a leg's service.
pub fn take_extra(tables: &mut Tables, key: Key, cx: &mut Context<'_>) -> bool {
    let bound = bound(tables, cx);
    let Some(leg) = tables.legs.get(&key) else { return false };
    let service: Name = leg.service.clone();
    let is_taken = tables.budget(&service).take(cx.now, bound);
    if !is_taken {
        cx.out.counts.add(Count::BudgetSpent);
    }
    is_taken
}

fn log(tables: &Tables, key: Key, reason: Retry, cx: &mut Context<'_>) {
    let Some(request) = tables.requests.get(&key.call) else { return };
    let Some(leg) = tables.legs.get(&key) else { return };
    let fields = vec![
        ("id", request.caller_request.id.to_string()),
        ("service", leg.service.to_string()),
        ("reason", reason.as_str().to_owned()),
        ("arrived", leg.runs.arrived.to_string()),
        ("age_ms", age(request.arrived, cx.now)),
    ];
    cx.out.lines.push(Line::new(Event::LegRetried, fields));
}

/// The time since `from` in milliseconds, for a line of the log.
pub fn age(from: Instant, now: Instant) -> String {
    now.since(from).as_millis().to_string()
}

/// Whether a leg waits for a second attempt beside a slow one.
pub fn is_single(leg: &Leg) -> bool {
    leg.is_open() && leg.attempts.len() == 1
}
