//! Checks whether the store answers.
//!
//! A watch whose answer was lost looks the same as one for which nothing changed. A VM
//! whose watch is overdue, or that hears of such a watch from another VM, therefore
//! reads a few entries: the reply shows that the store answers, and the number of its
//! newest change. While there is no reply, further reads are sent beside the open ones,
//! so that the VM learns within a second that the store is back.

use super::{
    availability::{mark_store_down, mark_store_up, retry_pause, set_current},
    confirm,
    context::Context,
    progress, role,
    table::{Purpose, Role, Tables},
};
use crate::{
    store::{Call, CallId, Position, Reply},
    time::Instant,
};

/// Starts a check at `at`, if none is running.
pub fn start(tables: &mut Tables, at: Instant) {
    tables.probe.get_or_insert_default().next_at = at;
}

/// Checks the store now because a watch may be silent; idle connections then are too.
pub fn doubt(tables: &mut Tables, cx: &mut Context<'_>) {
    cx.out.drop_idle = true;
    start(tables, cx.now);
}

/// Gives up a watch that the store did not answer in time, and checks the store.
pub fn give_up_overdue_watch(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.watch_due.is_none_or(|due| due > cx.now) {
        return;
    }
    tables.abandon_call();
    doubt(tables, cx);
    progress::announce_doubt(tables, cx);
}

/// Sends the next call of the check when it is due. Calls that are still open then mean
/// that the store is silent.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    let Some(probe) = tables.probe.as_ref().filter(|probe| probe.next_at <= cx.now) else { return };
    if !probe.open.is_empty() {
        let limit = cx.limits.answer_limit.as_millis();
        let detail = format!("check: no answer within {limit} ms");
        mark_store_down(tables, &detail, cx);
    }
    let pause = match tables.role {
        // Most of these VMs probe a store that answers nobody.
        Role::Handing => cx.limits.stale_delay,
        Role::Undecided | Role::Forwarding => retry_pause(tables, cx).max(cx.limits.answer_limit),
    };
    let id = tables.call_id();
    let Some(probe) = &mut tables.probe else { return };
    probe.open.insert(id);
    probe.next_at = cx.now + pause;
    let prefix = cx.format.vm_key(&tables.own.name);
    cx.out.calls.push((id, Call::Scan { prefix }));
}

/// Handles the reply to a call of the check. Returns the reply if it belongs to none.
pub fn handle_reply(
    tables: &mut Tables,
    id: CallId,
    reply: Reply,
    cx: &mut Context<'_>,
) -> Option<Reply> {
    let Some(probe) = &mut tables.probe else { return Some(reply) };
    if !probe.open.remove(&id) {
        return Some(reply);
    }
    let is_last = probe.open.is_empty();
    match reply {
        Reply::Entries { position, .. } => finish(tables, position, cx),
        Reply::Refused { detail } | Reply::Lost { detail } => {
            mark_store_down(tables, &format!("check: {detail}"), cx);
            if is_last {
                let at = cx.now + retry_pause(tables, cx);
                start(tables, at);
            }
        }
        _ => mark_store_down(tables, "check: unexpected type of reply", cx),
    }
    None
}

/// Ends the check: the store answers, and its newest change is at `position`.
fn finish(tables: &mut Tables, position: Position, cx: &mut Context<'_>) {
    mark_store_up(tables, cx);
    let is_complete = tables.reading.is_complete_at(position);
    if is_complete {
        confirm::record_own(tables, cx);
    }
    if tables.call.is_some() {
        // The open watch is silent if it does not deliver what the check has found. Another
        // check would find nothing else.
        progress::record_latest(tables, position, None, cx);
        confirm::rely_on_watch(tables, cx);
        return;
    }
    if is_complete {
        set_current(tables, true);
    }
    let after_scan = role::after_scan(tables);
    tables.next_purpose = is_complete.then_some(after_scan);
    tables.not_before = cx.now;
}

/// Checks the store because another VM doubts that it answers, and passes the doubt on.
pub fn take_up_doubt(tables: &mut Tables, cx: &mut Context<'_>) {
    let is_watching = matches!(tables.call, Some((_, Purpose::Watch)));
    if !is_watching || tables.probe.is_some() || tables.doubt_pause_until > cx.now {
        return;
    }
    doubt(tables, cx);
    progress::announce_doubt(tables, cx);
}
