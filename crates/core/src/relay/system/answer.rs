//! Answers the requests whose legs or times allow it.

use std::{sync::Arc, time::Duration};

use super::{Context, leg, merge};
use crate::{
    count::{Count, Sample},
    fault::{Fault, Kind},
    log::{Event, Line},
    profile::WHOLE_PPM,
    relay::{
        Tables,
        message::{Answer, Call, Gathered, Refusal, Reply},
        policy::patience::{Progress, Verdict},
        route::{Gather, Plan},
        table::{
            leg::{Key, State},
            request::Request,
        },
    },
};

/// When to come back after no target could take a request.
const COME_BACK: Duration = Duration::from_millis(100);

/// Looks at every request that changed.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    for call in std::mem::take(&mut tables.changed) {
        let Some(request) = tables.requests.get(&call) else { continue };
        let answer = match &request.route.plan {
            Plan::Gather(gather) => gathered(tables, call, request, gather, cx),
            Plan::One(_) | Plan::Split(_) => forwarded(tables, call, request, cx),
        };
        if let Some(answer) = answer {
            close(tables, call, answer, cx);
        }
    }
}

/// What is known of the runs of all legs of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Runs {
    maybe: bool,
    under_way: bool,
}

fn runs(tables: &Tables, call: Call, request: &Request) -> Runs {
    let mut runs = Runs::default();
    for place in 0..request.legs {
        if let Some(leg) = tables.legs.get(&Key { call, place }) {
            runs.maybe |= leg.runs.maybe || matches!(leg.state, State::Done(_));
            runs.under_way |= !leg.attempts.is_empty();
        }
    }
    runs
}

fn forwarded(tables: &Tables, call: Call, request: &Request, cx: &Context<'_>) -> Option<Answer> {
    let Some(leg) = tables.legs.get(&Key { call, place: 0 }) else {
        let fault = Fault::not_run(Kind::Unavailable, "the route names no service");
        return Some(Answer::Refused(Refusal { fault, retry: Some(COME_BACK) }));
    };
    let runs = runs(tables, call, request);
    match &leg.state {
        State::Done(reply) if promises(reply) => Some(Answer::Refused(Refusal {
            fault: Fault::unknown(Kind::TargetFailed, format!("status {}", reply.status)),
            retry: None,
        })),
        State::Done(reply) => Some(Answer::Forwarded(Box::new(Reply::clone(reply)))),
        State::Failed => Some(refused(runs, Kind::TargetFailed, "no target answered")),
        State::Open if request.deadline <= cx.now => {
            Some(refused(runs, Kind::DeadlinePassed, "no target answered in time"))
        }
        State::Open => None,
    }
}

/// Whether a status says that the request was not run, which holds only if the
/// target says so in its own way too.
fn promises(reply: &Reply) -> bool {
    matches!(reply.status, 408 | 421 | 429 | 503)
}

/// A refusal of `kind` if a target may have run the request; otherwise it says
/// that nothing ran.
fn refused(runs: Runs, kind: Kind, detail: &str) -> Answer {
    if runs.maybe || runs.under_way {
        return Answer::Refused(Refusal { fault: Fault::unknown(kind, detail), retry: None });
    }
    let fault = Fault::not_run(Kind::Unavailable, detail);
    Answer::Refused(Refusal { fault, retry: Some(COME_BACK) })
}

fn gathered(
    tables: &Tables,
    call: Call,
    request: &Request,
    gather: &Gather,
    cx: &Context<'_>,
) -> Option<Answer> {
    let parts = parts(tables, call, request);
    let open = open(tables, call, request);
    let progress = Progress {
        shards: gather.shards.len(),
        parts: parts.len(),
        open,
        least: gather.least_parts(),
        is_late: request.goal <= cx.now,
    };
    match cx.policies.patience.verdict(&progress) {
        Verdict::Answer => Some(merged(gather, &parts)),
        Verdict::Refuse => {
            let detail = format!("{} of {} shards answered", parts.len(), gather.shards.len());
            Some(refused(runs(tables, call, request), Kind::TargetFailed, &detail))
        }
        Verdict::Wait if request.deadline <= cx.now => {
            let detail = format!("{} of {} shards answered", parts.len(), gather.shards.len());
            Some(refused(runs(tables, call, request), Kind::DeadlinePassed, &detail))
        }
        Verdict::Wait => None,
    }
}

fn parts(tables: &Tables, call: Call, request: &Request) -> Vec<Arc<Reply>> {
    let legs = (0..request.legs).filter_map(|place| tables.legs.get(&Key { call, place }));
    legs.filter_map(|leg| match &leg.state {
        State::Done(reply) => Some(Arc::clone(reply)),
        State::Open | State::Failed => None,
    })
    .collect()
}

fn open(tables: &Tables, call: Call, request: &Request) -> usize {
    let legs = (0..request.legs).filter_map(|place| tables.legs.get(&Key { call, place }));
    legs.filter(|leg| leg.is_open()).count()
}

fn merged(gather: &Gather, parts: &[Arc<Reply>]) -> Answer {
    Answer::Gathered(Gathered {
        digests: parts.iter().filter_map(|part| part.digest.clone()).collect(),
        missing: gather.shards.len() - parts.len(),
        body: merge::greatest(parts.iter().map(|part| &*part.body), gather.top),
    })
}

/// Hands out an answer and forgets its request.
fn close(tables: &mut Tables, call: Call, answer: Answer, cx: &mut Context<'_>) {
    let Some(request) = tables.requests.get(&call).cloned() else { return };
    note(tables, call, &request, &answer, cx);
    leg::drop_request(tables, call, leg::End::Answered, cx);
    cx.out.answers.push((call, answer));
}

/// Counts and logs an answer.
fn note(tables: &Tables, call: Call, request: &Request, answer: &Answer, cx: &mut Context<'_>) {
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
        ("id", request.inquiry.id.to_string()),
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
            fields.push(("missing", missing(tables, call, request)));
            Event::Refused
        }
        Answer::Gathered(gathered) if gathered.missing > 0 => {
            fields.push(("missing", missing(tables, call, request)));
            Event::PartialAnswer
        }
        Answer::Gathered(_) | Answer::Forwarded(_) => return,
    };
    cx.out.lines.push(Line::new(event, fields));
}

/// The services whose part is missing, with the targets that were asked.
fn missing(tables: &Tables, call: Call, request: &Request) -> String {
    let mut texts = Vec::new();
    for place in 0..request.legs {
        let Some(leg) = tables.legs.get(&Key { call, place }) else { continue };
        if !matches!(leg.state, State::Done(_)) {
            let tried: Vec<&str> = leg.tried.iter().map(|target| target.as_str()).collect();
            texts.push(format!("{}({})", leg.service, tried.join("+")));
        }
    }
    texts.join(" ")
}
