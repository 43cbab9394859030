//! The life of a leg at its entry: sent, sent to the next home, ended.

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

/// Sends a leg to the best home that it was not sent to yet.
pub fn send(tables: &mut Tables, cx: &mut Context, leg: Leg, out: &mut Outbox) {
    let id = leg.message.leg;
    let Some(lane) = leg.lane().cloned() else { return };
    let mut message = leg.message.clone();
    if let Some(query) = tables.queries.get_mut(&leg.query) {
        query.legs.insert(id);
        message.remaining = query.deadline.remaining(cx.now).saturating_sub(cx.limits.margin);
    }
    tables.legs.insert(id, leg);
    if lane == cx.lane {
        job::accept(tables, cx, lane, message, out);
        return;
    }
    watch(tables, cx, &lane, id);
    out.leg(lane, message);
}

/// Notes that a leg is in flight to a lane, and looks for signs of life of it.
fn watch(tables: &mut Tables, cx: &Context, lane: &Lane, id: id::Leg) {
    let link = tables.links.entry(lane.clone()).or_default();
    link.legs.insert(id);
    if !link.watched {
        link.watched = true;
        link.heard = cx.now;
        link.asked = None;
        tables.timers.set(cx.now + cx.limits.home_silent / 2, Timer::Link(lane.clone()));
    }
}

/// Sends a search's leg, whose home was lost and may have run it, to its next
/// home; an operation's leg ends as unknown.
///
/// The lost home is told to drop the leg, because it may only have been slow
/// and would run it beside the next one.
pub fn advance(tables: &mut Tables, cx: &mut Context, id: id::Leg, out: &mut Outbox) {
    let Some(leg) = tables.legs.get(&id) else { return };
    let (query, is_search) = (leg.query, leg.version.is_some());
    let lane = leg.lane().filter(|lane| **lane != cx.lane).cloned();
    may_have_run(tables, query);
    if is_search {
        if let Some(lane) = lane {
            out.cancel(lane, id);
        }
        resend(tables, cx, id, out);
    } else if let Some(leg) = remove(tables, id) {
        settle_unknown(tables, &leg);
    }
}

/// Notes that a part of a query was handed on and its end will not be known.
pub fn may_have_run(tables: &mut Tables, id: id::Query) {
    if let Some(query) = tables.queries.get_mut(&id) {
        query.ran = query.ran.max(Ran::Unknown);
    }
}

/// Sends a leg that surely did not run, or may run twice, to its next home.
pub fn resend(tables: &mut Tables, cx: &mut Context, id: id::Leg, out: &mut Outbox) {
    let Some(mut leg) = remove(tables, id) else { return };
    leg.tries += 1;
    refresh_lanes(tables, cx, &mut leg);
    if leg.lane().is_some() {
        send(tables, cx, leg, out);
    } else {
        merge::ended(tables, &leg);
    }
}

/// Takes the homes as they are known now, without those that were tried.
fn refresh_lanes(tables: &Tables, cx: &Context, leg: &mut Leg) {
    let tried = leg.lanes.get(..leg.tries).unwrap_or_default().to_vec();
    let current = lanes(tables, cx, &leg.message.index, &leg.shard);
    let rest = current.into_iter().filter(|lane| !tried.contains(lane));
    leg.lanes = tried.iter().cloned().chain(rest).collect();
}

/// The lanes of the homes of a shard, best first.
pub fn lanes(tables: &Tables, cx: &Context, index: &Name, shard: &Name) -> Vec<Lane> {
    let known = tables.indexes.get(index).and_then(|index| index.shards.get(shard));
    match known {
        Some(holding) if !holding.lanes.is_empty() => holding.lanes.clone(),
        _ => {
            let key = shard::Key { index: index.clone(), shard: shard.clone() };
            cx.policies.route.lanes(&cx.view, &cx.lane, &key, cx.limits.homes)
        }
    }
}

fn settle_unknown(tables: &mut Tables, leg: &Leg) {
    tables.unsettled.remove(&leg.query);
    let Some(query) = tables.queries.get_mut(&leg.query) else { return };
    if let Task::Operation(operation) = &mut query.task
        && operation.stage == Stage::Sent
    {
        let detail = "the VM that served the target was lost";
        operation.stage = Stage::Settled(Err(Fault::unknown(Kind::TargetFailed, detail)));
        tables.to_answer.insert(leg.query);
    }
}

/// Takes a leg out of the tables, because it was answered or is not wanted.
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

/// Withdraws a leg at its home.
pub fn withdraw(tables: &mut Tables, cx: &Context, id: id::Leg, out: &mut Outbox) {
    let Some(leg) = remove(tables, id) else { return };
    may_have_run(tables, leg.query);
    match leg.lane() {
        Some(lane) if *lane == cx.lane => {
            job::remove(tables, id, out);
        }
        Some(lane) => out.cancel(lane.clone(), id),
        None => {}
    }
}

/// The reply that is taken for a leg whose home could not run it.
pub fn is_home_refusal(reply: &message::Reply) -> bool {
    matches!(reply.outcome, Outcome::Failed { kind: Kind::NotReady, .. })
}
