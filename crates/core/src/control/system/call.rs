//! Calls of the platform's service: makes them, passes on their replies, and
//! counts calls without a reply as lost.

use std::time::Duration;

use super::{claims, list, profiles, publish, restore};
use crate::{
    claims as claims_engine,
    control::{
        engine::Context,
        table::{
            Tables,
            call::{Call as Row, Purpose},
        },
    },
    log::{Event, Line},
    store::{Call, CallId, Entry, Epoch, Era, Outcome, Reply, Statement},
};

/// Counts calls as lost whose reply did not arrive in time.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    let rows = &tables.calls.rows;
    let due: Vec<CallId> =
        rows.iter().filter(|(_, row)| row.until <= cx.now).map(|(&id, _)| id).collect();
    for id in due {
        let reply = Reply::Lost { detail: "no reply in time".to_owned() };
        handle(tables, cx, Outcome { id, era: None, reply });
    }
}

/// Makes a call. It counts as lost if no reply arrives within the call timeout
/// and `wait`, the time for which the service may hold the call back.
pub fn make(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    purpose: Purpose,
    call: Call,
    wait: Duration,
) -> CallId {
    tables.calls.last += 1;
    let id = CallId(tables.calls.last);
    let until = cx.now + cx.limits.call_timeout + wait;
    let epoch = tables.calls.epoch;
    tables.calls.rows.insert(id, Row { purpose, made: cx.now, epoch, until });
    cx.out.calls.push((id, call));
    id
}

/// Passes the reply to a call on to the system that made it. A reply to a call
/// that is no longer in the table is ignored.
pub fn handle(tables: &mut Tables, cx: &mut Context<'_>, outcome: Outcome) {
    let Some(Outcome { id, era, reply }) = claims::intercept(tables, outcome) else { return };
    let Some(row) = tables.calls.rows.remove(&id) else { return };
    track_availability(tables, cx, &reply);
    let reply = receive(tables, row.epoch, era, reply);
    match row.purpose {
        Purpose::Profiles => profiles::handle_reply(tables, cx, row.made, reply),
        Purpose::Restore => restore::handle_reply(tables, cx, &reply),
        Purpose::List => list::handle_reply(tables, cx, row.made, reply),
        Purpose::Request(request) => publish::handle_reply(tables, cx, request, reply),
        Purpose::ReadExpired => {
            if let Reply::Value { entry: Some(Entry { key, version, .. }), .. } = reply {
                let call = Call::Remove { key, expect: version };
                make(tables, cx, Purpose::RemoveExpired, call, Duration::ZERO);
            }
        }
        Purpose::RemoveExpired => {}
    }
}

/// Takes note of the era that the reply to a call of the epoch `made` stated. A reply that
/// may come from an ended era says nothing about the service as it is, and counts as lost.
fn receive(tables: &mut Tables, made: Epoch, era: Option<Era>, reply: Reply) -> Reply {
    let Some(era) = era else { return reply };
    let before = tables.calls.epoch;
    let statement = tables.calls.epoch.observe(made, era);
    if statement == Statement::New {
        tables.claims.events.push(claims_engine::Event::Era(era));
        profiles::leave_era(tables);
    }
    if statement == Statement::Late || (made != before && made.era().is_some()) {
        return Reply::Lost { detail: "the era of the service ended during the call".to_owned() };
    }
    reply
}

/// Logs when the service becomes unavailable or available again. A refused or
/// lost call counts as unavailable, any other reply as available.
fn track_availability(tables: &mut Tables, cx: &mut Context<'_>, reply: &Reply) {
    let (down, detail) = match reply {
        Reply::Refused { detail } | Reply::Lost { detail } => (true, detail.clone()),
        _ => (false, String::new()),
    };
    if !down {
        tables.own.last_received = cx.now;
    }
    if down != tables.calls.down {
        tables.calls.down = down;
        let event = if down { Event::StoreDown } else { Event::StoreUp };
        cx.out.lines.push(Line::new(event, vec![("detail", detail)]));
    }
}
