//! The systems of the feed, in the order in which they run.

use std::sync::Arc;

use super::{
    Input,
    availability::{mark_store_down, mark_store_up, set_current},
    confirm,
    context::Context,
    departure,
    entry::{self, Origin},
    probe, progress, report, role,
    table::{Purpose, Role, Tables},
    watch,
};
use crate::{
    log::{Event, Line},
    store::{Call, CallId, Entry, Era, Outcome, Position, Reply},
};

/// The number of changes in a reply from which on the next watch is sent without a
/// pause: the store returns a long history in parts, so more changes are likely to
/// be waiting.
const LONG_HISTORY_CHANGES: usize = 30;

/// Handles the input and runs every system once.
pub fn run(tables: &mut Tables, input: Input, cx: &mut Context<'_>) {
    tables.started.get_or_insert(cx.now);
    for Outcome { id, era, reply } in input.outcomes {
        record_era(tables, era, cx);
        let reply = report::handle_reply(tables, id, reply, cx);
        let reply = reply.and_then(|reply| probe::handle_reply(tables, id, reply, cx));
        if let Some(reply) = reply {
            handle_reply(tables, id, reply, cx);
        }
    }
    role::update_reading(tables, input.reach, cx);
    report::enqueue(tables, input.quarantined);
    report::tell(tables, &input.suspicions, cx);
    for progress in input.progress {
        progress::receive(tables, progress, cx);
    }
    progress::rescan_if_behind(tables, cx);
    probe::give_up_overdue_watch(tables, cx);
    confirm::check_if_overdue(tables, cx);
    probe::run(tables, cx);
    progress::announce(tables, cx);
    entry::expire(tables, cx);
    start_call(tables, cx);
    report::start_next(tables, cx);
    publish(tables, cx);
}

/// Records the era that an answer of the store states. If it has begun a new one, what this
/// VM has read is in doubt.
fn record_era(tables: &mut Tables, era: Option<Era>, cx: &mut Context<'_>) {
    let Some(era) = era else { return };
    let Some(ended) = tables.reading.state_era(era) else { return };
    let own = tables.reading.position().unwrap_or_default();
    let fields = vec![
        ("era", era.0.to_string()),
        ("before", ended.0.to_string()),
        ("own", own.change.to_string()),
    ];
    cx.out.lines.push(Line::new(Event::StoreRestored, fields));
    entry::extend_missing(tables, cx);
    departure::begin_era(tables, cx);
    report::write_again(tables, cx);
    progress::leave_era(tables, cx);
}

/// Handles the reply to the call in flight; any other reply is dropped.
fn handle_reply(tables: &mut Tables, id: CallId, reply: Reply, cx: &mut Context<'_>) {
    let Some((_, purpose)) = tables.call.take_if(|(open, _)| *open == id) else { return };
    tables.watch_due = None;
    match (purpose, reply) {
        (Purpose::ListVms, Reply::Entries { entries, .. }) => {
            mark_store_up(tables, cx);
            entry::replace_vms(tables, &entries, cx);
            role::choose_role(tables, cx);
        }
        (Purpose::Scan, Reply::Entries { entries, position }) => {
            mark_store_up(tables, cx);
            finish_scan(tables, &entries, position, cx);
        }
        (Purpose::Register, Reply::Swapped { version }) => {
            mark_store_up(tables, cx);
            tables.own_entry = Some(version);
            tables.was_registered = true;
            tables.next_purpose = Some(Purpose::Watch);
        }
        (Purpose::Register, Reply::Conflict { current }) => {
            mark_store_up(tables, cx);
            // The reply to an earlier write was lost, or the entry is from an earlier start
            // and is replaced.
            let vm = current.as_ref().and_then(|entry| cx.format.vm(entry).ok());
            let is_own = vm.as_ref() == Some(&tables.own.vm);
            tables.own_entry = current.map(|entry| entry.version);
            tables.next_purpose = Some(if is_own { Purpose::Watch } else { Purpose::Register });
        }
        (Purpose::Watch, Reply::Changed { entries, removed, position }) => {
            mark_store_up(tables, cx);
            if tables.reading.advance(position) {
                apply_changes(tables, &entries, &removed, cx);
            } else {
                scan_again(tables);
            }
        }
        (Purpose::Watch, Reply::Outdated) => {
            mark_store_up(tables, cx);
            scan_again(tables);
        }
        (purpose, Reply::Refused { detail } | Reply::Lost { detail }) => {
            mark_store_down(tables, &format!("{}: {detail}", purpose.text()), cx);
        }
        (purpose, _) => {
            let detail = format!("{}: unexpected type of reply", purpose.text());
            mark_store_down(tables, &detail, cx);
        }
    }
}

/// Applies the result of a scan, unless it is of an era that is over.
fn finish_scan(tables: &mut Tables, entries: &[Entry], position: Position, cx: &mut Context<'_>) {
    log_scan(tables, position, entries.len(), cx);
    if !tables.reading.finish_scan(position, cx.now) {
        tables.next_purpose = Some(Purpose::Scan);
        tables.not_before = cx.now + cx.limits.first_pause;
        return;
    }
    entry::replace_all(tables, entries, cx);
    set_current(tables, true);
    confirm::record(tables, cx);
    role::continue_after_scan(tables, cx);
}

/// Applies the changes that a watch has delivered.
fn apply_changes(tables: &mut Tables, entries: &[Entry], removed: &[String], cx: &mut Context<'_>) {
    for changed in entries {
        entry::apply(tables, changed, Origin::Watch, cx);
    }
    for key in removed {
        entry::remove(tables, key, cx);
    }
    set_current(tables, true);
    tables.next_purpose = Some(Purpose::Watch);
    let changes = entries.len() + removed.len();
    tables.is_watch_quiet = changes == 0;
    if tables.is_watch_quiet {
        confirm::record_own(tables, cx);
    } else {
        confirm::record(tables, cx);
    }
    if (1..LONG_HISTORY_CHANGES).contains(&changes) {
        tables.not_before = cx.now + cx.limits.watch_gap;
    }
}

/// Logs up to where a scan has read, beside what this VM had read before.
fn log_scan(tables: &Tables, position: Position, entries: usize, cx: &mut Context<'_>) {
    let before = tables.reading.position().unwrap_or_default();
    let fields = vec![
        ("change", position.change.to_string()),
        ("era", position.era.0.to_string()),
        ("before", before.change.to_string()),
        ("before_era", before.era.0.to_string()),
        ("entries", entries.to_string()),
    ];
    cx.out.lines.push(Line::new(Event::StoreScanned, fields));
}

/// Ends a series of watches whose next changes are unknown until a scan.
fn scan_again(tables: &mut Tables) {
    set_current(tables, false);
    tables.next_purpose = Some(Purpose::Scan);
}

/// Starts the next call if it is due.
fn start_call(tables: &mut Tables, cx: &mut Context<'_>) {
    let is_calling = tables.call.is_some() || tables.probe.is_some();
    if is_calling || tables.not_before > cx.now || tables.is_handing() {
        return;
    }
    let first = if tables.role == Role::Undecided { Purpose::ListVms } else { Purpose::Scan };
    let purpose = tables.next_purpose.take().unwrap_or(first);
    let call = match purpose {
        Purpose::ListVms => Call::Peek { prefix: cx.format.vm_prefix().to_owned() },
        Purpose::Scan => Call::Scan { prefix: cx.format.watch_prefix().to_owned() },
        Purpose::Register => Call::Swap {
            key: cx.format.vm_key(&tables.own.name),
            expect: tables.own_entry,
            value: cx.format.write_vm(&tables.own.vm),
            lease: None,
        },
        Purpose::Watch => {
            confirm::rely_on_watch(tables, cx);
            let wait = watch::wait(tables, cx.limits);
            tables.watch_due = Some(cx.now + wait + cx.limits.answer_limit);
            let prefix = cx.format.watch_prefix().to_owned();
            Call::Watch { prefix, after: tables.reading.position().unwrap_or_default(), wait }
        }
    };
    let id = tables.call_id();
    tables.call = Some((id, purpose));
    cx.out.calls.push((id, call));
}

/// Publishes the view to the traffic threads if it changed.
fn publish(tables: &mut Tables, cx: &mut Context<'_>) {
    if std::mem::replace(&mut tables.is_changed, false) {
        tables.view.larger = role::larger_vms(tables);
        cx.out.view = Some(Arc::new(tables.view.clone()));
    }
}
