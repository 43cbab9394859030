//! Takes the messages of other traffic threads.

use crate::{
    count::{Count, Retry},
    id,
    message::{Holding, Message},
    traffic::{
        Context, Event, Outbox, Tables,
        system::{job, leg, tell},
        table::shard,
    },
    view::Lane,
};

/// Takes the messages in the order in which they came.
pub fn run(tables: &mut Tables, cx: &mut Context, events: Vec<Event>, out: &mut Outbox) {
    for event in events {
        match event {
            Event::Message { from, message } => {
                if let Some(link) = tables.links.get_mut(&from) {
                    link.heard = cx.now;
                    link.asked = None;
                }
                take(tables, cx, from, message, out);
            }
            Event::Lost { lane } => lost(tables, cx, &lane, out),
            _ => {}
        }
    }
}

fn take(tables: &mut Tables, cx: &mut Context, from: Lane, message: Message, out: &mut Outbox) {
    match message {
        Message::Legs(legs) => {
            for leg in legs {
                job::accept(tables, cx, from.clone(), leg, out);
            }
        }
        Message::Cancels(legs) => {
            for id in legs {
                withdraw(tables, id, out);
            }
        }
        Message::Replies(replies) => tables.replies.extend(replies),
        Message::Holdings(holdings) => {
            for holding in holdings {
                hold(tables, cx, holding);
            }
        }
        Message::AskHoldings => tell::all(tables, &from, out),
        Message::Ping => out.send(from, Message::Pong),
        Message::Pong => {}
    }
}

/// Ends a job whose entry no longer waits. An operation that was sent goes on,
/// because its outcome is recorded.
fn withdraw(tables: &mut Tables, id: id::Leg, out: &mut Outbox) {
    let Some(row) = tables.jobs.get(&id) else { return };
    let is_running = !row.attempts.is_empty();
    if row.is_idempotent() || !is_running {
        job::remove(tables, id, out);
    }
}

/// Takes what a home says that its shard holds.
pub fn hold(tables: &mut Tables, cx: &mut Context, holding: Holding) {
    let key = shard::Key { index: holding.index.clone(), shard: holding.shard.clone() };
    let index = tables.indexes.entry(holding.index.clone()).or_default();
    let row = index.shards.entry(holding.shard).or_default();
    if row.lanes.is_empty() {
        row.lanes = cx.policies.route.lanes(&cx.view, &cx.lane, &key, cx.limits.homes);
    }
    if row.ranges != holding.ranges {
        row.ranges = holding.ranges;
        tables.to_choose.insert(holding.index);
    }
}

/// Sends the legs of a lost lane to the next homes.
fn lost(tables: &mut Tables, cx: &mut Context, lane: &Lane, out: &mut Outbox) {
    let Some(link) = tables.links.get_mut(lane) else { return };
    let legs = std::mem::take(&mut link.legs);
    for id in legs {
        out.count(Count::Retried(Retry::HomeUnreachable));
        leg::advance(tables, cx, id, out);
    }
}
