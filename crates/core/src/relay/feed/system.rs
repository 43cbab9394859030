//! The systems of the feed, in the order in which they run.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use rand::{RngExt, rngs::StdRng};

use super::{
    Format, Input, Limits, Outbox, Subject, part, progress, report,
    table::{Part, Purpose, Store, Tables},
};
use crate::{
    log::{Event, Line},
    name::Name,
    store::{Call, CallId, Entry, Reply},
    time::Instant,
};

/// The number of changes in one reply from which on more are likely to follow at
/// once: the store gives a long history in parts.
const MANY: usize = 30;

/// What every system works with.
pub struct Context<'a> {
    /// Now.
    pub now: Instant,
    /// The times.
    pub limits: &'a Limits,
    /// How entries are read.
    pub format: &'a dyn Format,
    /// The source of randomness.
    pub random: &'a mut StdRng,
    /// What is to be done.
    pub out: &'a mut Outbox,
}

/// Runs every system once.
pub fn run(tables: &mut Tables, input: Input, cx: &mut Context<'_>) {
    tables.started.get_or_insert(cx.now);
    for (id, reply) in input.replies {
        if let Some(reply) = report::collect(tables, id, reply, cx) {
            collect(tables, id, reply, cx);
        }
    }
    report::take(tables, input.held);
    for heard in input.progress {
        progress::hear(tables, heard, cx);
    }
    progress::check(tables, cx);
    progress::tell(tables, cx);
    expire(tables, cx);
    call(tables, cx);
    report::run(tables, cx);
    publish(tables, cx);
}

/// Takes the reply to the call that is under way.
fn collect(tables: &mut Tables, id: CallId, reply: Reply, cx: &mut Context<'_>) {
    let Some((_, purpose)) = tables.call.take_if(|(open, _)| *open == id) else { return };
    match (purpose, reply) {
        (Purpose::Vms, Reply::Entries { entries, .. }) => {
            answered(tables, cx);
            replace_vms(tables, &entries, cx);
            part::decide(tables, cx);
        }
        (Purpose::All, Reply::Entries { entries, change }) => {
            answered(tables, cx);
            replace_all(tables, &entries, cx);
            set_current(tables, true);
            tables.change = Some(change);
            tables.next = Some(part::after_reading(tables));
        }
        (Purpose::Entry, Reply::Swapped { version }) => {
            answered(tables, cx);
            tables.entered = Some(version);
            tables.next = Some(Purpose::Watch);
        }
        (Purpose::Entry, Reply::Conflict { current }) => {
            // An answer that was lost, or an entry of an earlier start.
            answered(tables, cx);
            tables.entered = current.map(|entry| entry.version);
            tables.next = Some(Purpose::Watch);
        }
        (Purpose::Entry, Reply::Refused { detail } | Reply::Lost { detail }) => {
            // The others count one VM less until the next start.
            failed(tables, Purpose::Watch, &detail, cx);
        }
        (Purpose::Watch, Reply::Changed { entries, removed, change }) => {
            answered(tables, cx);
            for entry in &entries {
                apply(tables, entry, cx);
            }
            for key in &removed {
                remove(tables, key, cx);
            }
            set_current(tables, true);
            tables.change = tables.change.max(Some(change));
            tables.next = Some(Purpose::Watch);
            let changes = entries.len() + removed.len();
            if (1..MANY).contains(&changes) {
                tables.not_before = cx.now + cx.limits.watch_gap;
            }
        }
        (Purpose::Watch, Reply::Outdated) => {
            answered(tables, cx);
            // What changed since is not known before everything is read again.
            set_current(tables, false);
            tables.next = Some(Purpose::All);
        }
        (_, Reply::Refused { detail } | Reply::Lost { detail }) => {
            failed(tables, purpose, &detail, cx);
        }
        (_, _) => failed(tables, purpose, "the reply does not fit the call", cx),
    }
}

/// Notes whether what is known is the newest that the store has.
pub fn set_current(tables: &mut Tables, is_current: bool) {
    tables.is_changed |= std::mem::replace(&mut tables.view.is_current, is_current) != is_current;
}

/// Notes that the store answers.
fn answered(tables: &mut Tables, cx: &mut Context<'_>) {
    if let Store::Down { failures } = std::mem::take(&mut tables.store) {
        tables.lapse_until = cx.now + cx.limits.lapse_grace;
        let fields = vec![("failures", failures.to_string())];
        cx.out.lines.push(Line::new(Event::StoreUp, fields));
    }
}

/// Plans to call the store again after a pause.
fn failed(tables: &mut Tables, purpose: Purpose, detail: &str, cx: &mut Context<'_>) {
    let failures = match tables.store {
        Store::Up => {
            let fields = vec![("detail", detail.to_owned())];
            cx.out.lines.push(Line::new(Event::StoreDown, fields));
            1
        }
        Store::Down { failures } => failures.saturating_add(1),
    };
    set_current(tables, false);
    tables.store = Store::Down { failures };
    // A watch would give what was missed in parts, the oldest first.
    tables.next = Some(if purpose == Purpose::Watch { Purpose::All } else { purpose });
    tables.not_before = cx.now + pause(failures, cx);
}

/// The pause before a call after a number of failures, half of it random.
fn pause(failures: u32, cx: &mut Context<'_>) -> Duration {
    let doublings = failures.saturating_sub(1).min(16);
    let span = cx.limits.first_pause.saturating_mul(1 << doublings).min(cx.limits.longest_pause);
    span.mul_f64(0.5 + 0.5 * cx.random.random::<f64>())
}

/// Takes an entry that was written.
fn apply(tables: &mut Tables, entry: &Entry, cx: &mut Context<'_>) {
    tables.latest = tables.latest.max(entry.version.0);
    match cx.format.subject(&entry.key) {
        Subject::Config => apply_config(tables, entry, cx),
        Subject::Target(id) => apply_target(tables, &id, entry, cx),
        Subject::Vm(name) => apply_vm(tables, name, entry, cx),
        Subject::Held(request) => tables.is_changed |= tables.view.held.insert(request),
        Subject::Other => {}
    }
}

/// Takes a configuration, if it is newer than the one that is known.
fn apply_config(tables: &mut Tables, entry: &Entry, cx: &mut Context<'_>) {
    let config = match cx.format.config(entry) {
        Ok(config) => config,
        Err(detail) => {
            let fields = vec![("key", entry.key.clone()), ("detail", detail)];
            cx.out.lines.push(Line::new(Event::RoutesUnreadable, fields));
            return;
        }
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

fn apply_target(tables: &mut Tables, id: &Name, entry: &Entry, cx: &mut Context<'_>) {
    let target = match cx.format.target(entry) {
        Ok(target) => target,
        Err(detail) => {
            let fields = vec![("key", entry.key.clone()), ("detail", detail)];
            cx.out.lines.push(Line::new(Event::TargetUnreadable, fields));
            return;
        }
    };
    tables.missing.remove(id);
    let old = tables.view.targets.get(id);
    if old.is_some_and(|old| **old == target) {
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
    tables.view.targets.insert(id.clone(), Arc::new(target));
    tables.is_changed = true;
}

/// Takes the entry of a VM.
fn apply_vm(tables: &mut Tables, name: Name, entry: &Entry, cx: &mut Context<'_>) {
    let vm = match cx.format.vm(entry) {
        Ok(vm) => vm,
        Err(detail) => {
            let fields = vec![("key", entry.key.clone()), ("detail", detail)];
            cx.out.lines.push(Line::new(Event::VmUnreadable, fields));
            return;
        }
    };
    if name == tables.own.name && vm == tables.own.vm {
        tables.entered = Some(entry.version);
    }
    if tables.view.vms.get(&name) != Some(&vm) {
        tables.view.vms.insert(name, vm);
        tables.is_changed = true;
    }
}

/// Takes the whole list of VMs.
fn replace_vms(tables: &mut Tables, entries: &[Entry], cx: &mut Context<'_>) {
    for entry in entries {
        if let Subject::Vm(name) = cx.format.subject(&entry.key) {
            apply_vm(tables, name, entry, cx);
        }
    }
}

/// Takes everything that there is.
fn replace_all(tables: &mut Tables, entries: &[Entry], cx: &mut Context<'_>) {
    let mut listed = BTreeSet::new();
    tables.is_changed |= !tables.view.held.is_empty();
    tables.view.held.clear();
    for entry in entries {
        apply(tables, entry, cx);
        if let Subject::Target(id) = cx.format.subject(&entry.key) {
            listed.insert(id);
        }
    }
    let known: Vec<Name> = tables.view.targets.keys().cloned().collect();
    for id in known.into_iter().filter(|id| !listed.contains(id)) {
        miss(tables, id, cx);
    }
}

fn remove(tables: &mut Tables, key: &str, cx: &mut Context<'_>) {
    match cx.format.subject(key) {
        Subject::Target(id) => miss(tables, id, cx),
        Subject::Vm(name) => {
            tables.is_changed |= tables.view.vms.remove(&name).is_some();
        }
        Subject::Held(request) => tables.is_changed |= tables.view.held.remove(&request),
        Subject::Config | Subject::Other => {}
    }
}

/// Notes that the entry of a target is missing. Entries lapse while the store
/// is away, and come back when their targets reach it again.
fn miss(tables: &mut Tables, id: Name, cx: &mut Context<'_>) {
    if tables.view.targets.contains_key(&id) {
        let gone_at = tables.lapse_until.max(cx.now);
        tables.missing.entry(id).or_insert(gone_at);
    }
}

/// Takes out the targets whose entries did not come back.
fn expire(tables: &mut Tables, cx: &mut Context<'_>) {
    let gone: Vec<Name> =
        tables.missing.iter().filter(|(_, at)| **at <= cx.now).map(|(id, _)| id.clone()).collect();
    for id in gone {
        tables.missing.remove(&id);
        tables.view.targets.remove(&id);
        tables.is_changed = true;
        let fields = vec![("target", id.to_string())];
        cx.out.lines.push(Line::new(Event::TargetUnlisted, fields));
    }
}

/// Makes the next call, when it is due.
fn call(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.call.is_some() || tables.not_before > cx.now || tables.is_handing() {
        return;
    }
    let first = if tables.part == Part::Open { Purpose::Vms } else { Purpose::All };
    let purpose = tables.next.take().unwrap_or(first);
    let call = match purpose {
        Purpose::Vms => Call::Peek { prefix: cx.format.vm_prefix().to_owned() },
        Purpose::All => Call::Scan { prefix: cx.format.watch_prefix().to_owned() },
        Purpose::Entry => Call::Swap {
            key: cx.format.vm_key(&tables.own.name),
            expect: tables.entered,
            value: cx.format.write_vm(&tables.own.vm),
            lease: None,
        },
        Purpose::Watch => Call::Watch {
            prefix: cx.format.watch_prefix().to_owned(),
            after: tables.change.unwrap_or_default(),
            wait: cx.limits.watch_wait,
        },
    };
    let id = tables.call_id();
    tables.call = Some((id, purpose));
    cx.out.calls.push((id, call));
}

/// Tells the traffic threads what has changed.
fn publish(tables: &mut Tables, cx: &mut Context<'_>) {
    if std::mem::replace(&mut tables.is_changed, false) {
        tables.view.larger = part::larger(tables);
        cx.out.view = Some(Arc::new(tables.view.clone()));
    }
}
