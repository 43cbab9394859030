//! The outcome of a publication: accepted, lost, or not settled; never a guess.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    call, profiles,
    publish::{Next, changes, revision},
};
use crate::{
    control::{
        Answer, Record, Request,
        codec::history,
        engine::Step,
        request::{Audit, difference},
        table::{
            Tables,
            call::Purpose,
            publication::{Publication, Stage},
        },
    },
    fault::{Fault, Kind},
    log::{Event, Line},
    name::Name,
    profile::Profile,
    store::{Call, Entry},
};

/// The publication is in force, or was: puts it in force here as well.
pub fn accepted(tables: &mut Tables, step: &mut Step<'_>, row: &Publication) -> Next {
    let Some(offer) = &row.offer else { return Next::Again };
    profiles::apply(tables, step, Arc::new(offer.document.clone()));
    let revision = offer.document.revision;
    let fields = vec![("revision", revision.0.to_string()), ("who", offer.who.clone())];
    step.out.lines.push(Line::new(Event::RevisionPublished, fields));
    if let Some(old) = revision.0.checked_sub(step.limits.max_history + 1) {
        let call = Call::Get { key: history(old) };
        call::make(tables, step, Purpose::Find, call, Duration::ZERO);
    }
    Next::Done(Answer::Accepted { revision, changes: changes(row, &offer.document.profiles) })
}

/// Judges a publication by what the service holds now.
///
/// The own token settles it. Another one settles it as well if no answer to the
/// own write was lost. Otherwise the own write may have been in force and
/// replaced since, which the history shows, or, as long as the version that it
/// expects is unchanged, may still take effect, which a fence rules out.
pub fn judge(tables: &mut Tables, step: &mut Step<'_>, row: &mut Publication) -> Next {
    let Some(token) = row.token else { return Next::Again };
    if row.base.as_ref().is_some_and(|base| base.token == token.id) {
        return confirmed(tables, step, row);
    }
    let current = revision(row);
    if let Some(base) = &row.base {
        profiles::apply(tables, step, Arc::new(base.document.clone()));
    }
    if current <= token.base && matches!(row.request, Request::Settle { .. }) {
        return Next::Step(Stage::Fence);
    }
    if row.lost && current > token.revision {
        return Next::Step(Stage::Trace);
    }
    Next::Done(lost(step, row))
}

/// The service holds the own publication.
fn confirmed(tables: &mut Tables, step: &mut Step<'_>, row: &mut Publication) -> Next {
    if row.offer.is_none() {
        row.offer.clone_from(&row.base);
        row.base = None;
        return settled(tables, step, row);
    }
    let base = row.base.take();
    let next = accepted(tables, step, row);
    row.base = base;
    next
}

/// A publication that was asked for by its token is accepted; what it changed
/// is told by the history.
fn settled(tables: &mut Tables, step: &mut Step<'_>, row: &Publication) -> Next {
    match accepted(tables, step, row) {
        Next::Done(Answer::Accepted { revision, .. }) => {
            Next::Done(Answer::Accepted { revision, changes: Vec::new() })
        }
        next => next,
    }
}

/// Takes the entry of the history under the revision of the publication.
///
/// Whoever replaces a document keeps it there first, so an entry with another
/// token, or none where none was removed yet, shows that the own write never
/// took effect.
pub fn traced(step: &mut Step<'_>, row: &Publication, entry: Option<Entry>) -> Next {
    let Some(token) = row.token else { return Next::Again };
    let Some(entry) = entry else {
        // Half of the limit is left for publications since the document was read.
        let removed = revision(row).0 > token.revision.0 + step.limits.max_history / 2;
        return Next::Done(if removed { Answer::Unsettled { token } } else { lost(step, row) });
    };
    match profiles::decode(step, &entry) {
        Ok(record) if record.token == token.id => {
            let revision = token.revision;
            Next::Done(Answer::Accepted { revision, changes: Vec::new() })
        }
        Ok(_) => Next::Done(lost(step, row)),
        Err(_) => Next::Done(Answer::Unsettled { token }),
    }
}

fn lost(step: &mut Step<'_>, row: &Publication) -> Answer {
    let winner = revision(row);
    let fields = vec![("winner", winner.0.to_string())];
    step.out.lines.push(Line::new(Event::RevisionLost, fields));
    match &row.offer {
        Some(offer) => conflict(row, &offer.document.profiles),
        None => Answer::NotPublished { current: winner },
    }
}

/// Another publication is in force.
pub fn conflict(row: &Publication, profiles: &BTreeMap<Name, Profile>) -> Answer {
    let who = row.base.as_ref().map_or_else(String::new, |base| base.who.clone());
    Answer::Conflict { winner: revision(row), who, changes: changes(row, profiles) }
}

/// The answer to a request whose time is up.
pub fn late(tables: &Tables, row: &Publication) -> Answer {
    let writing = row.stage == Stage::Swap && row.call.is_some();
    let asked = matches!(row.request, Request::Settle { .. });
    match (&row.request, row.token) {
        (Request::Settle { token }, _) => Answer::Unsettled { token: *token },
        (_, Some(token)) if row.lost || writing || asked => Answer::Unsettled { token },
        (Request::Show, _) if tables.own.learnt => {
            let document = Arc::clone(&tables.in_force.document);
            Answer::Document { document, confirmed: false }
        }
        (Request::Diff { profiles }, _) if tables.own.learnt => {
            let document = &tables.in_force.document;
            let changes = difference(&document.profiles, profiles);
            Answer::Changes { revision: document.revision, changes }
        }
        _ => {
            let detail = "the platform's service did not answer in time";
            Answer::Failed(Fault::not_run(Kind::StoreUnavailable, detail))
        }
    }
}

/// Makes the audit records of `records`, which are sorted by revision.
pub fn audits(records: &[Record]) -> Vec<Audit> {
    let before = std::iter::once(None).chain(records.iter().map(Some));
    records
        .iter()
        .zip(before)
        .map(|(record, before)| Audit {
            revision: record.document.revision,
            who: record.who.clone(),
            at: record.at,
            note: record.note.clone(),
            changes: before
                .map(|before| difference(&before.document.profiles, &record.document.profiles)),
        })
        .collect()
}
