//! Admits requests of callers, or refuses them before anything is sent.

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

/// Handles the requests in the order of their arrival.
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
    let admitted = admit(tables, cx, &search.profile, |pinned_profile| {
        search_fingerprint(&pinned_profile.index, &search.text)
    });
    let (pinned_profile, fingerprint) = match admitted {
        Ok(admitted) => admitted,
        Err(fault) => return refuse(call, id, search.profile, fault, out),
    };
    let task = query::Task::Search(query::Search {
        text: search.text,
        version: None,
        covered: Set::new(),
        rows: Vec::new(),
        failed_keys: Set::new(),
        plans: 0,
        crashed: BTreeMap::new(),
        trial: None,
        fault: None,
    });
    let requested = search.deadline;
    open_query(
        tables,
        cx,
        NewQuery { call, id, profile: search.profile, pinned_profile, requested, fingerprint },
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
    let admitted = admit(tables, cx, &operate.profile, |pinned_profile| {
        operation_fingerprint(&pinned_profile.index, &operate)
    });
    let (pinned_profile, fingerprint) = match admitted {
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
    let requested = operate.deadline;
    let new =
        NewQuery { call, id, profile: operate.profile, pinned_profile, requested, fingerprint };
    let remaining = open_query(tables, cx, new, query::Task::Operation(operation));
    out.reports.push(Report::Claim { operation: id, request, deadline: cx.now + remaining });
    out.count(Count::Requests);
}

/// Checks whether a request is admitted, and returns its profile and
/// fingerprint. A VM that is leaving admits requests until its listener closes,
/// because the load balancer learns late that it leaves.
fn admit(
    tables: &Tables,
    cx: &Context,
    profile: &Name,
    fingerprint: impl FnOnce(&Profile) -> Fingerprint,
) -> Result<(Profile, Fingerprint), Fault> {
    let is_serving = cx.view.ready || (cx.view.leaving && tables.has_holdings);
    if !is_serving {
        return Err(Fault::not_run(Kind::NotReady, format!("VM {} is not ready", cx.view.vm)));
    }
    if tables.queries.len() >= cx.limits.open_requests {
        let detail = format!("{} requests are open at VM {}", tables.queries.len(), cx.view.vm);
        return Err(Fault::not_run(Kind::TooManyOpen, detail));
    }
    let Some(pinned_profile) = cx.view.document.profiles.get(profile) else {
        let detail = format!("profile {:?} is not in force", profile.as_str());
        return Err(Fault::not_run(Kind::UnknownProfile, detail));
    };
    let open = tables.usages.get(profile).map_or(0, |usage| usage.open);
    if open >= pinned_profile.concurrency {
        let detail = format!("profile {profile} has {open} requests open at VM {}", cx.view.vm);
        return Err(Fault::not_run(Kind::ProfileLimit, detail));
    }
    let fingerprint = fingerprint(pinned_profile);
    if cx.view.quarantine.contains_key(&fingerprint) {
        let detail = "an equal request was running when targets were lost";
        return Err(Fault::not_run(Kind::Quarantined, detail));
    }
    Ok((pinned_profile.clone(), fingerprint))
}

/// The parameters of a new query.
struct NewQuery {
    call: Call,
    id: id::Query,
    profile: Name,
    pinned_profile: Profile,
    requested: Option<Duration>,
    fingerprint: Fingerprint,
}

/// Adds a query to the tables and returns the time until its answer is due.
fn open_query(tables: &mut Tables, cx: &Context, new: NewQuery, task: query::Task) -> Duration {
    let allowed = new.pinned_profile.deadline;
    let remaining = new.requested.map_or(allowed, |requested| requested.min(allowed));
    let deadline = cx.now + remaining;
    tables.usages.entry(new.profile.clone()).or_default().open += 1;
    tables.timers.set(deadline, Timer::Query(new.id));
    tables.calls.insert(new.call, new.id);
    let row = Query {
        call: new.call,
        profile: new.profile,
        pinned_profile: new.pinned_profile,
        revision: cx.view.document.revision.0,
        task,
        fingerprint: new.fingerprint,
        arrived: cx.now,
        deadline,
        legs: BTreeSet::new(),
        attempts: 0,
        ran: Ran::No,
    };
    tables.queries.insert(new.id, row);
    remaining
}

/// Refuses a request that was not admitted.
fn refuse(call: Call, query: id::Query, profile: Name, fault: Fault, out: &mut Outbox) {
    out.count(Count::Requests);
    out.count(Count::Refused(fault.kind));
    let fields = vec![("kind", fault.kind.to_string())];
    out.lines.push(Line::for_query(query, log::Event::Refused, fields));
    let took = Duration::ZERO;
    out.answers.push((call, Answer { query, body: Body::Refused(fault), profile, took }));
}

/// Ends a search whose caller no longer waits. An operation continues, so that
/// its outcome is recorded.
fn abandon(tables: &mut Tables, call: Call) {
    let Some(&id) = tables.calls.get(&call) else { return };
    let is_search =
        tables.queries.get(&id).is_some_and(|query| matches!(query.task, query::Task::Search(_)));
    if is_search {
        tables.to_answer.insert(id);
    }
}
