//! Requests of operators that need the platform's service, stage by stage.
//!
//! Each stage is one call that may be repeated: reads change nothing, an entry
//! of the history is only ever created, and the write of a document expects the
//! version that was read and carries its own token.

use std::{sync::Arc, time::Duration};

use super::{call, outcome, profiles};
use crate::{
    control::{
        Answer, Record, Request, RequestId, access,
        codec::{CURRENT_KEY, HISTORY, MAX_VALUE_BYTES, history_key},
        engine::Context,
        request::{Token, difference},
        table::{
            Tables,
            call::Purpose,
            publication::{Publication, Stage},
        },
    },
    fault::{Fault, Kind},
    profile::{Document, Revision},
    store::{Call, Entry, Reply},
};

/// How a request goes on after the reply to a call.
pub enum Next {
    /// The request goes on with this stage.
    Step(Stage),
    /// The stage is tried again after a delay.
    Retry,
    Done(Answer),
}

/// Makes the calls that are due, and answers requests that have timed out.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    let ids: Vec<RequestId> = tables.publications.keys().copied().collect();
    for id in ids {
        let Some(mut row) = tables.publications.remove(&id) else { continue };
        if row.until <= cx.now {
            let answer = outcome::timed_out(tables, &row);
            cx.out.answers.push((id, answer));
            continue;
        }
        if row.call.is_none() && row.next <= cx.now {
            let call = call(cx, &row);
            let purpose = Purpose::Request(id);
            row.call = Some(call::make(tables, cx, purpose, call, Duration::ZERO));
        }
        tables.publications.insert(id, row);
    }
}

fn call(cx: &Context<'_>, row: &Publication) -> Call {
    let get = |key: String| Call::Get { key };
    let swap = |key: String, expect, record: Option<&Record>| {
        let value = record.map(|record| cx.codec.encode(record)).unwrap_or_default();
        Call::Swap { key, expect, value, lease: None }
    };
    match &row.stage {
        Stage::Read => get(CURRENT_KEY.to_owned()),
        Stage::Fetch => get(history_key(rollback(row).0)),
        Stage::Trace => get(history_key(row.token.map_or(0, |token| token.revision.0))),
        Stage::Scan => Call::Scan { prefix: HISTORY.to_owned() },
        Stage::Archive => swap(history_key(revision(row).0), None, row.base.as_ref()),
        Stage::Swap => swap(CURRENT_KEY.to_owned(), row.version, row.proposal.as_ref()),
        Stage::Fence => swap(CURRENT_KEY.to_owned(), row.version, Some(&fence(row))),
    }
}

fn rollback(row: &Publication) -> Revision {
    match row.request {
        Request::Rollback { to, .. } => to,
        _ => Revision::default(),
    }
}

/// The revision in force at the service when it was last read.
pub fn revision(row: &Publication) -> Revision {
    row.base.as_ref().map_or_else(Revision::default, |base| base.document.revision)
}

/// The record to write for [`Stage::Fence`]: the record in force unchanged, or
/// an empty one if there is none.
fn fence(row: &Publication) -> Record {
    row.base.clone().unwrap_or_else(|| Record {
        document: Document::default(),
        token: uuid::Uuid::nil(),
        who: String::new(),
        at: Default::default(),
        note: String::new(),
    })
}

/// Handles the reply to the call of a stage.
pub fn handle_reply(tables: &mut Tables, cx: &mut Context<'_>, id: RequestId, reply: Reply) {
    let Some(mut row) = tables.publications.remove(&id) else { return };
    row.call = None;
    match advance(tables, cx, &mut row, reply) {
        Next::Done(answer) => return cx.out.answers.push((id, answer)),
        Next::Retry => row.next = cx.now + cx.limits.retry_delay,
        Next::Step(stage) => {
            row.stage = stage;
            row.next = cx.now;
        }
    }
    tables.publications.insert(id, row);
}

fn advance(tables: &mut Tables, cx: &mut Context<'_>, row: &mut Publication, reply: Reply) -> Next {
    if let Reply::Lost { .. } = reply {
        row.reply_lost |= row.stage == Stage::Swap;
        return Next::Retry;
    }
    if let Reply::Refused { .. } = reply {
        return Next::Retry;
    }
    if has_crossed(row, &reply) {
        row.reply_lost |= row.stage == Stage::Swap;
        return Next::Retry;
    }
    match (row.stage.clone(), reply) {
        (Stage::Read, Reply::Value { entry, .. }) => read(tables, cx, row, entry),
        (Stage::Fetch, Reply::Value { entry, .. }) => fetched(tables, cx, row, entry),
        (Stage::Scan, Reply::Entries { entries, .. }) => scanned(cx, row, &entries),
        (Stage::Trace, Reply::Value { entry, .. }) => outcome::traced(cx, row, entry),
        (Stage::Archive, Reply::Swapped { .. } | Reply::Conflict { .. }) => Next::Step(Stage::Swap),
        (Stage::Swap, Reply::Swapped { .. }) => outcome::accepted(tables, cx, row),
        (Stage::Fence, Reply::Swapped { .. }) => {
            Next::Done(Answer::NotPublished { current: revision(row) })
        }
        (Stage::Swap | Stage::Fence, Reply::Conflict { current }) => match load(cx, row, current) {
            Ok(()) => outcome::resolve(tables, cx, row),
            Err(answer) => Next::Done(answer),
        },
        (_, reply) => Next::Done(internal(format!("unexpected reply {reply:?}"))),
    }
}

/// Whether a write took effect in a later era than that of the version that it expected.
/// The numbers of the two versions are equal but not the changes, so the write is tried
/// again, which shows what the service holds.
fn has_crossed(row: &Publication, reply: &Reply) -> bool {
    let (Reply::Swapped { version }, Some(expected)) = (reply, row.version) else { return false };
    matches!(row.stage, Stage::Swap | Stage::Fence) && expected.0.era != version.0.era
}

/// Stores the version and the record that the service holds under the key of the
/// document in force.
fn load(cx: &Context<'_>, row: &mut Publication, entry: Option<Entry>) -> Result<(), Answer> {
    row.version = entry.as_ref().map(|entry| entry.version);
    row.base = entry
        .map(|entry| profiles::decode(cx, &entry))
        .transpose()
        .map_err(|e| internal(format!("{CURRENT_KEY} cannot be decoded: {e}")))?;
    Ok(())
}

fn read(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    row: &mut Publication,
    entry: Option<Entry>,
) -> Next {
    if let Err(answer) = load(cx, row, entry) {
        return Next::Done(answer);
    }
    if let Some(base) = &row.base {
        profiles::apply_record(tables, cx, base);
    }
    match row.request.clone() {
        Request::Publish { profiles, expect, who, team, dry_run } => {
            let plan = Plan { profiles, expect, who, team, note: String::new(), dry_run };
            propose(tables, cx, row, plan)
        }
        Request::Rollback { to, .. } if to != revision(row) => Next::Step(Stage::Fetch),
        Request::Rollback { .. } => match row.base.clone() {
            Some(base) => roll_back(tables, cx, row, base.document),
            None => Next::Done(missing(Revision::default())),
        },
        Request::Settle { token } => {
            row.token = Some(token);
            row.reply_lost = true;
            outcome::resolve(tables, cx, row)
        }
        Request::Diff { profiles } => Next::Done(Answer::Changes {
            revision: revision(row),
            changes: changes(row, &profiles),
        }),
        Request::History => Next::Step(Stage::Scan),
        _ => {
            let document = Arc::clone(&tables.in_force.document);
            Next::Done(Answer::Document { document, confirmed: true })
        }
    }
}

/// The differences from the document in force at the service to `profiles`.
pub fn changes(
    row: &Publication,
    profiles: &std::collections::BTreeMap<crate::name::Name, crate::profile::Profile>,
) -> Vec<crate::control::request::Difference> {
    let empty = Default::default();
    let before = row.base.as_ref().map_or(&empty, |base| &base.document.profiles);
    difference(before, profiles)
}

/// The profiles to publish, and the conditions for it.
struct Plan {
    profiles: std::collections::BTreeMap<crate::name::Name, crate::profile::Profile>,
    expect: Option<Revision>,
    who: String,
    team: crate::name::Name,
    note: String,
    dry_run: bool,
}

fn fetched(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    row: &mut Publication,
    entry: Option<Entry>,
) -> Next {
    let Some(entry) = entry else { return Next::Done(missing(rollback(row))) };
    match profiles::decode(cx, &entry) {
        Ok(record) => roll_back(tables, cx, row, record.document),
        Err(e) => Next::Done(internal(format!("{} cannot be decoded: {e}", entry.key))),
    }
}

fn roll_back(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    row: &mut Publication,
    document: Document,
) -> Next {
    let Request::Rollback { to, expect, who, team } = row.request.clone() else {
        return Next::Done(internal("the request is not a rollback".to_owned()));
    };
    let note = format!("roll back to revision {}", to.0);
    let plan = Plan { profiles: document.profiles, expect, who, team, note, dry_run: false };
    propose(tables, cx, row, plan)
}

fn propose(tables: &mut Tables, cx: &mut Context<'_>, row: &mut Publication, plan: Plan) -> Next {
    let base = revision(row);
    if plan.expect.is_some_and(|expect| expect != base) {
        return Next::Done(outcome::conflict(row, &plan.profiles));
    }
    if let Err(fault) = allowed(row, &plan) {
        return Next::Done(Answer::Failed(fault));
    }
    // The new revision must be higher than the one in force here, even if the
    // service has lost that one.
    let highest = base.max(tables.in_force.document.revision);
    let next = Revision(highest.0 + 1);
    if plan.dry_run {
        let changes = changes(row, &plan.profiles);
        return Next::Done(Answer::Planned { revision: next, changes });
    }
    let id = uuid::Builder::from_random_bytes(rand::RngExt::random(&mut tables.rng)).into_uuid();
    let document = Document { revision: next, profiles: plan.profiles };
    let record = Record { document, token: id, who: plan.who, at: cx.wall, note: plan.note };
    let size = cx.codec.encode(&record).len();
    if size > MAX_VALUE_BYTES {
        let detail = format!("the profiles take {size} bytes, allowed are {MAX_VALUE_BYTES}");
        return Next::Done(Answer::Failed(Fault::not_run(Kind::TooLarge, detail)));
    }
    row.token = Some(Token { base, revision: next, id });
    row.proposal = Some(record);
    Next::Step(if row.base.is_some() { Stage::Archive } else { Stage::Swap })
}

/// Checks that the team of the plan may make its changes to the document in
/// force at the service.
fn allowed(row: &Publication, plan: &Plan) -> Result<(), Fault> {
    let empty = Default::default();
    let before = row.base.as_ref().map_or(&empty, |base| &base.document.profiles);
    access::check(&plan.team, before, &plan.profiles)
}

fn scanned(cx: &Context<'_>, row: &Publication, entries: &[Entry]) -> Next {
    let kept = entries.iter().filter_map(|entry| profiles::decode(cx, entry).ok());
    let mut records: Vec<Record> = kept.collect();
    records.extend(row.base.clone());
    records.sort_by_key(|record| record.document.revision);
    records.dedup_by_key(|record| record.document.revision);
    Next::Done(Answer::History(outcome::audits(&records)))
}

fn missing(revision: Revision) -> Answer {
    let detail = format!("revision {} is not kept", revision.0);
    Answer::Failed(Fault::not_run(Kind::NotFound, detail))
}

fn internal(detail: String) -> Answer {
    Answer::Failed(Fault::not_run(Kind::Internal, detail))
}
