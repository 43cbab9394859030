//! Sends queued legs to targets, and hedges legs that are slow.

use std::{sync::Arc, time::Duration};

use rand::RngExt;

use super::{Context, connect, leg};
use crate::{
    count::Count,
    log::{Event, Line},
    name::Name,
    relay::{
        self, Command, Tables, TargetRequest,
        policy::choice::CostContext,
        route::Plan,
        table::{
            attempt::Attempt,
            connection::State,
            leg::{Key, QueuePosition},
            target::Target,
            timer::Timer,
        },
    },
    time::Instant,
};

/// Largest random addition to the cost of a target, as a fraction of the cost, so
/// that VMs with equal knowledge do not all pick the same target.
const MAX_COST_JITTER: f64 = 0.1;

/// Delay before a hedge that no target could take is tried again.
const HEDGE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// What to do with a queued leg in this tick.
enum Decision {
    /// Send it to this target.
    Send(Name),
    /// Keep it queued: its targets are busy, paused or failing, or an attempt is
    /// in flight.
    Wait,
    /// End it, because no target is left for it.
    GiveUp,
}

/// Sends the queued legs that a target can take, in the order of each queue.
pub fn dispatch_queued(tables: &mut Tables, cx: &mut Context<'_>) {
    let waiting: Vec<Name> = tables
        .waiting
        .iter()
        .filter(|(_, queue)| !queue.is_empty())
        .map(|(s, _)| s.clone())
        .collect();
    for service in waiting {
        let queue: Vec<QueuePosition> = tables.waiting[&service].iter().copied().collect();
        for position in queue {
            match decide(tables, position.key, cx) {
                Decision::Send(target) => {
                    leg::dequeue(tables, position.key);
                    send(tables, position.key, &target, cx);
                }
                Decision::Wait => {}
                Decision::GiveUp => {
                    leg::dequeue(tables, position.key);
                    leg::give_up(tables, position.key, cx);
                }
            }
        }
    }
}

/// Decides what to do with a queued leg.
fn decide(tables: &mut Tables, key: Key, cx: &mut Context<'_>) -> Decision {
    let Some(leg) = tables.legs.get(&key) else { return Decision::GiveUp };
    let Some(request) = tables.requests.get(&key.call) else { return Decision::GiveUp };
    let is_gather = matches!(request.route.plan, Plan::Gather(_));
    // A partial answer without this shard is better than a late one.
    let latest = if is_gather { request.goal } else { request.deadline };
    let is_alone = leg.attempts.is_empty();
    let candidates = candidates(tables, key, cx.now);
    let available = available(tables, &candidates, cx.now);
    if let Some(target) = cheapest(tables, key, &available, cx) {
        return Decision::Send(target);
    }
    let is_too_late = |id: &Name| {
        tables.targets.get(id).is_none_or(|target| {
            target.backoff_until > latest || is_gather && target.is_failing(cx.now)
        })
    };
    if is_alone && candidates.iter().all(is_too_late) { Decision::GiveUp } else { Decision::Wait }
}

/// Returns the usable targets of a leg's service that it was not sent to yet. Those that
/// are leaving count only if there are no others.
fn candidates(tables: &Tables, key: Key, now: Instant) -> Vec<Name> {
    let Some(leg) = tables.legs.get(&key) else { return Vec::new() };
    let Some(targets) = tables.services.get(&leg.service) else { return Vec::new() };
    let rows = targets.iter().filter_map(|id| Some((id, tables.targets.get(id)?)));
    let untried: Vec<(&Name, &Target)> =
        rows.filter(|(id, target)| !leg.tried.contains(*id) && !target.has_left(now)).collect();
    let has_others = untried.iter().any(|(_, target)| !target.is_leaving());
    let wanted = untried.into_iter().filter(|(_, target)| !has_others || !target.is_leaving());
    wanted.map(|(id, _)| id.clone()).collect()
}

/// Returns the targets that are neither failing nor asked for a pause.
fn available(tables: &Tables, ids: &[Name], now: Instant) -> Vec<Name> {
    let is_available = |target: &Target| !target.is_failing(now) && !target.is_backing_off(now);
    ids.iter().filter(|id| tables.targets.get(*id).is_some_and(is_available)).cloned().collect()
}

/// Returns the target with the least cost among those that can take a request now.
fn cheapest(tables: &mut Tables, key: Key, ids: &[Name], cx: &mut Context<'_>) -> Option<Name> {
    let request = tables.requests.get(&key.call)?;
    let (route, goal) = (request.route.name.clone(), request.route.goal);
    let mean = tables.stats_of(&route).latency.mean();
    let usual_latency = if mean.is_zero() { goal / 4 } else { mean };
    let mut best: Option<(f64, &Name)> = None;
    for id in ids {
        if !connect::can_take(tables, id, cx) {
            continue;
        }
        let Some(target) = tables.targets.get(id) else { continue };
        let is_same_domain = target.entry.domain == cx.limits.domain;
        let cost = cx
            .policies
            .choice
            .cost(target, &CostContext { now: cx.now, usual_latency, is_same_domain });
        let cost = cost * (1.0 + MAX_COST_JITTER * cx.random.random::<f64>());
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, id));
        }
    }
    best.map(|(_, id)| id.clone())
}

/// Sends a leg to a target.
fn send(tables: &mut Tables, key: Key, id: &Name, cx: &mut Context<'_>) {
    let Some(connection) = connect::take(tables, id, cx) else { return };
    let attempt = relay::Attempt(tables.next_id());
    let Some(request) = tables.requests.get(&key.call) else { return };
    let caller_request = Arc::clone(&request.caller_request);
    let time_left = request.deadline.remaining(cx.now);
    let route = request.route.name.clone();
    let row = Attempt { leg: Some(key), route, target: id.clone(), connection, sent: cx.now };
    tables.attempts.insert(attempt, row);
    if let Some(row) = tables.connections.get_mut(&connection) {
        row.state = State::Busy(attempt);
    }
    if let Some(target) = tables.targets.get_mut(id) {
        target.running.insert((cx.now, attempt));
    }
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    leg.attempts.insert(attempt);
    leg.tried.insert(id.clone());
    leg.runs.arrived += 1;
    let is_first = leg.runs.arrived == 1;
    cx.out.counts.add(Count::Attempts);
    if is_first {
        cx.out.counts.add(Count::FirstAttempts);
        schedule_hedge(tables, key, cx);
    }
    let target_request = TargetRequest { caller_request, target: id.clone(), time_left };
    cx.out.commands.push(Command::Send { connection, attempt, target_request });
}

/// Sets the hedge timer of a leg, if its route and the hedge policy allow one.
fn schedule_hedge(tables: &mut Tables, key: Key, cx: &mut Context<'_>) {
    let Some(request) = tables.requests.get(&key.call) else { return };
    if !request.route.idempotent || request.route.attempts < 2 {
        return;
    }
    let (route, goal) = (request.route.name.clone(), request.route.goal);
    let delay = cx.policies.hedge.delay(&tables.stats_of(&route).latency, goal);
    if let Some(delay) = delay {
        set_hedge_timer(tables, key, delay, cx);
    }
}

fn set_hedge_timer(tables: &mut Tables, key: Key, delay: Duration, cx: &mut Context<'_>) {
    let at = cx.now + delay;
    if let Some(leg) = tables.legs.get_mut(&key) {
        leg.hedge_at = Some(at);
        tables.timers.set(at, Timer::Hedge(key));
    }
}

/// Hedges a leg whose only attempt is slow, if a target can take it now and the
/// retry budget allows it.
pub fn hedge(tables: &mut Tables, key: Key, cx: &mut Context<'_>) {
    let Some(leg) = tables.legs.get_mut(&key) else { return };
    leg.hedge_at = None;
    if !leg::has_one_attempt(leg) || leg.queued {
        return;
    }
    let Some(request) = tables.requests.get(&key.call) else { return };
    if leg.runs.arrived >= request.route.attempts || request.deadline <= cx.now {
        return;
    }
    let mut healthy = available(tables, &candidates(tables, key, cx.now), cx.now);
    // A leaving target is only for legs that have no other.
    healthy.retain(|id| tables.targets.get(id).is_some_and(|target| !target.is_leaving()));
    if healthy.is_empty() {
        return;
    }
    // On a target without a free slot, one more request delays all of its requests.
    let is_free = |id: &Name| tables.targets.get(id).is_some_and(|t| t.has_free_slot(cx.now));
    let healthy: Vec<Name> = healthy.into_iter().filter(is_free).collect();
    let Some(target) = cheapest(tables, key, &healthy, cx) else {
        set_hedge_timer(tables, key, HEDGE_RETRY_DELAY, cx);
        return;
    };
    if !leg::charge_budget(tables, key, cx) {
        return;
    }
    cx.out.counts.add(Count::Hedges);
    log_hedge(tables, key, &target, cx);
    send(tables, key, &target, cx);
}

fn log_hedge(tables: &Tables, key: Key, target: &Name, cx: &mut Context<'_>) {
    let Some(request) = tables.requests.get(&key.call) else { return };
    let fields = vec![
        ("id", request.caller_request.id.to_string()),
        ("target", target.to_string()),
        ("age_ms", leg::age_ms(request.arrived, cx.now)),
    ];
    cx.out.lines.push(Line::new(Event::LegHedged, fields));
}
