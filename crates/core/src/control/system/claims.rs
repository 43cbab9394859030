//! Runs the claims engine with the events that concern it, and passes on its
//! outputs: calls, messages and verdicts.

use super::{gossip, profiles};
use crate::{
    claims::{self, CallId, Engine, Event},
    control::{
        Recipient,
        engine::Context,
        message::Body,
        table::{Tables, call::CLAIMS_CALL_BIT},
    },
    notice::Notice,
    store,
};

/// Runs one tick of the claims engine.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>, engine: &mut Engine) {
    let events = std::mem::take(&mut tables.claims.events);
    let mut out = claims::Outbox::default();
    engine.tick(cx.now, cx.wall, &tables.view.vms, events, &mut out);
    for (id, call) in out.calls {
        cx.out.calls.push((store::CallId(id.0 | CLAIMS_CALL_BIT), call));
    }
    for (vm, message) in out.messages {
        gossip::send(tables, cx, &vm, Body::Claims(message));
    }
    for (operation, verdict) in out.verdicts {
        if let Some(thread) = tables.claims.threads.remove(&operation) {
            let notice = Notice::Claimed { operation, verdict };
            cx.out.notices.push((Recipient::Thread(thread), notice));
        }
    }
    take_over_era(tables, engine);
    cx.out.claims.extend(out.counts);
    cx.out.lines.extend(out.lines);
}

/// Takes over the era that the claims engine has learnt from its own calls or from other
/// VMs.
fn take_over_era(tables: &mut Tables, engine: &Engine) {
    let era = engine.epoch().era();
    if let Some(era) = era.filter(|_| era != tables.calls.epoch.era()) {
        tables.calls.epoch.begin(era);
        profiles::leave_era(tables);
    }
}

/// Passes the outcome of a call on to the claims engine if that made the call; returns
/// it otherwise.
pub fn intercept(tables: &mut Tables, outcome: store::Outcome) -> Option<store::Outcome> {
    let store::Outcome { id, era, reply } = outcome;
    if id.0 & CLAIMS_CALL_BIT == 0 {
        return Some(store::Outcome { id, era, reply });
    }
    tables.claims.events.push(Event::Reply { id: CallId(id.0 & !CLAIMS_CALL_BIT), era, reply });
    None
}
