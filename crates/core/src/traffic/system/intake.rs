//! Takes requests of callers, or refuses them before anything is sent.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use rand::RngExt;
use uuid::Builder;

use crate::{
    count::Count,
    digest::Fingerprint,
    fault::{Fault, Kind, Ran},
    id,
    key::Set,
    log::{self, Line},
    name::Name,
    notice::Report,
    profile::Profile,
    traffic::{
        Answer, Body, Call, Context, Event, Operate, Outbox, Search, Tables, operation_fingerprint,
        search_fingerprint,
        table::{Query, query, timer::Timer},
    },
};

/// Takes the requests in the order in which they came.
pub fn run(tables: &mut Tables, cx: &mut Context, events: Vec<Event>, out: &mut Outbox) {
    for event in events {
        match event {
            Event::Search { call, search } => take_search(tables, cx, call, search, out),
            Event::Operate { call, operate } => take_operation(tables, cx, call, operate, out),
            Event::Abandoned { call } => abandon(tables, call),
            _ => {}
        }
    }
}

fn take_search(
    tables: &mut Tables,
    cx: &mut Context,
    call: Call,
    search: Search,
    out: &mut Outbox,
) {
    let id = cx.ids.query();
    let admitted =
        admit(tables, cx, &search.profile, |terms| search_fingerprint(&terms.index, &search.text));
    let (terms, fingerprint) = match admitted {
        Ok(admitted) => admitted,
        Err(fault) => return refuse(call, id, search.profile, fault, out),
    };
    let task = query::Task::Search(query::Search {
        text: search.text,
        version: None,
        covered: Set::new(),
        rows: Vec::new(),
        lost: Set::new(),
        plans: 0,
        crashed: BTreeMap::new(),
        trial: None,
        fault: None,
    });
    let asked = search.deadline;
    open(
        tables,
        cx,
        Opening { call, id, profile: search.profile, terms, asked, fingerprint },
        task,
    );
    tables.to_plan.insert(id);
    out.count(Count::Requests);
}

fn take_operation(
    tables: &mut Tables,
    cx: &mut Context,
    call: Call,
    operate: Operate,
    out: &mut Outbox,
) {
    let id = cx.ids.query();
    let admitted =
        admit(tables, cx, &operate.profile, |terms| operation_fingerprint(&terms.index, &operate));
    let (terms, fingerprint) = match admitted {
        Ok(admitted) => admitted,
        Err(fault) => return refuse(call, id, operate.profile, fault, out),
    };
    let operation = query::Operation {
        subject: operate.subject,
        operation: operate.operation,
        detail: operate.detail,
        key: operate.key,
        token: Builder::from_random_bytes(cx.random.random()).into_uuid(),
        stage: query::Stage::Claiming,
    };
    let request = operation.claim(fingerprint);
    let asked = operate.deadline;
    let opening = Opening { call, id, profile: operate.profile, terms, asked, fingerprint };
    let remaining = open(tables, cx, opening, query::Task::Operation(operation));
    out.reports.push(Report::Claim { operation: id, request, deadline: cx.now + remaining });
    out.count(Count::Requests);
}

/// Checks what must hold before a request is taken. A VM that is leaving takes
/// requests until its listener closes, because the balancer learns of it late.
fn admit(
    tables: &Tables,
    cx: &Context,
    profile: &Name,
    fingerprint: impl FnOnce(&Profile) -> Fingerprint,
) -> Result<(Profile, Fingerprint), Fault> {
    let is_serving = cx.view.ready || (cx.view.leaving && tables.informed);
    if !is_serving {
        return Err(Fault::not_run(Kind::NotReady, format!("VM {} is not ready", cx.view.vm)));
    }
    if tables.queries.len() >= cx.limits.open_requests {
        let detail = format!("{} requests are open at VM {}", tables.queries.len(), cx.view.vm);
        return Err(Fault::not_run(Kind::TooManyOpen, detail));
    }
    let Some(terms) = cx.view.document.profiles.get(profile) else {
        let detail = format!("profile {:?} is not in force", profile.as_str());
        return Err(Fault::not_run(Kind::UnknownProfile, detail));
    };
    let open = tables.usages.get(profile).map_or(0, |usage| usage.open);
    if open >= terms.concurrency {
        let detail = format!("profile {profile} has {open} requests open at VM {}", cx.view.vm);
        return Err(Fault::not_run(Kind::ProfileLimit, detail));
    }
    let fingerprint = fingerprint(terms);
    if cx.view.quarantine.contains_key(&fingerprint) {
        let detail = "an equal request was running when targets were lost";
        return Err(Fault::not_run(Kind::Quarantined, detail));
    }
    Ok((terms.clone(), fingerprint))
}

/// What a query row is made from.
struct Opening {
    call: Call,
    id: id::Query,
    profile: Name,
    terms: Profile,
    asked: Option<Duration>,
    fingerprint: Fingerprint,
}

/// Makes the row of a query and returns the time until its answer is due.
fn open(tables: &mut Tables, cx: &Context, opening: Opening, task: query::Task) -> Duration {
    let allowed = opening.terms.deadline;
    let remaining = opening.asked.map_or(allowed, |asked| asked.min(allowed));
    let deadline = cx.now + remaining;
    tables.usages.entry(opening.profile.clone()).or_default().open += 1;
    tables.timers.set(deadline, Timer::Query(opening.id));
    tables.calls.insert(opening.call, opening.id);
    let row = Query {
        call: opening.call,
        profile: opening.profile,
        terms: opening.terms,
        revision: cx.view.document.revision.0,
        task,
        fingerprint: opening.fingerprint,
        arrived: cx.now,
        deadline,
        legs: BTreeSet::new(),
        attempts: 0,
        ran: Ran::No,
    };
    tables.queries.insert(opening.id, row);
    remaining
}

/// Refuses a request that has no row.
fn refuse(call: Call, query: id::Query, profile: Name, fault: Fault, out: &mut Outbox) {
    out.count(Count::Requests);
    out.count(Count::Refused(fault.kind));
    let fields = vec![("kind", fault.kind.to_string())];
    out.lines.push(Line::for_query(query, log::Event::Refused, fields));
    let took = Duration::ZERO;
    out.answers.push((call, Answer { query, body: Body::Refused(fault), profile, took }));
}

/// Ends a search whose caller left. An operation goes on to its outcome.
fn abandon(tables: &mut Tables, call: Call) {
    let Some(&id) = tables.calls.get(&call) else { return };
    let is_search =
        tables.queries.get(&id).is_some_and(|query| matches!(query.task, query::Task::Search(_)));
    if is_search {
        tables.to_answer.insert(id);
    }
}
