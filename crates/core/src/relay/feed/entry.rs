//! Applies entries of the store to the view, and removes what is gone.

use std::{collections::BTreeSet, sync::Arc};

use super::{
    Subject,
    context::Context,
    departure,
    table::{Store, Tables},
};
use crate::{
    digest::Fingerprint,
    log::{Event, Line},
    name::Name,
    relay::view::Target,
    store::Entry,
};

/// The most unreadable entries that are logged; another writer may leave any number.
const MAX_UNREADABLE: usize = 1000;

/// Where an entry was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// In a scan; it may have been written in an earlier era.
    Scan,
    /// In a watch, so that it was written in this era.
    Watch,
}

/// Applies an entry that was read.
pub fn apply(tables: &mut Tables, entry: &Entry, origin: Origin, cx: &mut Context<'_>) {
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
pub fn replace_vms(tables: &mut Tables, entries: &[Entry], cx: &mut Context<'_>) {
    for entry in entries {
        if let Subject::Vm(name) = cx.format.subject(&entry.key) {
            apply_vm(tables, name, entry, cx);
        }
    }
}

/// Applies the result of a scan, and marks the targets that it lacks as missing.
pub fn replace_all(tables: &mut Tables, entries: &[Entry], cx: &mut Context<'_>) {
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

pub fn remove(tables: &mut Tables, key: &str, cx: &mut Context<'_>) {
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

/// Gives what is missing the time again in which it may be written anew, because the store is
/// back or has lost changes.
pub fn extend_missing(tables: &mut Tables, cx: &Context<'_>) {
    tables.lapse_until = cx.now + cx.limits.lapse_grace;
    let until = tables.lapse_until;
    let missing = tables.missing.values_mut().chain(tables.missing_requests.values_mut());
    missing.for_each(|at| *at = until.max(*at));
}

/// Ends the quarantine of a request as another VM reported it.
fn release(tables: &mut Tables, request: &Fingerprint) {
    tables.missing_requests.remove(request);
    tables.is_changed |= tables.view.quarantined.remove(request);
}

/// Removes the targets and the quarantines whose entries were not written again in time.
/// While the store is away, nobody can say that they were.
pub fn expire(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.store != Store::Up {
        return;
    }
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
