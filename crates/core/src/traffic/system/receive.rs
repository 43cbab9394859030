//! Handles the messages of other traffic threads.

use crate::{
    count::{Count, Retry},
    id,
    message::{Holding, Message},
    traffic::{
        Context, Event, Outbox, Tables,
        system::{advertise, job, leg},
        table::shard,
    },
    view::Lane,
};

/// Handles the messages in the order of their arrival.
pub fn run(tables: &mut Tables, cx: &mut Context, events: Vec<Event>, out: &mut Outbox) {
    for event in events {
        match event {
            Event::Message { from, message } => {
                if let Some(link) = tables.links.get_mut(&from) {
                    link.last_received = cx.now;
                    link.pinged = None;
                }
                handle_message(tables, cx, from, message, out);
            }
            Event::Lost { lane } => lane_lost(tables, cx, &lane, out),
            _ => {}
        }
    }
}

fn handle_message(
    tables: &mut Tables,
    cx: &mut Context,
    from: Lane,
    message: Message,
    out: &mut Outbox,
) {
    match message {
        Message::Legs(legs) => {
            for leg in legs {
                job::accept(tables, cx, from.clone(), leg, out);
            }
        }
        Message::Cancels(legs) => {
            for id in legs {
                withdraw_job(tables, id, out);
            }
        }
        Message::Replies(replies) => tables.replies.extend(replies),
        Message::Holdings(holdings) => {
            for holding in holdings {
                apply_holding(tables, cx, holding);
            }
        }
        Message::AskHoldings => advertise::send_all(tables, &from, out),
        Message::Ping => out.send(from, Message::Pong),
        Message::Pong => {}
    }
}

/// Ends a job whose entry no longer waits. An operation that is running
/// continues, because its outcome has to be recorded.
fn withdraw_job(tables: &mut Tables, id: id::Leg, out: &mut Outbox) {
    let Some(row) = tables.jobs.get(&id) else { return };
    let is_running = !row.attempts.is_empty();
    if row.is_idempotent() || !is_running {
        job::remove(tables, id, out);
    }
}

/// Applies what a home advertises that a shard holds.
pub fn apply_holding(tables: &mut Tables, cx: &mut Context, holding: Holding) {
    let key = shard::Key { index: holding.index.clone(), shard: holding.shard.clone() };
    let index = tables.indexes.entry(holding.index.clone()).or_default();
    let row = index.shards.entry(holding.shard).or_default();
    if row.lanes.is_empty() {
        row.lanes = cx.policies.route.lanes(&cx.view, &cx.lane, &key, cx.limits.max_homes);
    }
    if row.ranges != holding.ranges {
        row.ranges = holding.ranges;
        tables.to_choose.insert(holding.index);
    }
}

/// Handles the loss of messages to a lane: its legs are sent to their next
/// homes.
fn lane_lost(tables: &mut Tables, cx: &mut Context, lane: &Lane, out: &mut Outbox) {
    let Some(link) = tables.links.get_mut(lane) else { return };
    let legs = std::mem::take(&mut link.legs);
    for id in legs {
        out.count(Count::Retried(Retry::HomeUnreachable));
        leg::home_lost(tables, cx, id, out);
    }
}
