//! Writes the document in force again if the platform's service has lost it.
//!
//! A document comes into force only after the service has stored it. A read that began
//! later and shows a lower revision therefore proves that the service came back from an
//! older copy. The watchers then write the document again, each after a random time; the
//! compare-and-swap lets one of them do so. If the service holds another document under the
//! revision in force, that one was published after the loss, and gets the next revision. See
//! `docs/design/publication.md`.

use std::time::Duration;

use rand::RngExt;

use super::call;
use crate::{
    control::{
        Record,
        codec::{CURRENT_KEY, history_key},
        engine::Context,
        table::{
            Origin, Tables,
            call::Purpose,
            restore::{Restore, Step},
        },
    },
    log::{Event, Line},
    profile::{Document, Revision},
    store::{Call, Reply, Version},
    time::Instant,
};

/// The longest time after which a watcher writes a lost document again.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// The additional time for a watcher that does not know who published the document, so
/// that one that does goes first.
const ORIGIN_DELAY: Duration = Duration::from_secs(2);

/// Compares what the service held at a read that began at `made` with the document in
/// force.
pub fn compare(
    tables: &mut Tables,
    cx: &Context<'_>,
    made: Instant,
    version: Option<Version>,
    base: Option<Record>,
) {
    let stored = base.as_ref().map_or(Revision::default(), |base| base.document.revision);
    let is_disputed = base.as_ref().is_some_and(|base| tables.in_force.is_disputed(&base.document));
    if stored >= tables.in_force.document.revision && !is_disputed {
        tables.restore = None;
        return;
    }
    let is_lost = made > tables.in_force.since && tables.vms.watcher;
    let is_known = tables.restore.as_ref().is_some_and(|row| row.version == version);
    if !is_lost || is_known {
        return;
    }
    let delay = MAX_DELAY.mul_f64(tables.rng.random_range(0.0..1.0));
    let origin_delay = if tables.in_force.origin.is_some() { Duration::ZERO } else { ORIGIN_DELAY };
    let step = if base.is_some() { Step::Archive } else { Step::Swap };
    let next = cx.now + delay + origin_delay;
    tables.restore = Some(Restore { step, next, call: None, version, base });
}

/// When the next step is due; `None` while there is none or a call is under way.
pub fn due(tables: &Tables) -> Option<Instant> {
    let row = tables.restore.as_ref()?;
    row.call.is_none().then_some(row.next)
}

/// Makes the call of the step that is due.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    if due(tables).is_none_or(|at| at > cx.now) {
        return;
    }
    let Some(mut row) = tables.restore.take() else { return };
    let call = match (row.step, &row.base) {
        (Step::Archive, Some(base)) => swap(cx, history_key(base.document.revision.0), None, base),
        (_, Some(base)) if tables.in_force.is_disputed(&base.document) => {
            swap(cx, CURRENT_KEY.to_owned(), row.version, &next_of(base))
        }
        _ => swap(cx, CURRENT_KEY.to_owned(), row.version, &in_force(tables, cx)),
    };
    row.call = Some(call::make(tables, cx, Purpose::Restore, call, Duration::ZERO));
    tables.restore = Some(row);
}

fn swap(cx: &Context<'_>, key: String, expect: Option<Version>, record: &Record) -> Call {
    Call::Swap { key, expect, value: cx.codec.encode(record), lease: None }
}

/// The record that puts the document of `base` in force under the next revision, with the
/// same token and audit. The one in force here was published before, as the service has
/// lost it.
fn next_of(base: &Record) -> Record {
    let mut record = base.clone();
    record.document.revision.0 += 1;
    record
}

/// The record of the document in force. The audit is empty if this VM does not know it.
fn in_force(tables: &Tables, cx: &Context<'_>) -> Record {
    let document = Document::clone(&tables.in_force.document);
    match tables.in_force.origin.clone() {
        Some(Origin { token, who, at, note }) => Record { document, token, who, at, note },
        None => Record {
            document,
            token: uuid::Uuid::nil(),
            who: String::new(),
            at: cx.wall,
            note: "written again after a loss".to_owned(),
        },
    }
}

/// Handles the reply to the call of a step. After the last one, and after any failure,
/// the service is read again, which shows what it holds.
pub fn handle_reply(tables: &mut Tables, cx: &mut Context<'_>, reply: &Reply) {
    let Some(mut row) = tables.restore.take() else { return };
    row.call = None;
    match (row.step, reply) {
        (Step::Archive, Reply::Swapped { .. } | Reply::Conflict { .. }) => {
            row.step = Step::Swap;
            row.next = cx.now;
            tables.restore = Some(row);
            return;
        }
        (Step::Swap, Reply::Swapped { .. }) => {
            let revision = tables.in_force.document.revision.0.to_string();
            cx.out.lines.push(Line::new(Event::RevisionRestored, vec![("revision", revision)]));
        }
        _ => {}
    }
    tables.profiles.position = None;
}
