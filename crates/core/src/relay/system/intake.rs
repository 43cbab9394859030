//! Accepts callers' requests: finds the route and creates the legs.

use std::{sync::Arc, time::Duration};

use rand::RngExt;

use super::{Context, hop, leg, reach, stop, suspect};
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

/// Time reserved for the network on both ways between the caller and this VM, which takes
/// up to 6 ms, and for reading the request and writing the answer on a VM with a small
/// part of a core. The goal is measured at the caller, and an answer that misses it loses
/// more than the parts that it left out to be in time.
const GOAL_MARGIN: Duration = Duration::from_millis(14);

/// Time reserved in the same way before the deadline, so that the last possible
/// answer arrives before the caller gives up.
const DEADLINE_MARGIN: Duration = Duration::from_millis(12);

/// Retry-after time that a VM without a configuration tells its callers.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Retry-after time of a VM that shuts down, whose callers turn to other VMs.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Counts and routes requests that arrived from callers or other VMs.
pub fn accept(tables: &mut Tables, arrivals: Vec<(Call, CallerRequest)>, cx: &mut Context<'_>) {
    for (call, caller_request) in arrivals {
        cx.out.counts.add(Count::Requests);
        route(tables, call, caller_request, cx);
    }
}

/// Hands a request to a larger VM, admits it or refuses it.
pub fn route(tables: &mut Tables, call: Call, caller_request: CallerRequest, cx: &mut Context<'_>) {
    if let Some(larger) = reach::pick_vm(tables, cx) {
        return hop::hand_over(tables, call, caller_request, larger, cx);
    }
    let Some(config) = tables.view.config.clone() else {
        let fault = Fault::not_run(Kind::NotReady, "this VM knows no configuration yet");
        return refuse(call, &caller_request, fault, Some(NOT_READY_RETRY_AFTER), cx);
    };
    let min_version = caller_request.min_version.max(tables.served_version);
    if config.version < min_version {
        let detail = format!("version {} is older than {min_version}", config.version);
        let fault = Fault::not_run(Kind::NotReady, detail);
        return refuse(call, &caller_request, fault, Some(NOT_READY_RETRY_AFTER), cx);
    }
    let (found, allowed) = (caller_request.message.body.len(), config.bounds.body);
    if found > allowed {
        // The VM that handed the request over may know no configuration.
        let detail = format!("body: found {found} bytes, allowed are {allowed} bytes");
        return refuse(call, &caller_request, Fault::not_run(Kind::TooLarge, detail), None, cx);
    }
    let quarantine_left = suspect::quarantine_left(tables, &caller_request, cx);
    match config.find(&caller_request.host, &caller_request.path) {
        Some(_) if quarantine_left.is_some() => {
            let fault = Fault::not_run(
                Kind::Quarantined,
                "the request is quarantined because it crashed targets",
            );
            refuse(call, &caller_request, fault, quarantine_left, cx);
        }
        Some(route) if !stop::has_time(tables, route, cx.now) => {
            let fault = Fault::not_run(Kind::NotReady, "the VM shuts down");
            refuse(call, &caller_request, fault, Some(STOPPING_RETRY_AFTER), cx);
        }
        Some(route) => admit(tables, call, caller_request, &config, route, cx),
        None => {
            let detail = format!("no route at version {}", config.version);
            refuse(call, &caller_request, Fault::not_run(Kind::NotFound, detail), None, cx);
        }
    }
}

/// Drops the request of a caller that disconnected before its answer.
pub fn abandon(tables: &mut Tables, call: Call, cx: &mut Context<'_>) {
    if let Some(request) = tables.requests.get(&call) {
        let fields = vec![
            ("id", request.caller_request.id.to_string()),
            ("age_ms", leg::age_ms(request.arrived, cx.now)),
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
    let elapsed =
        elapsed_at_caller(tables, route, caller_request.caller_timeout) + caller_request.peer_delay;
    let timeout =
        caller_request.caller_timeout.map_or(route.timeout, |timeout| timeout.min(route.timeout));
    let goal = cx.now + route.goal.saturating_sub(elapsed + GOAL_MARGIN);
    let deadline = stop::limit(tables, cx.now + timeout.saturating_sub(DEADLINE_MARGIN));
    let services = pick_services(tables, route, cx);
    let legs = u32::try_from(services.len()).unwrap_or(u32::MAX);
    tables.served_version = tables.served_version.max(config.version);
    let request = Request {
        caller_request: Arc::new(caller_request),
        route: Arc::clone(route),
        version: config.version,
        arrived: cx.now,
        goal: goal.min(deadline),
        deadline,
        legs,
    };
    set_timers(tables, call, &request);
    tables.requests.insert(call, request);
    for (index, service) in (0..legs).zip(services) {
        let key = Key { call, index };
        tables.budget(&service).record_first(cx.now, cx.limits.retry_window);
        tables.legs.insert(key, Leg::new(service));
        leg::enqueue(tables, key);
    }
}

fn set_timers(tables: &mut Tables, call: Call, request: &Request) {
    tables.timers.set(request.goal, Timer::Goal(call));
    tables.timers.set(request.deadline, Timer::Deadline(call));
}

/// Estimates the time that the caller spent on earlier tries: the difference between the
/// timeout that callers of the route state at their first try and its own.
fn elapsed_at_caller(
    tables: &mut Tables,
    route: &Route,
    caller_timeout: Option<Duration>,
) -> Duration {
    let Some(timeout) = caller_timeout else { return Duration::ZERO };
    let timeouts = &mut tables.stats_of(&route.name).timeouts;
    timeouts.record(timeout);
    timeouts.of_first_try().saturating_sub(timeout)
}

/// Returns the services that get a leg of a request, one per leg.
fn pick_services(tables: &mut Tables, route: &Route, cx: &mut Context<'_>) -> Vec<Name> {
    match &route.plan {
        Plan::Single(service) => vec![service.clone()],
        Plan::Gather(gather) => gather.shards.clone(),
        Plan::Split(services) => {
            let round_robin = tables.round_robins.entry(route.name.clone()).or_default();
            round_robin.pick(services, cx.random.random::<f64>()).into_iter().collect()
        }
    }
}
