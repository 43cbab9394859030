//! Takes the reports of the traffic threads.

use super::{list, quarantine};
use crate::{
    claims::Event,
    control::{
        engine::Step,
        request::Source,
        table::{Tables, target::Word},
    },
    notice::Report,
};

/// Takes the report of a traffic thread.
pub fn take(tables: &mut Tables, step: &mut Step<'_>, thread: u16, report: Report) {
    match report {
        Report::Claim { operation, request, deadline } => {
            tables.claims.threads.insert(operation, thread);
            tables.claims.events.push(Event::Claim { operation, request, deadline });
        }
        Report::Outcome { request, outcome } => {
            tables.claims.events.push(Event::Outcome { request, outcome });
        }
        Report::Suspect { fingerprint, query, target } => {
            let remaining = step.limits.suspect_fingerprint;
            quarantine::suspect(tables, step, (fingerprint, target, query.origin), remaining);
        }
        Report::Quarantined { fingerprint, origin } => {
            let remaining = step.limits.condemned_fingerprint;
            quarantine::condemn(tables, step, fingerprint, origin, remaining);
        }
        Report::Draining { target, incarnation } => {
            let word = Word { incarnation, draining: true };
            list::word(tables, step, &target, word, Source::Own);
        }
        Report::Serving { target, incarnation } => {
            let word = Word { incarnation, draining: false };
            list::word(tables, step, &target, word, Source::Own);
        }
        Report::Unreachable { vm } => {
            tables.claims.events.push(Event::Unreachable { vm: vm.clone() });
            tables.vms.urgent.push(vm);
        }
        Report::InFlight { count } => {
            tables.own.in_flight.insert(thread, count);
        }
    }
}
