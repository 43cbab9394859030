//! Calls of the platform's service: makes them, matches their replies and ends
//! those that stay without one.

use std::time::Duration;

use super::{claims, list, profiles, publish};
use crate::{
    control::{
        engine::Step,
        table::{
            Tables,
            call::{Call as Row, Purpose},
        },
    },
    log::{Event, Line},
    store::{Call, CallId, Entry, Reply},
};

/// Counts calls that stayed without a reply as lost.
pub fn run(tables: &mut Tables, step: &mut Step<'_>) {
    let rows = &tables.calls.rows;
    let due: Vec<CallId> =
        rows.iter().filter(|(_, row)| row.until <= step.now).map(|(&id, _)| id).collect();
    for id in due {
        take(tables, step, id, Reply::Lost { detail: "no reply in time".to_owned() });
    }
}

/// Makes a call whose reply takes up to `wait` in addition to the usual time.
pub fn make(
    tables: &mut Tables,
    step: &mut Step<'_>,
    purpose: Purpose,
    call: Call,
    wait: Duration,
) -> CallId {
    tables.calls.last += 1;
    let id = CallId(tables.calls.last);
    let until = step.now + step.limits.call_timeout + wait;
    tables.calls.rows.insert(id, Row { purpose, made: step.now, until });
    step.out.calls.push((id, call));
    id
}

/// Takes the reply to a call.
pub fn take(tables: &mut Tables, step: &mut Step<'_>, id: CallId, reply: Reply) {
    let Some(reply) = claims::take(tables, id, reply) else { return };
    let Some(row) = tables.calls.rows.remove(&id) else { return };
    note(tables, step, &reply);
    match row.purpose {
        Purpose::Profiles => profiles::read(tables, step, row.made, reply),
        Purpose::List => list::read(tables, step, row.made, reply),
        Purpose::Request(request) => publish::reply(tables, step, request, reply),
        Purpose::Find => {
            if let Reply::Value { entry: Some(Entry { key, version, .. }), .. } = reply {
                let call = Call::Remove { key, expect: version };
                make(tables, step, Purpose::Prune, call, Duration::ZERO);
            }
        }
        Purpose::Prune => {}
    }
}

fn note(tables: &mut Tables, step: &mut Step<'_>, reply: &Reply) {
    let (down, detail) = match reply {
        Reply::Refused { detail } | Reply::Lost { detail } => (true, detail.clone()),
        _ => (false, String::new()),
    };
    if !down {
        tables.own.heard = step.now;
    }
    if down != tables.calls.down {
        tables.calls.down = down;
        let event = if down { Event::StoreDown } else { Event::StoreUp };
        step.out.lines.push(Line::new(event, vec![("detail", detail)]));
    }
}
