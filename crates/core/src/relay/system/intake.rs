//! Takes callers' requests: finds the route, plans the legs.

use std::{sync::Arc, time::Duration};

use rand::RngExt;

use super::{Context, hop, leg, suspect};
use crate::{
    count::Count,
    fault::{Fault, Kind},
    log::{Event, Line},
    name::Name,
    relay::{
        Tables,
        message::{Answer, Call, CallerRequest, Refusal},
        route::{Config, Plan, Route},
        table::{
            leg::{Key, Leg},
            request::Request,
            timer::Timer,
        },
    },
};

/// What an answer needs on its way to the caller, together with the time that
/// the request was under way: a goal counts on the caller's clock.
const GOAL_MARGIN: Duration = Duration::from_millis(8);

/// The same for the last answer, whose caller must not give up before it.
const DEADLINE_MARGIN: Duration = Duration::from_millis(12);

/// When to come back to a VM that knows no configuration yet.
const NOT_READY: Duration = Duration::from_millis(200);

/// Takes the requests that came.
pub fn run(tables: &mut Tables, arrivals: Vec<(Call, CallerRequest)>, cx: &mut Context<'_>) {
    for (call, caller_request) in arrivals {
        cx.out.counts.add(Count::Requests);
        route(tables, call, caller_request, cx);
    }
}

/// Hands a request to a larger VM, admits or refuses it.
pub fn route(tables: &mut Tables, call: Call, caller_request: CallerRequest, cx: &mut Context<'_>) {
    if let Some(larger) = hop::pick(tables, cx) {
        return hop::hand(tables, call, caller_request, larger, cx);
    }
    let Some(config) = tables.view.config.clone() else {
        let fault = Fault::not_run(Kind::NotReady, "this VM knows no configuration yet");
        return refuse(call, &caller_request, fault, Some(NOT_READY), cx);
    };
    match config.find(&caller_request.host, &caller_request.path) {
        Some(_) if suspect::is_held(tables, &caller_request, cx) => {
            let fault = Fault::not_run(Kind::Quarantined, "it crashed targets");
            refuse(call, &caller_request, fault, Some(suspect::HOLD), cx);
        }
        Some(route) => admit(tables, call, caller_request, &config, route, cx),
        None => {
            let detail = format!("no route at version {}", config.version);
            refuse(call, &caller_request, Fault::not_run(Kind::NotFound, detail), None, cx);
        }
    }
}

/// Forgets the request of a caller that left.
pub fn abandon(tables: &mut Tables, call: Call, cx: &mut Context<'_>) {
    if let Some(request) = tables.requests.get(&call) {
        let fields = vec![
            ("id", request.caller_request.id.to_string()),
            ("age_ms", leg::age(request.arrived, cx.now)),
        ];
        cx.out.lines.push(Line::new(Event::CallerLeft, fields));
        leg::drop_request(tables, call, leg::End::Abandoned, cx);
    }
}

fn refuse(
    call: Call,
    caller_request: &CallerRequest,
    fault: Fault,
    retry: Option<Duration>,
    cx: &mut Context<'_>,
) {
    cx.out.counts.add(Count::Refused(fault.kind));
    let fields = vec![
        ("id", caller_request.id.to_string()),
        ("kind", fault.kind.to_string()),
        ("ran", fault.ran.as_str().to_owned()),
        ("detail", fault.detail.clone()),
    ];
    cx.out.lines.push(Line::new(Event::Refused, fields));
    cx.out.answers.push((call, Answer::Refused(Refusal { fault, retry })));
}

fn admit(
    tables: &mut Tables,
    call: Call,
    caller_request: CallerRequest,
    config: &Config,
    route: &Arc<Route>,
    cx: &mut Context<'_>,
) {
    let spent = spent(tables, route, caller_request.caller_timeout) + caller_request.peer_delay;
    let wait =
        caller_request.caller_timeout.map_or(route.timeout, |patience| patience.min(route.timeout));
    let goal = cx.now + route.goal.saturating_sub(spent + GOAL_MARGIN);
    let deadline = cx.now + wait.saturating_sub(DEADLINE_MARGIN);
    let services = plan(tables, route, cx);
    let legs = u32::try_from(services.len()).unwrap_or(u32::MAX);
    let request = Request {
        caller_request: Arc::new(caller_request),
        route: Arc::clone(route),
        version: config.version,
        arrived: cx.now,
        goal: goal.min(deadline),
        deadline,
        legs,
    };
    arm(tables, call, &request);
    tables.requests.insert(call, request);
    for (index, service) in (0..legs).zip(services) {
        let key = Key { call, index };
        tables.budget(&service).record_first(cx.now, cx.limits.retry_window);
        tables.legs.insert(key, Leg::new(service));
        leg::enqueue(tables, key);
    }
}

fn arm(tables: &mut Tables, call: Call, request: &Request) {
    tables.timers.set(request.goal, Timer::Goal(call));
    tables.timers.set(request.deadline, Timer::Deadline(call));
}

/// The time that the caller spent on earlier tries: it waits that much less
/// than others of the route do.
fn spent(tables: &mut Tables, route: &Route, patience: Option<Duration>) -> Duration {
    let Some(patience) = patience else { return Duration::ZERO };
    let pace = tables.stats_of(&route.name);
    pace.longest_timeout = pace.longest_timeout.max(patience);
    pace.longest_timeout - patience
}

/// The services that get a leg of a request.
fn plan(tables: &mut Tables, route: &Route, cx: &mut Context<'_>) -> Vec<Name> {
    match &route.plan {
        Plan::Single(service) => vec![service.clone()],
        Plan::Gather(gather) => gather.shards.clone(),
        Plan::Split(parts) => {
            let turn = tables.round_robins.entry(route.name.clone()).or_default();
            turn.pick(parts, cx.random.random::<f64>()).into_iter().collect()
        }
    }
}
