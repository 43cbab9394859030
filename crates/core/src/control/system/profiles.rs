//! The document in force, which is learnt from the platform's service or from
//! other VMs, and only ever replaced by one of a higher revision.

use std::{sync::Arc, time::Duration};

use super::{gossip, reading, restore};
use crate::{
    control::{
        Record,
        codec::CURRENT_KEY,
        engine::Context,
        message::{Body, Digest, RevisionReport},
        table::{Origin, PeerRevision, Tables, age, age::Age},
    },
    log::{Event, Line},
    name::Name,
    profile::Document,
    store::{Entry, Position, Reply},
    time::Instant,
};

/// Handles the reply to a read or watch that was started at `made`.
pub fn handle_reply(tables: &mut Tables, cx: &mut Context<'_>, made: Instant, reply: Reply) {
    tables.profiles.call = None;
    let is_read = matches!(reply, Reply::Value { .. });
    let (entry, position) = match reply {
        Reply::Value { entry, position } => (entry, position),
        Reply::Changed { position, .. } if is_of_new_era(tables, position) => {
            // The changes before the position are not those that this VM has seen.
            tables.profiles.position = None;
            tables.profiles.next = cx.now;
            return;
        }
        Reply::Changed { entries, position, .. } => {
            (entries.into_iter().rev().find(|entry| entry.key == CURRENT_KEY), position)
        }
        _ => return failed(tables, cx),
    };
    let version = entry.as_ref().map(|entry| entry.version);
    let Ok(record) = entry.map(|entry| decode(cx, &entry)).transpose() else {
        return failed(tables, cx);
    };
    if let Some(record) = &record {
        apply_record(tables, cx, record);
    }
    if is_read || record.is_some() {
        let stored = record.as_ref().map(|record| record.document.clone());
        tables.in_force.stored = stored.unwrap_or_default();
        restore::compare(tables, cx, made, version, record);
    }
    tables.profiles.position = Some(position);
    tables.profiles.failures = 0;
    tables.profiles.next = cx.now + reading::profiles_delay(tables, cx.limits);
    confirm(tables, cx.now, made);
}

/// Whether a watch was answered in another era than that of the position from which this
/// VM continues, or this VM has left the era since the watch began.
fn is_of_new_era(tables: &Tables, position: Position) -> bool {
    tables.profiles.position.is_none_or(|after| after.era != position.era)
}

/// Forgets the position in an ended era, which says nothing about the changes of the
/// present one.
pub fn leave_era(tables: &mut Tables) {
    tables.profiles.position = None;
}

/// Records that the service was read at `made` and holds no higher revision.
fn confirm(tables: &mut Tables, now: Instant, made: Instant) {
    let age = Age::new(Duration::ZERO, made);
    tables.in_force.confirmed = age::younger(tables.in_force.confirmed, Some(age), now);
    mark_learnt(tables);
}

fn mark_learnt(tables: &mut Tables) {
    if !tables.own.learnt {
        tables.own.learnt = true;
        tables.view_changed = true;
    }
}

fn failed(tables: &mut Tables, cx: &Context<'_>) {
    tables.profiles.position = None;
    tables.profiles.failures += 1;
    let failures = tables.profiles.failures;
    tables.profiles.next = cx.now + reading::back_off(tables, cx, failures);
}

/// Decodes a stored record.
pub fn decode(cx: &Context<'_>, entry: &Entry) -> Result<Record, String> {
    cx.codec.decode(&entry.value)
}

/// Puts a document in force if its revision is higher than that of the current
/// one. Nothing else ever replaces the document.
pub fn apply(tables: &mut Tables, cx: &mut Context<'_>, document: Arc<Document>) {
    if document.revision <= tables.in_force.document.revision {
        return;
    }
    let fields = vec![("revision", document.revision.0.to_string())];
    cx.out.lines.push(Line::new(Event::RevisionApplied, fields));
    tables.in_force.document = document;
    tables.in_force.since = cx.now;
    tables.in_force.origin = None;
    tables.gossip.has_new = true;
    tables.view_changed = true;
}

/// Puts a document in force as [`apply`] does, and remembers its publication if it is
/// the one in force.
pub fn apply_record(tables: &mut Tables, cx: &mut Context<'_>, record: &Record) {
    apply(tables, cx, Arc::new(record.document.clone()));
    if record.document.revision == tables.in_force.document.revision {
        let Record { token, who, at, note, .. } = record.clone();
        tables.in_force.origin = Some(Origin { token, who, at, note });
    }
}

/// Sends the document in force to another VM.
pub fn send(tables: &mut Tables, cx: &mut Context<'_>, to: &Name) {
    let document = Arc::clone(&tables.in_force.document);
    gossip::send(tables, cx, to, Body::Document(document));
}

/// Compares the revision of another VM with that of this one: asks for a higher
/// one, and takes over the confirmation of an equal one.
pub fn compare(tables: &mut Tables, cx: &mut Context<'_>, from: &Name, digest: &Digest) {
    record_revision(tables, cx, from, digest);
    let own = tables.in_force.document.revision;
    if digest.revision > own {
        if cx.now >= tables.targets.next_document_request {
            tables.targets.next_document_request = cx.now + cx.limits.ack_timeout;
            gossip::send(tables, cx, from, Body::AskDocument);
        }
        return;
    }
    let Some(confirmed) = digest.confirmed else { return };
    if digest.revision == own {
        let age = Age::new(confirmed, cx.now);
        tables.in_force.confirmed = age::younger(tables.in_force.confirmed, Some(age), cx.now);
    }
    count_confirmation(tables, cx, from);
}

/// Counts the VMs whose confirmed revision is not above that of this VM, until
/// there are enough of them for this VM to count its revision as the highest.
fn count_confirmation(tables: &mut Tables, cx: &Context<'_>, from: &Name) {
    if tables.own.learnt {
        return;
    }
    tables.own.confirmed_by.insert(from.clone());
    let others = tables.vms.count() - 1;
    if tables.own.confirmed_by.len() >= cx.limits.required_confirmations.min(others.max(1)) {
        mark_learnt(tables);
    }
}

fn record_revision(tables: &mut Tables, cx: &Context<'_>, from: &Name, digest: &Digest) {
    let heard = Age::new(Duration::ZERO, cx.now);
    let row = PeerRevision { revision: digest.revision, heard, confirmed: digest.confirmed };
    tables.peer_revisions.insert(from.clone(), row);
}

/// Merges what another VM reports about the revisions in force. Only younger
/// reports replace those that are known.
pub fn merge_revisions(tables: &mut Tables, cx: &Context<'_>, reports: Vec<RevisionReport>) {
    for report in reports {
        let age = tables.peer_revisions.get(&report.vm).map(|known| known.heard.at(cx.now));
        let is_known = tables.vms.rows.contains_key(&report.vm);
        if is_known && age.is_none_or(|age| report.heard < age) {
            let heard = Age::new(report.heard, cx.now);
            let known =
                PeerRevision { revision: report.revision, heard, confirmed: report.confirmed };
            tables.peer_revisions.insert(report.vm, known);
        }
    }
}
