//! The document in force: learnt from the service or from other VMs, and only
//! ever replaced by one of a higher revision.

use std::{sync::Arc, time::Duration};

use super::{reading, spread};
use crate::{
    control::{
        Record,
        codec::CURRENT,
        engine::Step,
        message::{Body, Digest, Row},
        table::{Tables, Word, age, age::Age},
    },
    log::{Event, Line},
    name::Name,
    profile::Document,
    store::{Entry, Reply},
    time::Instant,
};

/// Takes the reply to a read that was made at `made`.
pub fn read(tables: &mut Tables, step: &mut Step<'_>, made: Instant, reply: Reply) {
    tables.profiles.call = None;
    let (entry, change) = match reply {
        Reply::Value { entry, change } => (entry, change),
        Reply::Changed { entries, change, .. } => {
            (entries.into_iter().rev().find(|entry| entry.key == CURRENT), change)
        }
        _ => return failed(tables, step),
    };
    if let Some(entry) = entry {
        match decode(step, &entry) {
            Ok(record) => apply(tables, step, Arc::new(record.document)),
            Err(_) => return failed(tables, step),
        }
    }
    tables.profiles.change = Some(change);
    tables.profiles.failures = 0;
    tables.profiles.next =
        step.now + reading::pause(tables, Duration::ZERO, step.limits.stale_after);
    confirm(tables, step.now, made);
}

/// Notes that the service was read at `made` and holds no higher revision.
fn confirm(tables: &mut Tables, now: Instant, made: Instant) {
    let age = Age::new(Duration::ZERO, made);
    tables.in_force.confirmed = age::younger(tables.in_force.confirmed, Some(age), now);
    learnt(tables);
}

fn learnt(tables: &mut Tables) {
    if !tables.own.learnt {
        tables.own.learnt = true;
        tables.changed = true;
    }
}

fn failed(tables: &mut Tables, step: &Step<'_>) {
    tables.profiles.change = None;
    tables.profiles.failures += 1;
    let failures = tables.profiles.failures;
    tables.profiles.next = step.now + reading::back_off(tables, step, failures);
}

/// Decodes a stored record.
pub fn decode(step: &Step<'_>, entry: &Entry) -> Result<Record, String> {
    step.codec.decode(&entry.value)
}

/// Puts a document in force if its revision is higher than that of the present
/// one. Nothing else ever replaces the document.
pub fn apply(tables: &mut Tables, step: &mut Step<'_>, document: Arc<Document>) {
    if document.revision <= tables.in_force.document.revision {
        return;
    }
    let fields = vec![("revision", document.revision.0.to_string())];
    step.out.lines.push(Line::new(Event::RevisionApplied, fields));
    tables.in_force.document = document;
    tables.gossip.fresh = true;
    tables.changed = true;
}

/// Sends the document in force.
pub fn tell(tables: &mut Tables, step: &mut Step<'_>, to: &Name) {
    let document = Arc::clone(&tables.in_force.document);
    spread::post(tables, step, to, Body::Document(document));
}

/// Compares the revision of another VM with the own one.
pub fn compare(tables: &mut Tables, step: &mut Step<'_>, from: &Name, digest: &Digest) {
    hear(tables, step, from, digest);
    let own = tables.in_force.document.revision;
    if digest.revision > own {
        if step.now >= tables.targets.ask_document {
            tables.targets.ask_document = step.now + step.limits.ack_timeout;
            spread::post(tables, step, from, Body::AskDocument);
        }
        return;
    }
    let Some(confirmed) = digest.confirmed else { return };
    if digest.revision == own {
        let age = Age::new(confirmed, step.now);
        tables.in_force.confirmed = age::younger(tables.in_force.confirmed, Some(age), step.now);
    }
    witness(tables, step, from);
}

/// Counts the VMs whose confirmed revision is not above the own one, until there
/// are enough of them.
fn witness(tables: &mut Tables, step: &Step<'_>, from: &Name) {
    if tables.own.learnt {
        return;
    }
    tables.own.witnesses.insert(from.clone());
    let others = tables.vms.count() - 1;
    if tables.own.witnesses.len() >= step.limits.required_confirmations.min(others.max(1)) {
        learnt(tables);
    }
}

fn hear(tables: &mut Tables, step: &Step<'_>, from: &Name, digest: &Digest) {
    let heard = Age::new(Duration::ZERO, step.now);
    let word = Word { revision: digest.revision, heard, confirmed: digest.confirmed };
    tables.words.insert(from.clone(), word);
}

/// Takes what another VM heard of the revisions in force.
pub fn rows(tables: &mut Tables, step: &Step<'_>, rows: Vec<Row>) {
    for row in rows {
        let age = tables.words.get(&row.vm).map(|word| word.heard.at(step.now));
        let known = tables.vms.rows.contains_key(&row.vm);
        if known && age.is_none_or(|age| row.heard < age) {
            let heard = Age::new(row.heard, step.now);
            let word = Word { revision: row.revision, heard, confirmed: row.confirmed };
            tables.words.insert(row.vm, word);
        }
    }
}
