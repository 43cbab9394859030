//! The lifecycle of a leg at its entry: it is sent, sent to the next home, and
//! ended.

use crate::{
    fault::{Fault, Kind, Ran},
    id,
    message::{self, Outcome},
    name::Name,
    traffic::{
        Context, Outbox, Tables,
        system::{job, merge},
        table::{
            Leg,
            query::{Stage, Task},
            shard,
            timer::Timer,
        },
    },
    view::Lane,
};

/// Sends a leg to the home at its `lane_index`. A leg for this thread is
/// accepted as a job at once.
pub fn send(tables: &mut Tables, cx: &mut Context, leg: Leg, out: &mut Outbox) {
    let id = leg.message.leg;
    let Some(lane) = leg.lane().cloned() else { return };
    let mut message = leg.message.clone();
    if let Some(query) = tables.queries.get_mut(&leg.query) {
        query.legs.insert(id);
        message.remaining = query.deadline.remaining(cx.now).saturating_sub(cx.limits.merge_margin);
    }
    tables.legs.insert(id, leg);
    if lane == cx.lane {
        job::accept(tables, cx, lane, message, out);
        return;
    }
    watch(tables, cx, &lane, id);
    out.leg(lane, message);
}

/// Records that a leg is in flight to a lane, and starts to monitor the lane.
fn watch(tables: &mut Tables, cx: &Context, lane: &Lane, id: id::Leg) {
    let link = tables.links.entry(lane.clone()).or_default();
    link.legs.insert(id);
    if !link.watched {
        link.watched = true;
        link.last_received = cx.now;
        link.pinged = None;
        tables.timers.set(cx.now + cx.limits.home_timeout / 2, Timer::Link(lane.clone()));
    }
}

/// Handles the loss of the home of a leg, which may have run it. A leg of a
/// search is sent to the next home; the outcome of an operation is unknown.
///
/// The leg is also withdrawn at the lost home, which may only have been slow
/// and would otherwise run it as well.
pub fn home_lost(tables: &mut Tables, cx: &mut Context, id: id::Leg, out: &mut Outbox) {
    let Some(leg) = tables.legs.get(&id) else { return };
    let (query, is_search) = (leg.query, leg.version.is_some());
    let lane = leg.lane().filter(|lane| **lane != cx.lane).cloned();
    mark_may_have_run(tables, query);
    if is_search {
        if let Some(lane) = lane {
            out.cancel(lane, id);
        }
        resend(tables, cx, id, out);
    } else if let Some(leg) = remove(tables, id) {
        settle_unknown(tables, &leg);
    }
}

/// Records that a part of a query was sent and it will not be known whether it
/// ran.
pub fn mark_may_have_run(tables: &mut Tables, id: id::Query) {
    if let Some(query) = tables.queries.get_mut(&id) {
        query.ran = query.ran.max(Ran::Unknown);
    }
}

/// Sends a leg to its next home, or ends it if none is left. The leg must not
/// have run, or must be one that may run twice.
pub fn resend(tables: &mut Tables, cx: &mut Context, id: id::Leg, out: &mut Outbox) {
    let Some(mut leg) = remove(tables, id) else { return };
    leg.lane_index += 1;
    refresh_lanes(tables, cx, &mut leg);
    if leg.lane().is_some() {
        send(tables, cx, leg, out);
    } else {
        merge::finish_if_idle(tables, &leg);
    }
}

/// Replaces the homes that were not tried yet by the homes as they are known
/// now.
fn refresh_lanes(tables: &Tables, cx: &Context, leg: &mut Leg) {
    let tried = leg.lanes.get(..leg.lane_index).unwrap_or_default().to_vec();
    let current = lanes(tables, cx, &leg.message.index, &leg.shard);
    let rest = current.into_iter().filter(|lane| !tried.contains(lane));
    leg.lanes = tried.iter().cloned().chain(rest).collect();
}

/// The lanes of the homes of a shard, in order of preference.
pub fn lanes(tables: &Tables, cx: &Context, index: &Name, shard: &Name) -> Vec<Lane> {
    let known = tables.indexes.get(index).and_then(|index| index.shards.get(shard));
    match known {
        Some(holding) if !holding.lanes.is_empty() => holding.lanes.clone(),
        _ => {
            let key = shard::Key { index: index.clone(), shard: shard.clone() };
            cx.policies.route.lanes(&cx.view, &cx.lane, &key, cx.limits.max_homes)
        }
    }
}

fn settle_unknown(tables: &mut Tables, leg: &Leg) {
    tables.unsettled.remove(&leg.query);
    let Some(query) = tables.queries.get_mut(&leg.query) else { return };
    if let Task::Operation(operation) = &mut query.task
        && operation.stage == Stage::Sent
    {
        let detail = "the VM that the operation was sent to was lost";
        operation.stage = Stage::Settled(Err(Fault::unknown(Kind::TargetFailed, detail)));
        tables.to_answer.insert(leg.query);
    }
}

/// Removes a leg from the tables, because it was answered or is no longer
/// needed.
pub fn remove(tables: &mut Tables, id: id::Leg) -> Option<Leg> {
    let leg = tables.legs.remove(&id)?;
    if let Some(link) = leg.lane().and_then(|lane| tables.links.get_mut(lane)) {
        link.legs.remove(&id);
    }
    if let Some(query) = tables.queries.get_mut(&leg.query) {
        query.legs.remove(&id);
    }
    Some(leg)
}

/// Removes a leg and withdraws it at its home.
pub fn withdraw(tables: &mut Tables, cx: &Context, id: id::Leg, out: &mut Outbox) {
    let Some(leg) = remove(tables, id) else { return };
    mark_may_have_run(tables, leg.query);
    match leg.lane() {
        Some(lane) if *lane == cx.lane => {
            job::remove(tables, id, out);
        }
        Some(lane) => out.cancel(lane.clone(), id),
        None => {}
    }
}

/// Whether the home refused the leg because it cannot serve it, so that the
/// next home is tried.
pub fn is_home_refusal(reply: &message::Reply) -> bool {
    matches!(reply.outcome, Outcome::Failed { kind: Kind::NotReady, .. })
}
