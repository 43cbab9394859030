//! Reports to the other VMs through the store which requests are quarantined, and tells
//! them directly which requests are suspected of crashing targets.
//!
//! An entry is removed with its lease, so that no VM has to delete it. It is
//! written once, and again after each time in which the store may have lost it: a VM that
//! misses it finds the request by itself.

use super::{
    context::Context,
    table::{Reports, Stage, Tables},
};
use crate::{
    log::{Event, Line},
    relay::{Quarantine, Suspicion},
    store::{Call, CallId, LeaseId, Reply},
};

/// The most reports that wait. If a VM finds more crashing requests at a time, it
/// does not report the rest.
const MAX_WAITING_REPORTS: usize = 16;

/// The most suspicions in one message, which must fit into a datagram.
const MAX_SUSPICIONS: usize = 8;

/// Tells all VMs that send to targets what this VM found out. A message may be lost: a VM
/// that misses it lets the request through once more.
pub fn tell(tables: &Tables, suspicions: &[Suspicion], cx: &mut Context<'_>) {
    for part in suspicions.chunks(MAX_SUSPICIONS) {
        let others = tables.others().map(|(_, vm)| (vm.address, part.to_vec()));
        cx.out.suspicions.extend(others);
    }
}

/// Queues reports of requests that this VM quarantined.
pub fn enqueue(tables: &mut Tables, quarantined: Vec<Quarantine>) {
    for quarantine in quarantined {
        let is_known = tables.view.quarantined.contains(&quarantine.request);
        let waiting = &mut tables.reports.waiting;
        if !is_known && waiting.len() < MAX_WAITING_REPORTS && !waiting.contains(&quarantine) {
            waiting.push_back(quarantine);
        }
    }
}

/// Starts the next report. A VM that hands its requests to others does not use the
/// store and makes no reports.
pub fn start_next(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.reports.in_flight.is_some() || tables.is_handing() {
        return;
    }
    let Some(quarantine) = tables.reports.waiting.front() else { return };
    let grant = Call::Grant { ttl: quarantine.hold };
    start_call(tables, Stage::Grant, grant, cx);
}

/// Handles the reply to a call of a report. Returns the reply if it belongs to none.
pub fn handle_reply(
    tables: &mut Tables,
    id: CallId,
    reply: Reply,
    cx: &mut Context<'_>,
) -> Option<Reply> {
    let Some((_, stage)) = tables.reports.in_flight.take_if(|(open, _)| *open == id) else {
        return Some(reply);
    };
    match (stage, reply) {
        (Stage::Grant, Reply::Leased { lease }) => start_write(tables, lease, cx),
        // A conflict means that another VM has already written the report.
        (Stage::Write, Reply::Swapped { .. } | Reply::Conflict { .. }) => {
            record_written(tables, cx);
        }
        (_, reply) => discard(tables, &reply, cx),
    }
    None
}

fn start_call(tables: &mut Tables, stage: Stage, call: Call, cx: &mut Context<'_>) {
    let id = tables.call_id();
    tables.reports.in_flight = Some((id, stage));
    cx.out.calls.push((id, call));
}

fn start_write(tables: &mut Tables, lease: LeaseId, cx: &mut Context<'_>) {
    let Some(quarantine) = tables.reports.waiting.front() else { return };
    let call = Call::Swap {
        key: cx.format.quarantine_key(quarantine.request),
        expect: None,
        value: tables.own.name.as_str().into(),
        lease: Some(lease),
    };
    start_call(tables, Stage::Write, call, cx);
}

/// Ends the first report. Returns it if there is one.
fn record_written(tables: &mut Tables, cx: &Context<'_>) -> Option<Quarantine> {
    let quarantine = tables.reports.waiting.pop_front()?;
    let written = &mut tables.reports.written;
    written.retain(|_, until| *until > cx.now);
    written.insert(quarantine.request, cx.now + quarantine.hold);
    Some(quarantine)
}

/// Queues the reports again that the store may have lost, since it was away or has begun a new
/// era, each for the rest of its quarantine. A report that is being written starts anew, as its
/// lease may be lost.
pub fn write_again(tables: &mut Tables, cx: &Context<'_>) {
    let Reports { waiting, in_flight, written } = &mut tables.reports;
    *in_flight = None;
    for (request, until) in std::mem::take(written) {
        let hold = until.remaining(cx.now);
        if !hold.is_zero() && waiting.len() < MAX_WAITING_REPORTS {
            waiting.push_back(Quarantine { request, hold });
        }
    }
}

fn discard(tables: &mut Tables, reply: &Reply, cx: &mut Context<'_>) {
    let Some(quarantine) = record_written(tables, cx) else { return };
    let detail = match reply {
        Reply::Refused { detail } | Reply::Lost { detail } => detail.clone(),
        _ => "unexpected type of reply".to_owned(),
    };
    let fields = vec![("fingerprint", quarantine.request.to_string()), ("detail", detail)];
    cx.out.lines.push(Line::new(Event::ReportLost, fields));
}
