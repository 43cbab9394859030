//! Handles the reports of the traffic threads.

use super::{list, quarantine};
use crate::{
    claims::Event,
    control::{
        engine::Context,
        request::Source,
        table::{Tables, target::Announcement},
    },
    notice::Report,
};

/// Handles a report of the traffic thread with the number `thread`.
pub fn handle(tables: &mut Tables, cx: &mut Context<'_>, thread: u16, report: Report) {
    match report {
        Report::Claim { operation, request, deadline } => {
            tables.claims.threads.insert(operation, thread);
            tables.claims.events.push(Event::Claim { operation, request, deadline });
        }
        Report::Outcome { request, outcome } => {
            tables.claims.events.push(Event::Outcome { request, outcome });
        }
        Report::Suspect { fingerprint, query, target } => {
            let remaining = cx.limits.suspect_duration;
            quarantine::record_loss(tables, cx, (fingerprint, target, query.origin), remaining);
        }
        Report::Quarantined { fingerprint, origin } => {
            let remaining = cx.limits.quarantine_duration;
            quarantine::add(tables, cx, fingerprint, origin, remaining);
        }
        Report::Draining { target, incarnation } => {
            let announcement = Announcement { incarnation, draining: true };
            list::apply_announcement(tables, cx, &target, announcement, Source::Own);
        }
        Report::Serving { target, incarnation } => {
            let announcement = Announcement { incarnation, draining: false };
            list::apply_announcement(tables, cx, &target, announcement, Source::Own);
        }
        Report::Unreachable { vm } => {
            tables.claims.events.push(Event::Unreachable { vm: vm.clone() });
            tables.vms.urgent_probes.push(vm);
        }
        Report::InFlight { count } => {
            tables.own.in_flight.insert(thread, count);
        }
    }
}
