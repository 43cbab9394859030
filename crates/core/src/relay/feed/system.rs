//! The systems of the feed, in the order in which they run.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::{RngExt, rngs::StdRng};

use super::{
    Format, Input, Limits, Outbox, Subject, confirm, departure, probe, progress, report, role,
    table::{Purpose, Role, Store, Tables},
    watch,
};
use crate::{
    digest::Fingerprint,
    log::{Event, Line},
    name::Name,
    relay::view::Target,
    store::{Call, CallId, Entry, Era, Outcome, Position, Reply},
    time::Instant,
};

/// The number of changes in a reply from which on the next watch is sent without a
/// pause: the store returns a long history in parts, so more changes are likely to
/// be waiting.
const LONG_HISTORY_CHANGES: usize = 30;

/// The most unreadable entries that are logged; another writer may leave any number.
const MAX_UNREADABLE: usize = 1000;

/// The arguments that all systems share.
pub struct Context<'a> {
    pub now: Instant,
    pub limits: &'a Limits,
    pub format: &'a dyn Format,
    pub random: &'a mut StdRng,
    pub out: &'a mut Outbox,
}

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
    expire(tables, cx);
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
    tables.lapse_until = cx.now + cx.limits.lapse_grace;
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
            replace_vms(tables, &entries, cx);
            role::choose_role(tables, cx);
        }
        (Purpose::Scan, Reply::Entries { entries, position }) => {
            mark_store_up(tables, cx);
            log_scan(tables, position, entries.len(), cx);
            if tables.reading.accepts_scan(position) {
                replace_all(tables, &entries, cx);
                set_current(tables, true);
                tables.reading.finish_scan(position, cx.now);
                confirm::record(tables, cx);
                role::continue_after_scan(tables, cx);
            } else {
                // The answer was under way while the store began the current era.
                tables.next_purpose = Some(Purpose::Scan);
                tables.not_before = cx.now + cx.limits.first_pause;
            }
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
            if !tables.reading.advance(position) {
                return scan_again(tables);
            }
            for entry in &entries {
                apply(tables, entry, Origin::Watch, cx);
            }
            for key in &removed {
                remove(tables, key, cx);
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

/// Sets whether the view is current, that is, has the newest state of the store.
pub fn set_current(tables: &mut Tables, is_current: bool) {
    tables.is_changed |= std::mem::replace(&mut tables.view.is_current, is_current) != is_current;
}

/// Records that the store answers.
pub fn mark_store_up(tables: &mut Tables, cx: &mut Context<'_>) {
    tables.probe = None;
    if let Store::Down { failures } = std::mem::take(&mut tables.store) {
        tables.lapse_until = cx.now + cx.limits.lapse_grace;
        let fields = vec![("failures", failures.to_string())];
        cx.out.lines.push(Line::new(Event::StoreUp, fields));
    }
}

/// Records that a call failed or was not answered, and probes the store until it
/// answers. What to read then depends on the changes that this VM has missed.
pub fn mark_store_down(tables: &mut Tables, detail: &str, cx: &mut Context<'_>) {
    tables.abandon_call();
    set_current(tables, false);
    match &mut tables.store {
        Store::Down { failures } => *failures = failures.saturating_add(1),
        Store::Up => {
            let fields = vec![("detail", detail.to_owned())];
            cx.out.lines.push(Line::new(Event::StoreDown, fields));
            tables.store = Store::Down { failures: 1 };
            progress::announce_doubt(tables, cx);
        }
    }
    if tables.probe.is_none() {
        let at = cx.now + retry_pause(tables, cx);
        probe::start(tables, at);
    }
}

/// Returns the pause after the failures in a row so far. It doubles with each failure
/// up to the limit, and half of it is random.
pub fn retry_pause(tables: &Tables, cx: &mut Context<'_>) -> Duration {
    let failures = if let Store::Down { failures } = tables.store { failures } else { 0 };
    let doublings = failures.saturating_sub(1).min(16);
    let span = cx.limits.first_pause.saturating_mul(1 << doublings).min(cx.limits.longest_pause);
    span.mul_f64(0.5 + 0.5 * cx.random.random::<f64>())
}

/// Where an entry was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Origin {
    /// In a scan; it may have been written in an earlier era.
    Scan,
    /// In a watch, so that it was written in this era.
    Watch,
}

/// Applies an entry that was read.
fn apply(tables: &mut Tables, entry: &Entry, origin: Origin, cx: &mut Context<'_>) {
    match cx.format.subject(&entry.key) {
        Subject::Config => apply_config(tables, entry, cx),
        Subject::Target(id) => apply_target(tables, &id, entry, origin, cx),
        Subject::Vm(name) => apply_vm(tables, name, entry, cx),
        Subject::Quarantined(request) => {
            tables.missing_requests.remove(&request);
            tables.is_changed |= tables.view.quarantined.insert(request);
        }
        Subject::Other => {}
    }
}

/// Applies a configuration if it is newer than the current one.
fn apply_config(tables: &mut Tables, entry: &Entry, cx: &mut Context<'_>) {
    let config = match cx.format.config(entry) {
        Ok(config) => config,
        Err(detail) => return log_unreadable(tables, Event::RoutesUnreadable, entry, detail, cx),
    };
    let known = tables.view.config.as_ref().map(|config| config.version);
    if known.is_some_and(|known| known >= config.version) {
        return;
    }
    let fields = vec![
        ("version", config.version.to_string()),
        ("before", known.unwrap_or_default().to_string()),
    ];
    cx.out.lines.push(Line::new(Event::RoutesApplied, fields));
    tables.view.config = Some(Arc::new(config));
    tables.is_changed = true;
}

/// Logs an entry that cannot be read, once for each version of it.
fn log_unreadable(
    tables: &mut Tables,
    event: Event,
    entry: &Entry,
    detail: String,
    cx: &mut Context<'_>,
) {
    let is_full = tables.unreadable.len() >= MAX_UNREADABLE;
    if is_full && !tables.unreadable.contains_key(&entry.key) {
        return;
    }
    if tables.unreadable.insert(entry.key.clone(), entry.version) != Some(entry.version) {
        let fields = vec![("key", entry.key.clone()), ("detail", detail)];
        cx.out.lines.push(Line::new(event, fields));
    }
}

/// Applies the registration of a target. One that cannot be read names no target, so a
/// target that had the entry before is missing.
fn apply_target(
    tables: &mut Tables,
    id: &Name,
    entry: &Entry,
    origin: Origin,
    cx: &mut Context<'_>,
) {
    let target = match cx.format.target(entry) {
        Ok(target) => target,
        Err(detail) => {
            log_unreadable(tables, Event::TargetUnreadable, entry, detail, cx);
            mark_missing(tables, id.clone(), cx);
            return;
        }
    };
    match origin {
        Origin::Scan if departure::hold_back(tables, id, &target, cx) => return,
        Origin::Scan => {}
        Origin::Watch => departure::forget(tables, id),
    }
    list_target(tables, id, Arc::new(target), cx);
}

/// Lists a target, or replaces its registration.
fn list_target(tables: &mut Tables, id: &Name, target: Arc<Target>, cx: &mut Context<'_>) {
    tables.missing.remove(id);
    let old = tables.view.targets.get(id);
    if old == Some(&target) {
        return;
    }
    if old.is_none() {
        let fields = vec![
            ("target", id.to_string()),
            ("service", target.service.to_string()),
            ("address", target.address.to_string()),
        ];
        cx.out.lines.push(Line::new(Event::TargetListed, fields));
    }
    tables.view.targets.insert(id.clone(), target);
    tables.is_changed = true;
}

/// Applies the entry of a VM. If it cannot be read, a VM that is known by it stays, as
/// otherwise the others would take its part of the retry budgets.
fn apply_vm(tables: &mut Tables, name: Name, entry: &Entry, cx: &mut Context<'_>) {
    let vm = match cx.format.vm(entry) {
        Ok(vm) => vm,
        Err(detail) => return log_unreadable(tables, Event::VmUnreadable, entry, detail, cx),
    };
    if name == tables.own.name && vm == tables.own.vm {
        tables.own_entry = Some(entry.version);
        tables.was_registered = true;
    }
    if tables.view.vms.get(&name) != Some(&vm) {
        tables.view.vms.insert(name, vm);
        tables.is_changed = true;
    }
}

/// Applies the entries of all VMs.
fn replace_vms(tables: &mut Tables, entries: &[Entry], cx: &mut Context<'_>) {
    for entry in entries {
        if let Subject::Vm(name) = cx.format.subject(&entry.key) {
            apply_vm(tables, name, entry, cx);
        }
    }
}

/// Applies the result of a scan, and marks the targets that it lacks as missing.
fn replace_all(tables: &mut Tables, entries: &[Entry], cx: &mut Context<'_>) {
    let mut listed = BTreeSet::new();
    tables.own_entry = None;
    let mut quarantined = BTreeSet::new();
    for entry in entries {
        apply(tables, entry, Origin::Scan, cx);
        match cx.format.subject(&entry.key) {
            Subject::Target(id) => drop(listed.insert(id)),
            Subject::Quarantined(request) => drop(quarantined.insert(request)),
            Subject::Config | Subject::Vm(_) | Subject::Other => {}
        }
    }
    let keys: BTreeSet<&str> = entries.iter().map(|entry| &*entry.key).collect();
    tables.unreadable.retain(|key, _| keys.contains(&**key));
    let known: Vec<Name> = tables.view.targets.keys().cloned().collect();
    for id in known.into_iter().filter(|id| !listed.contains(id)) {
        mark_missing(tables, id, cx);
    }
    for request in tables.view.quarantined.difference(&quarantined) {
        let released_at = tables.lapse_until.max(cx.now);
        tables.missing_requests.entry(*request).or_insert(released_at);
    }
}

fn remove(tables: &mut Tables, key: &str, cx: &mut Context<'_>) {
    tables.unreadable.remove(key);
    match cx.format.subject(key) {
        Subject::Target(id) => {
            departure::forget(tables, &id);
            mark_missing(tables, id, cx);
        }
        Subject::Vm(name) => {
            tables.is_changed |= tables.view.vms.remove(&name).is_some();
        }
        Subject::Quarantined(request) => release(tables, &request),
        Subject::Config | Subject::Other => {}
    }
}

/// Records that the entry of a target is missing. Entries lapse while the store is
/// unavailable, and are lost when it comes back from an older copy. Targets write them again
/// when they reach it.
fn mark_missing(tables: &mut Tables, id: Name, cx: &mut Context<'_>) {
    if tables.view.targets.contains_key(&id) {
        let gone_at = tables.lapse_until.max(cx.now);
        tables.missing.entry(id).or_insert(gone_at);
    }
}

/// Ends the quarantine of a request as another VM reported it.
fn release(tables: &mut Tables, request: &Fingerprint) {
    tables.missing_requests.remove(request);
    tables.is_changed |= tables.view.quarantined.remove(request);
}

/// Removes the targets and the quarantines whose entries were not written again in time.
fn expire(tables: &mut Tables, cx: &mut Context<'_>) {
    for (id, target) in departure::take_due(tables, cx) {
        list_target(tables, &id, target, cx);
    }
    let due = tables.missing_requests.iter().filter(|(_, at)| **at <= cx.now);
    let due: Vec<Fingerprint> = due.map(|(request, _)| *request).collect();
    due.iter().for_each(|request| release(tables, request));
    let gone: Vec<Name> =
        tables.missing.iter().filter(|(_, at)| **at <= cx.now).map(|(id, _)| id.clone()).collect();
    for id in gone {
        tables.missing.remove(&id);
        if let Some(target) = tables.view.targets.remove(&id) {
            departure::record(tables, &id, &target, cx);
        }
        tables.is_changed = true;
        let fields = vec![("target", id.to_string())];
        cx.out.lines.push(Line::new(Event::TargetUnlisted, fields));
    }
}

/// Starts the next call if it is due.
fn start_call(tables: &mut Tables, cx: &mut Context<'_>) {
    let is_calling = tables.call.is_some() || tables.probe.is_some();
    if is_calling || tables.not_before > cx.now || tables.is_handing() {
        return;
    }
    let first = if tables.role == Role::Undecided { Purpose::ListVms } else { Purpose::Scan };
    let purpose = match tables.next_purpose.take().unwrap_or(first) {
        // A watch cannot continue an era that is over.
        Purpose::Watch if tables.reading.is_ended() => Purpose::Scan,
        purpose => purpose,
    };
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
