//! Runs the engine of the claims with what concerns it, and carries what it
//! leaves: calls, messages and verdicts.

use super::spread;
use crate::{
    claims::{self, CallId, Engine, Event},
    control::{
        Recipient,
        engine::Step,
        message::Body,
        table::{Tables, call::CLAIMS},
    },
    notice::Notice,
    store,
};

/// Runs the engine of the claims once.
pub fn run(tables: &mut Tables, step: &mut Step<'_>, engine: &mut Engine) {
    let events = std::mem::take(&mut tables.claims.events);
    let mut out = claims::Outbox::default();
    engine.step(step.now, step.wall, &tables.view.vms, events, &mut out);
    for (id, call) in out.calls {
        step.out.calls.push((store::CallId(id.0 | CLAIMS), call));
    }
    for (vm, message) in out.messages {
        spread::post(tables, step, &vm, Body::Claims(message));
    }
    for (operation, verdict) in out.verdicts {
        if let Some(thread) = tables.claims.threads.remove(&operation) {
            let notice = Notice::Claimed { operation, verdict };
            step.out.notices.push((Recipient::Thread(thread), notice));
        }
    }
    step.out.claims.extend(out.counts);
    step.out.lines.extend(out.lines);
}

/// Hands over the reply to a call if it is one of the claims' calls.
pub fn take(tables: &mut Tables, id: store::CallId, reply: store::Reply) -> Option<store::Reply> {
    if id.0 & CLAIMS == 0 {
        return Some(reply);
    }
    tables.claims.events.push(Event::Reply { id: CallId(id.0 & !CLAIMS), reply });
    None
}
