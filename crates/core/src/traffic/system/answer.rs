//! Answers queries whose legs have all ended or whose deadline has passed.

use crate::{
    count::Count,
    fault::{Fault, Kind, Ran},
    id,
    key::Range,
    log::{self, Line},
    traffic::{
        Answer, Body, Context, Found, Outbox, Tables,
        system::{claim, leg},
        table::{
            Query,
            query::{Operation, Search, Stage, Task},
            timer::Timer,
        },
    },
};

/// Answers the queries whose answer is due.
pub fn run(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    for id in std::mem::take(&mut tables.to_answer) {
        answer_query(tables, cx, id, out);
    }
}

fn answer_query(tables: &mut Tables, cx: &mut Context, id: id::Query, out: &mut Outbox) {
    let Some(query) = tables.queries.get(&id) else { return };
    let open_legs = query.legs.clone();
    let is_search = matches!(query.task, Task::Search(_));
    let is_waiting = !open_legs.is_empty();
    if is_search {
        for leg in open_legs {
            leg::withdraw(tables, cx, leg, out);
        }
    }
    let Some(query) = tables.queries.remove(&id) else { return };
    tables.timers.cancel(query.deadline, Timer::Query(id));
    tables.calls.remove(&query.call);
    tables.to_plan.remove(&id);
    if let Some(usage) = tables.usages.get_mut(&query.profile) {
        usage.open = usage.open.saturating_sub(1);
    }
    let call = query.call;
    let profile = query.profile.clone();
    let took = cx.now.since(query.arrived);
    let fingerprint = query.fingerprint;
    let body = match &query.task {
        Task::Search(_) => search_body(query, is_waiting, cx),
        Task::Operation(operation) => operation_body(tables, id, &query, operation),
    };
    if let Body::Found(found) = &body
        && !is_waiting
    {
        tables.answered.insert(fingerprint, found.version);
    }
    count_answer(id, &body, out);
    out.answers.push((call, Answer { query: id, body, profile, took }));
}

fn search_body(query: Query, is_waiting: bool, cx: &Context) -> Body {
    let ran = if is_waiting { query.ran.max(Ran::Unknown) } else { query.ran };
    let pinned_profile = query.pinned_profile;
    let Task::Search(search) = query.task else {
        return Body::Refused(Fault::unknown(Kind::Internal, "the request is not a search"));
    };
    if let Some(mut fault) = search.fault {
        // Other legs of the search may have run.
        fault.ran = fault.ran.max(ran);
        return Body::Refused(fault);
    }
    let Search { version, covered, mut rows, .. } = search;
    let coverage = covered.parts_per_million(Range::ALL);
    let Some(version) = version.filter(|_| coverage >= pinned_profile.coverage) else {
        return Body::Refused(incomplete(
            coverage,
            pinned_profile.coverage,
            ran,
            query.deadline <= cx.now,
        ));
    };
    rows.sort();
    Body::Found(Found {
        version,
        coverage,
        missing: covered.missing(Range::ALL),
        revision: query.revision,
        rows,
        attempts: query.attempts,
    })
}

fn incomplete(coverage: u32, required: u32, ran: Ran, is_late: bool) -> Fault {
    let kind = if is_late { Kind::DeadlinePassed } else { Kind::CoverageTooLow };
    let detail =
        format!("{coverage} ppm of the key space were read, the profile requires {required} ppm");
    Fault { kind, ran, detail }
}

fn operation_body(
    tables: &mut Tables,
    id: id::Query,
    query: &Query,
    operation: &Operation,
) -> Body {
    match &operation.stage {
        Stage::Settled(Ok(settled)) => Body::Done {
            result: settled.result.clone(),
            replayed: settled.replayed,
            revision: query.revision,
        },
        Stage::Settled(Err(fault)) => Body::Refused(fault.clone()),
        Stage::Claiming => {
            claim::await_outcome(tables, id, operation.claim(query.fingerprint));
            let detail = "the claim was not settled before the deadline";
            // An earlier request with the key may have run.
            Body::Refused(Fault::unknown(Kind::ClaimUnsettled, detail))
        }
        // The key was free, so no earlier request with it ran either.
        Stage::Granted => {
            claim::await_outcome(tables, id, operation.claim(query.fingerprint));
            let detail = "the operation was not sent before the deadline";
            Body::Refused(Fault::not_run(Kind::ClaimUnsettled, detail))
        }
        Stage::Sent => {
            claim::await_outcome(tables, id, operation.claim(query.fingerprint));
            let detail =
                "the operation was sent, but its outcome was not known before the deadline";
            Body::Refused(Fault::unknown(Kind::DeadlinePassed, detail))
        }
    }
}

fn count_answer(id: id::Query, body: &Body, out: &mut Outbox) {
    match body {
        Body::Found(found) if found.missing.is_empty() => out.count(Count::Complete),
        Body::Found(_) => out.count(Count::Partial),
        Body::Done { .. } => out.count(Count::Complete),
        Body::Refused(fault) => {
            out.count(Count::Refused(fault.kind));
            let fields = vec![("kind", fault.kind.to_string())];
            out.lines.push(Line::for_query(id, log::Event::Refused, fields));
        }
    }
}
