//! Tells the other VMs through the store which requests are held back.
//!
//! An entry goes with its lease, so that nobody has to remove it. It is written
//! once: a VM that does not hear of it finds out by itself.

use super::{
    system::Context,
    table::{Step, Tables},
};
use crate::{
    digest::Fingerprint,
    log::{Event, Line},
    relay::system::suspect::QUARANTINE_DURATION,
    store::{Call, CallId, LeaseId, Reply},
};

/// The reports that wait; a VM that finds more crashing requests at a time tells
/// of these only.
const MAX_WAITING: usize = 16;

/// Takes requests that this VM holds back.
pub fn take(tables: &mut Tables, held: Vec<Fingerprint>) {
    for fingerprint in held {
        let is_known = tables.view.held.contains(&fingerprint);
        let waiting = &mut tables.reports.waiting;
        if !is_known && waiting.len() < MAX_WAITING && !waiting.contains(&fingerprint) {
            waiting.push_back(fingerprint);
        }
    }
}

/// Makes the next call. A VM that does not read the store has nobody to tell.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.reports.open.is_some() || tables.reports.waiting.is_empty() || tables.is_handing() {
        return;
    }
    begin(tables, Step::Grant, Call::Grant { ttl: QUARANTINE_DURATION }, cx);
}

/// Takes the reply to a call of a report; returns it if it belongs to none.
pub fn collect(
    tables: &mut Tables,
    id: CallId,
    reply: Reply,
    cx: &mut Context<'_>,
) -> Option<Reply> {
    let Some((_, step)) = tables.reports.open.take_if(|(open, _)| *open == id) else {
        return Some(reply);
    };
    match (step, reply) {
        (Step::Grant, Reply::Leased { lease }) => write(tables, lease, cx),
        // A conflict tells that another VM was first.
        (Step::Write, Reply::Swapped { .. } | Reply::Conflict { .. }) => {
            tables.reports.waiting.pop_front();
        }
        (_, reply) => give_up(tables, &reply, cx),
    }
    None
}

fn begin(tables: &mut Tables, step: Step, call: Call, cx: &mut Context<'_>) {
    let id = tables.call_id();
    tables.reports.open = Some((id, step));
    cx.out.calls.push((id, call));
}

fn write(tables: &mut Tables, lease: LeaseId, cx: &mut Context<'_>) {
    let Some(fingerprint) = tables.reports.waiting.front() else { return };
    let call = Call::Swap {
        key: cx.format.held_key(*fingerprint),
        expect: None,
        value: tables.own.name.as_str().into(),
        lease: Some(lease),
    };
    begin(tables, Step::Write, call, cx);
}

fn give_up(tables: &mut Tables, reply: &Reply, cx: &mut Context<'_>) {
    let Some(fingerprint) = tables.reports.waiting.pop_front() else { return };
    let detail = match reply {
        Reply::Refused { detail } | Reply::Lost { detail } => detail.clone(),
        _ => "the reply does not fit the call".to_owned(),
    };
    let fields = vec![("fingerprint", fingerprint.to_string()), ("detail", detail)];
    cx.out.lines.push(Line::new(Event::ReportLost, fields));
}
