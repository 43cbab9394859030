//! The outcome of a publication: accepted, lost to another one, or not settled
//! if it cannot be known.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{
    call, profiles,
    publish::{Next, changes, revision},
};
use crate::{
    control::{
        Answer, Record, Request,
        codec::history_key,
        engine::Context,
        request::{Audit, Token, difference},
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

/// Handles a publication that took effect: puts it in force here as well, and
/// removes from the history the document that is now beyond the limit.
pub fn accepted(tables: &mut Tables, cx: &mut Context<'_>, row: &Publication) -> Next {
    let Some(proposal) = &row.proposal else { return Next::Retry };
    profiles::apply_record(tables, cx, proposal);
    let revision = proposal.document.revision;
    let fields = vec![("revision", revision.0.to_string()), ("who", proposal.who.clone())];
    cx.out.lines.push(Line::new(Event::RevisionPublished, fields));
    if let Some(old) = revision.0.checked_sub(cx.limits.max_history + 1) {
        let call = Call::Get { key: history_key(old) };
        call::make(tables, cx, Purpose::ReadExpired, call, Duration::ZERO);
    }
    Next::Done(Answer::Accepted { revision, changes: changes(row, &proposal.document.profiles) })
}

/// Decides the outcome of a publication by the document that the service holds
/// now.
///
/// If the document carries the token of the publication, it took effect. If it
/// carries another token and no reply to the write was lost, the publication
/// lost. Otherwise the write may have taken effect and been replaced since,
/// which the history shows; or, as long as the version that it expects is
/// unchanged, it may still take effect, which a fence rules out.
pub fn resolve(tables: &mut Tables, cx: &mut Context<'_>, row: &mut Publication) -> Next {
    let Some(token) = row.token else { return Next::Retry };
    if row.base.as_ref().is_some_and(|base| base.token == token.id) {
        return confirmed(tables, cx, row);
    }
    let current = revision(row);
    if let Some(base) = &row.base {
        profiles::apply_record(tables, cx, base);
    }
    if current < tables.in_force.document.revision && row.reply_lost {
        return Next::Done(resolve_loss(tables, row, token));
    }
    if current <= token.base && matches!(row.request, Request::Settle { .. }) {
        return Next::Step(Stage::Fence);
    }
    if row.reply_lost && current > token.revision {
        return Next::Step(Stage::Trace);
    }
    Next::Done(lost(cx, row))
}

/// Decides the outcome of a publication while the service holds a lower revision than
/// the one in force: it has lost changes, which the watchers write again. A publication
/// that is in force here took effect; any other one may have been lost or replaced.
fn resolve_loss(tables: &Tables, row: &Publication, token: Token) -> Answer {
    let origin = tables.in_force.origin.as_ref();
    if origin.is_none_or(|origin| origin.token != token.id) {
        return Answer::Unsettled { token };
    }
    let profiles = &tables.in_force.document.profiles;
    let is_settle = matches!(row.request, Request::Settle { .. });
    let changes = if is_settle { Vec::new() } else { changes(row, profiles) };
    Answer::Accepted { revision: token.revision, changes }
}

/// Handles the case that the service holds the document of the publication.
fn confirmed(tables: &mut Tables, cx: &mut Context<'_>, row: &mut Publication) -> Next {
    if row.proposal.is_none() {
        row.proposal.clone_from(&row.base);
        row.base = None;
        return settled(tables, cx, row);
    }
    let base = row.base.take();
    let next = accepted(tables, cx, row);
    row.base = base;
    next
}

/// Accepts a publication that was asked for by its token. The answer lists no
/// changes; the history shows them.
fn settled(tables: &mut Tables, cx: &mut Context<'_>, row: &Publication) -> Next {
    match accepted(tables, cx, row) {
        Next::Done(Answer::Accepted { revision, .. }) => {
            Next::Done(Answer::Accepted { revision, changes: Vec::new() })
        }
        next => next,
    }
}

/// Handles the entry of the history for the revision of the publication.
///
/// A document is written to the history before it is replaced. An entry with
/// another token therefore shows that the write never took effect, and so does
/// a missing entry as long as the history is too short for it to have been
/// removed.
pub fn traced(cx: &mut Context<'_>, row: &Publication, entry: Option<Entry>) -> Next {
    let Some(token) = row.token else { return Next::Retry };
    let Some(entry) = entry else {
        // Half of the limit allows for publications since the document was read.
        let removed = revision(row).0 > token.revision.0 + cx.limits.max_history / 2;
        return Next::Done(if removed { Answer::Unsettled { token } } else { lost(cx, row) });
    };
    match profiles::decode(cx, &entry) {
        Ok(record) if record.token == token.id => {
            let revision = token.revision;
            Next::Done(Answer::Accepted { revision, changes: Vec::new() })
        }
        Ok(_) => Next::Done(lost(cx, row)),
        Err(_) => Next::Done(Answer::Unsettled { token }),
    }
}

/// Logs that the publication lost to the one in force, and makes the answer.
fn lost(cx: &mut Context<'_>, row: &Publication) -> Answer {
    let winner = revision(row);
    let fields = vec![("winner", winner.0.to_string())];
    cx.out.lines.push(Line::new(Event::RevisionLost, fields));
    match &row.proposal {
        Some(proposal) => conflict(row, &proposal.document.profiles),
        None => Answer::NotPublished { current: winner },
    }
}

/// The answer to a request whose publication lost to the one in force.
pub fn conflict(row: &Publication, profiles: &BTreeMap<Name, Profile>) -> Answer {
    let who = row.base.as_ref().map_or_else(String::new, |base| base.who.clone());
    Answer::Conflict { winner: revision(row), who, changes: changes(row, profiles) }
}

/// The answer to a request that has timed out.
pub fn timed_out(tables: &Tables, row: &Publication) -> Answer {
    let is_writing = row.stage == Stage::Swap && row.call.is_some();
    let is_settle = matches!(row.request, Request::Settle { .. });
    match (&row.request, row.token) {
        (Request::Settle { token }, _) => Answer::Unsettled { token: *token },
        (_, Some(token)) if row.reply_lost || is_writing || is_settle => {
            Answer::Unsettled { token }
        }
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

/// The audit records for `records`, which must be sorted by revision.
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
