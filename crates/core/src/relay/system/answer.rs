//! Answers the requests whose legs have ended or whose timers are due.

use std::{sync::Arc, time::Duration};

use super::{Context, leg, merge};
use crate::{
    count::{Count, Sample},
    fault::{Fault, Kind},
    log::{Event, Line},
    name::Name,
    profile::WHOLE_PPM,
    relay::{
        Tables,
        message::{Answer, Call, Gathered, Refusal, Reply},
        policy::completion::{Progress, Verdict},
        route::{Gather, Plan},
        table::{
            leg::{Key, State},
            request::Request,
        },
    },
};

/// Retry-after time that callers are told if no target could take a request.
const UNAVAILABLE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Answers every request that changed in this tick and can be answered.
pub fn answer_changed(tables: &mut Tables, cx: &mut Context<'_>) {
    for call in std::mem::take(&mut tables.changed) {
        let Some(request) = tables.requests.get(&call) else { continue };
        let answer = match &request.route.plan {
            Plan::Gather(gather) => gathered(tables, call, request, gather, cx),
            Plan::Single(_) | Plan::Split(_) => forwarded(tables, call, request, cx),
        };
        if let Some(answer) = answer {
            finish(tables, call, answer, cx);
        }
    }
}

/// What is known about the execution of a request over all of its legs.
#[derive(Clone, Copy, Debug, Default)]
struct Execution {
    /// Whether a target may have run a leg.
    maybe_ran: bool,
    /// Whether an attempt of a leg is in flight.
    in_flight: bool,
}

fn execution(tables: &Tables, call: Call, request: &Request) -> Execution {
    let mut execution = Execution::default();
    for index in 0..request.legs {
        if let Some(leg) = tables.legs.get(&Key { call, index }) {
            execution.maybe_ran |= leg.runs.may_have_run || matches!(leg.state, State::Done(_));
            execution.in_flight |= !leg.attempts.is_empty();
        }
    }
    execution
}

fn forwarded(tables: &Tables, call: Call, request: &Request, cx: &Context<'_>) -> Option<Answer> {
    let Some(leg) = tables.legs.get(&Key { call, index: 0 }) else {
        let fault = Fault::not_run(Kind::Unavailable, "the route names no service");
        return Some(Answer::Refused(Refusal { fault, retry: Some(UNAVAILABLE_RETRY_AFTER) }));
    };
    let execution = execution(tables, call, request);
    match &leg.state {
        State::Done(reply) if reply.is_success() || reply.is_failure() => {
            Some(Answer::Forwarded(Box::new(Reply::clone(reply))))
        }
        State::Done(reply) => Some(Answer::Refused(Refusal {
            fault: Fault::unknown(Kind::TargetFailed, format!("status {}", reply.status)),
            retry: None,
        })),
        State::Failed => {
            let retry = retry_after(tables, &leg.service, cx);
            Some(refused(execution, Kind::TargetFailed, "no target answered", retry))
        }
        State::Open if request.deadline <= cx.now => {
            let detail = "no target answered in time";
            Some(refused(execution, Kind::DeadlinePassed, detail, UNAVAILABLE_RETRY_AFTER))
        }
        State::Open => None,
    }
}

/// Returns a refusal of `kind` if a target may have run the request, and one that
/// says that it was not run otherwise.
fn refused(execution: Execution, kind: Kind, detail: &str, retry: Duration) -> Answer {
    if execution.maybe_ran || execution.in_flight {
        return Answer::Refused(Refusal { fault: Fault::unknown(kind, detail), retry: None });
    }
    let fault = Fault::not_run(Kind::Unavailable, detail);
    Answer::Refused(Refusal { fault, retry: Some(retry) })
}

/// Returns when a caller may come back that no target of a service could take: when the
/// first of them wants requests again.
fn retry_after(tables: &Tables, service: &Name, cx: &Context<'_>) -> Duration {
    let ids = tables.services.get(service).into_iter().flatten();
    let rests = ids.filter_map(|id| tables.targets.get(id));
    let first = rests.map(|target| target.backoff_until.remaining(cx.now)).min();
    first.unwrap_or_default().max(UNAVAILABLE_RETRY_AFTER)
}

fn gathered(
    tables: &Tables,
    call: Call,
    request: &Request,
    gather: &Gather,
    cx: &Context<'_>,
) -> Option<Answer> {
    let parts = parts(tables, call, request);
    let open = open_legs(tables, call, request);
    let progress = Progress {
        shards: gather.shards.len(),
        parts: parts.len(),
        open,
        min_parts: gather.min_parts(),
        is_late: request.goal <= cx.now,
    };
    match cx.policies.completion.verdict(&progress) {
        Verdict::Answer => Some(merged(gather, &parts)),
        Verdict::Refuse => {
            let detail = format!("{} of {} shards answered", parts.len(), gather.shards.len());
            let execution = execution(tables, call, request);
            Some(refused(execution, Kind::TargetFailed, &detail, UNAVAILABLE_RETRY_AFTER))
        }
        Verdict::Wait if request.deadline <= cx.now => {
            let detail = format!("{} of {} shards answered", parts.len(), gather.shards.len());
            let execution = execution(tables, call, request);
            Some(refused(execution, Kind::DeadlinePassed, &detail, UNAVAILABLE_RETRY_AFTER))
        }
        Verdict::Wait => None,
    }
}

fn parts(tables: &Tables, call: Call, request: &Request) -> Vec<Arc<Reply>> {
    let legs = (0..request.legs).filter_map(|index| tables.legs.get(&Key { call, index }));
    legs.filter_map(|leg| match &leg.state {
        State::Done(reply) => Some(Arc::clone(reply)),
        State::Open | State::Failed => None,
    })
    .collect()
}

fn open_legs(tables: &Tables, call: Call, request: &Request) -> usize {
    let legs = (0..request.legs).filter_map(|index| tables.legs.get(&Key { call, index }));
    legs.filter(|leg| leg.is_open()).count()
}

fn merged(gather: &Gather, parts: &[Arc<Reply>]) -> Answer {
    Answer::Gathered(Gathered {
        digests: parts.iter().filter_map(|part| part.digest.clone()).collect(),
        missing: gather.shards.len() - parts.len(),
        body: merge::greatest(parts.iter().map(|part| &*part.body), gather.top_k),
    })
}

/// Puts the answer of a request into the outbox and drops the request.
fn finish(tables: &mut Tables, call: Call, answer: Answer, cx: &mut Context<'_>) {
    let Some(request) = tables.requests.get(&call).cloned() else { return };
    record_answer(tables, call, &request, &answer, cx);
    leg::drop_request(tables, call, leg::End::Answered, cx);
    cx.out.answers.push((call, answer));
}

/// Counts an answer, and logs it if it is partial or a refusal.
fn record_answer(
    tables: &Tables,
    call: Call,
    request: &Request,
    answer: &Answer,
    cx: &mut Context<'_>,
) {
    let took = cx.now.since(request.arrived);
    let coverage = match answer {
        Answer::Gathered(gathered) => {
            let shards = gathered.missing + gathered.digests.len();
            u32::try_from(
                u64::from(WHOLE_PPM) * gathered.digests.len() as u64 / shards.max(1) as u64,
            )
            .ok()
        }
        Answer::Forwarded(_) | Answer::Refused(_) => None,
    };
    if !matches!(answer, Answer::Refused(_)) {
        let is_whole = coverage.is_none_or(|coverage| coverage == WHOLE_PPM);
        cx.out.counts.add(if is_whole { Count::Complete } else { Count::Partial });
        let profile = request.route.name.clone();
        cx.out.counts.sample(Sample { profile, took, coverage });
    }
    let mut fields = vec![
        ("id", request.caller_request.id.to_string()),
        ("route", request.route.name.to_string()),
        ("version", request.version.to_string()),
        ("took_ms", took.as_millis().to_string()),
    ];
    let event = match answer {
        Answer::Refused(refusal) => {
            cx.out.counts.add(Count::Refused(refusal.fault.kind));
            fields.push(("kind", refusal.fault.kind.to_string()));
            fields.push(("ran", refusal.fault.ran.as_str().to_owned()));
            fields.push(("detail", refusal.fault.detail.clone()));
            fields.push(("missing", missing_services(tables, call, request)));
            Event::Refused
        }
        Answer::Gathered(gathered) if gathered.missing > 0 => {
            fields.push(("missing", missing_services(tables, call, request)));
            Event::PartialAnswer
        }
        Answer::Gathered(_) | Answer::Forwarded(_) => return,
    };
    cx.out.lines.push(Line::new(event, fields));
}

/// Formats the services whose legs have no reply for a log line, each with the
/// targets that it was sent to.
fn missing_services(tables: &Tables, call: Call, request: &Request) -> String {
    let mut texts = Vec::new();
    for index in 0..request.legs {
        let Some(leg) = tables.legs.get(&Key { call, index }) else { continue };
        if !matches!(leg.state, State::Done(_)) {
            let tried: Vec<&str> = leg.tried.iter().map(|target| target.as_str()).collect();
            texts.push(format!("{}({})", leg.service, tried.join("+")));
        }
    }
    texts.join(" ")
}
