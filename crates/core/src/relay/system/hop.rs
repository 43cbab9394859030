//! Hands requests over to larger VMs, and answers requests of smaller ones.
//!
//! A search over many shards costs more processor time than a small VM has
//! within its goal, and a VM that sees few requests learns too little about the
//! targets to choose and hedge well. So a VM hands its requests over to one with
//! several times its processor time, if there is one, and answers requests itself
//! only while it reaches none.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{
    Context, intake, leg,
    reach::{self, CHECK_INTERVAL, LOST_CHECK_INTERVAL},
    stop,
};
use crate::{
    count::Count,
    fault::{Fault, Kind, Ran},
    log::{Event, Line},
    name::Name,
    relay::{
        Command, Hop, Tables, hop,
        message::{Answer, Call, CallerRequest, Refusal},
        table::{
            hop::{AcceptedRequest, HandedRequest, Sender},
            timer::Timer,
        },
    },
    time::Instant,
};

/// Part of the goal that the round trip to the larger VM takes, most of it on the
/// small VM.
const ROUND_TRIP_ALLOWANCE: Duration = Duration::from_millis(12);

/// Timeout of a request whose caller states none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(60);

/// Time reserved before the deadline for the last possible answer to reach the
/// caller.
const HANDED_DEADLINE_MARGIN: Duration = Duration::from_millis(20);

/// Time for which no requests go to a VM after its connection was lost.
const LOSS_PAUSE: Duration = Duration::from_millis(500);

/// Time after the last request of another VM for which it is sent [`Hop::State`].
const STATE_UPDATE_PERIOD: Duration = Duration::from_secs(120);

/// Retry-after time of a VM that has no room for a request.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time for which a report is kept that a target is leaving. Targets end within it.
const LEAVING_MEMORY: Duration = Duration::from_secs(120);

/// The most reports that are kept; a VM gets one for each target that leaves.
const MAX_LEAVING: usize = 4096;

/// Bit that is set in the ids of requests that other VMs handed to this one, so
/// that they differ from the ids of its own callers' requests.
const HANDED_CALL_BIT: u64 = 1 << 63;

/// Hands a request over to another VM.
pub fn hand_over(
    tables: &mut Tables,
    call: Call,
    caller_request: CallerRequest,
    (to, address): (Name, SocketAddr),
    cx: &mut Context<'_>,
) {
    let timeout = caller_request.caller_timeout.unwrap_or(DEFAULT_TIMEOUT);
    let deadline = stop::limit(tables, cx.now + timeout.saturating_sub(HANDED_DEADLINE_MARGIN));
    let mut sent = caller_request.clone();
    if tables.stop_at.is_some() {
        sent.caller_timeout = Some(deadline.remaining(cx.now));
    }
    sent.peer_delay = ROUND_TRIP_ALLOWANCE;
    sent.min_version = sent.min_version.max(tables.served_version);
    let reply_to = cx.limits.address;
    let id = hop::Id { origin: cx.origin, call };
    let hop = Hop::Request { id, caller_request: Box::new(sent), reply_to };
    let row = HandedRequest {
        to: to.clone(),
        caller_request: Arc::new(caller_request),
        arrived: cx.now,
        deadline,
    };
    tables.handed.insert(call, row);
    tables.timers.set(deadline, Timer::HandedDeadline(call));
    tables.links.entry(to.clone()).or_default().open.insert((cx.now, call));
    reach::schedule_check(tables, &to, CHECK_INTERVAL, cx.now);
    cx.out.counts.add(Count::Handed);
    cx.out.commands.push(Command::Hop { to, address, hop });
}

/// Handles a message of another VM.
pub fn receive(tables: &mut Tables, from: Name, hop: Hop, cx: &mut Context<'_>) {
    if let Some(link) = tables.links.get_mut(&from) {
        link.last_received = cx.now;
        link.is_lost = false;
        link.pause_until = Instant::default();
    }
    match hop {
        Hop::Request { id, caller_request, reply_to } => {
            let own = Call(HANDED_CALL_BIT | tables.next_id());
            let is_known =
                tables.senders.insert(from.clone(), Sender { reply_to, last_request: cx.now });
            if is_known.is_none() {
                announce_stop(tables, cx);
            }
            tables.accepted.insert(own, AcceptedRequest { from, reply_to, id });
            intake::accept(tables, vec![(own, *caller_request)], cx);
        }
        Hop::Answer { id, answer, state } => {
            record_state(tables, &from, state);
            match find_handed(tables, &from, id, cx) {
                Some(row) => handle_answer(tables, id.call, &row, answer, state, cx),
                None => log_unknown(&from, id, cx),
            }
        }
        Hop::Leaving { target, born } => record_leaving(tables, target, born, cx.now),
        Hop::State(state) => record_state(tables, &from, state),
        Hop::AskState { reply_to } => {
            let hop = Hop::State(own_state(tables));
            cx.out.commands.push(Command::Hop { to: from, address: reply_to, hop });
        }
        Hop::Stopping { ends_in } => {
            if let Some(link) = tables.links.get_mut(&from) {
                link.stops_until = cx.now + ends_in;
            }
        }
        Hop::Cancel { id } => {
            let is_cancelled = |(_, accepted): &(&Call, &AcceptedRequest)| {
                accepted.from == from && accepted.id == id
            };
            let own = tables.accepted.iter().find(is_cancelled).map(|(own, _)| *own);
            if let Some(own) = own {
                tables.accepted.remove(&own);
                intake::abandon(tables, own, cx);
            }
        }
    }
}

/// Handles a message of another VM for whose body there was no room: a request is refused,
/// and an answer is replaced by one that says that the request may have run.
pub fn receive_unheld(tables: &mut Tables, from: Name, hop: Hop, cx: &mut Context<'_>) {
    let detail = "there is no room for the message between VMs";
    let (hop, address) = match hop {
        Hop::Request { id, reply_to, .. } => {
            let fault = Fault::not_run(Kind::TooManyOpen, detail);
            cx.out.counts.add(Count::Refused(fault.kind));
            let answer = Answer::Refused(Refusal { fault, retry: Some(NO_ROOM_RETRY_AFTER) });
            (Hop::Answer { id, answer, state: own_state(tables) }, reply_to)
        }
        Hop::Answer { id, state, .. } => {
            let fault = Fault::unknown(Kind::TargetFailed, detail);
            let answer = Answer::Refused(Refusal { fault, retry: None });
            return receive(tables, from, Hop::Answer { id, answer, state }, cx);
        }
        other => return receive(tables, from, other, cx),
    };
    cx.out.commands.push(Command::Hop { to: from, address, hop });
}

/// What this VM knows of the routes.
pub fn own_state(tables: &Tables) -> hop::State {
    hop::State { is_current: tables.view.is_current, version: tables.view.version() }
}

fn record_state(tables: &mut Tables, from: &Name, state: hop::State) {
    if let Some(link) = tables.links.get_mut(from) {
        link.is_stale = !state.is_current;
        link.version = Some(state.version);
    }
}

/// Returns the row of a request that this process handed to the VM `from`, if it still
/// waits for the answer.
fn find_handed(
    tables: &Tables,
    from: &Name,
    id: hop::Id,
    cx: &Context<'_>,
) -> Option<HandedRequest> {
    let row = tables.handed.get(&id.call)?;
    (id.origin == cx.origin && row.to == *from).then(|| row.clone())
}

fn log_unknown(from: &Name, id: hop::Id, cx: &mut Context<'_>) {
    let fields = vec![
        ("peer", from.to_string()),
        ("request", format!("{:016x}-{:x}", id.origin.0, id.call.0)),
        ("earlier", (id.origin != cx.origin).to_string()),
    ];
    cx.out.lines.push(Line::new(Event::HopUnknown, fields));
}

/// Passes an answer on to the caller. A refusal of a request that was not run is
/// not final if the routes of that VM may be outdated: then the request goes to
/// another VM, if one is reachable, or is served here by newer routes.
fn handle_answer(
    tables: &mut Tables,
    call: Call,
    row: &HandedRequest,
    answer: Answer,
    state: hop::State,
    cx: &mut Context<'_>,
) {
    remove_handed(tables, call);
    let is_refused = matches!(&answer, Answer::Refused(refusal) if refusal.fault.ran == Ran::No);
    let is_outdated = !state.is_current || state.version < tables.served_version;
    if is_refused && is_outdated {
        if let Some(other) = reach::best_current_vm(tables, cx) {
            return hand_over(tables, call, with_time_left(row, cx.now), other, cx);
        }
        if tables.view.is_current && tables.view.version() > state.version {
            return intake::route(tables, call, with_time_left(row, cx.now), cx);
        }
    }
    if !is_refused {
        tables.served_version = tables.served_version.max(state.version);
    }
    cx.out.answers.push((call, answer));
}

/// Tells the VMs that recently handed requests to this one what it knows of the routes.
pub fn send_state(tables: &mut Tables, cx: &mut Context<'_>) {
    let state = own_state(tables);
    tell_senders(tables, &Hop::State(state), cx);
}

/// Tells the VMs that recently handed requests to this one that it shuts down, if it does.
pub fn announce_stop(tables: &mut Tables, cx: &mut Context<'_>) {
    let Some(at) = tables.stop_at else { return };
    tell_senders(tables, &Hop::Stopping { ends_in: at.remaining(cx.now) }, cx);
}

/// Sends a message to the VMs that recently handed requests to this one.
fn tell_senders(tables: &mut Tables, hop: &Hop, cx: &mut Context<'_>) {
    let now = cx.now;
    tables.senders.retain(|_, sender| now.since(sender.last_request) < STATE_UPDATE_PERIOD);
    for (to, sender) in &tables.senders {
        let (to, address, hop) = (to.clone(), sender.reply_to, hop.clone());
        cx.out.commands.push(Command::Hop { to, address, hop });
    }
}

/// Tells the VMs that recently handed requests to this one that a target is leaving.
pub fn announce_leaving(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) {
    let Some(target) = tables.targets.get(id) else { return };
    let hop = Hop::Leaving { target: id.clone(), born: target.entry.born };
    tell_senders(tables, &hop, cx);
}

/// Records that another VM knows a target to be leaving.
fn record_leaving(tables: &mut Tables, id: Name, born: u64, now: Instant) {
    if let Some(target) = tables.targets.get_mut(&id)
        && target.entry.born == born
    {
        target.leaving_since.get_or_insert(now);
    }
    tables.leaving.retain(|_, since| now.since(*since) < LEAVING_MEMORY);
    if tables.leaving.len() < MAX_LEAVING {
        tables.leaving.insert((id, born), now);
    }
}

/// Removes the row of a request that was handed to another VM, with its timer;
/// returns false if there is none.
fn remove_handed(tables: &mut Tables, call: Call) -> bool {
    let Some(row) = tables.handed.remove(&call) else { return false };
    tables.timers.cancel(row.deadline, Timer::HandedDeadline(call));
    if let Some(link) = tables.links.get_mut(&row.to) {
        link.open.remove(&(row.arrived, call));
    }
    true
}

/// Shortens the time for which this VM waits for answers of other VMs until `at`.
pub fn shorten_handed(tables: &mut Tables, at: Instant) {
    for (call, row) in tables.handed.iter_mut().filter(|(_, row)| row.deadline > at) {
        tables.timers.cancel(row.deadline, Timer::HandedDeadline(*call));
        row.deadline = at;
        tables.timers.set(at, Timer::HandedDeadline(*call));
    }
}

/// Withdraws a request from the VM that has it, because its caller left.
pub fn withdraw(tables: &mut Tables, call: Call, cx: &mut Context<'_>) {
    cancel(tables, call, cx);
    remove_handed(tables, call);
}

/// Tells the VM that has a request that its answer is no longer needed.
fn cancel(tables: &Tables, call: Call, cx: &mut Context<'_>) {
    let id = hop::Id { origin: cx.origin, call };
    let Some(to) = tables.handed.get(&call).map(|row| row.to.clone()) else { return };
    if let Some(address) = tables.view.larger.get(&to).map(|vm| vm.address) {
        cx.out.commands.push(Command::Hop { to, address, hop: Hop::Cancel { id } });
    }
}

/// Refuses a request that another VM did not answer before its deadline, and withdraws
/// it: that VM may have been paused, and would run the request for nobody.
pub fn expire(tables: &mut Tables, call: Call, cx: &mut Context<'_>) {
    cancel(tables, call, cx);
    refuse(tables, call, Kind::DeadlinePassed, "no answer before the deadline", cx);
}

/// Ends the requests that a VM has when the connection to it is lost. If it cannot
/// have received any of them (`maybe_received` is false), they are routed again
/// instead.
pub fn connection_lost(
    tables: &mut Tables,
    to: &Name,
    detail: &str,
    maybe_received: bool,
    cx: &mut Context<'_>,
) {
    let Some(link) = tables.links.get_mut(to) else { return };
    link.pause_until = cx.now + LOSS_PAUSE;
    link.is_lost = true;
    link.stops_until = Instant::default();
    let open: Vec<Call> = link.open.iter().map(|(_, call)| *call).collect();
    let fields = vec![
        ("peer", to.to_string()),
        ("taken", maybe_received.to_string()),
        ("detail", detail.to_owned()),
    ];
    cx.out.lines.push(Line::new(Event::HopLost, fields));
    if reach::is_stale(tables, to) {
        reach::schedule_check(tables, to, LOST_CHECK_INTERVAL, cx.now);
    }
    for call in open {
        if maybe_received {
            refuse(
                tables,
                call,
                Kind::TargetFailed,
                "the connection to the VM that had the request was lost",
                cx,
            );
        } else {
            reroute(tables, call, cx);
        }
    }
}

/// Routes a request again that its VM did not receive, with the time that is left.
fn reroute(tables: &mut Tables, call: Call, cx: &mut Context<'_>) {
    let Some(row) = tables.handed.get(&call).cloned() else { return };
    remove_handed(tables, call);
    intake::route(tables, call, with_time_left(&row, cx.now), cx);
}

/// Returns the request of a row with the time that its caller still waits.
fn with_time_left(row: &HandedRequest, now: Instant) -> CallerRequest {
    let mut caller_request = CallerRequest::clone(&row.caller_request);
    let age = now.since(row.arrived);
    caller_request.caller_timeout =
        caller_request.caller_timeout.map(|timeout| timeout.saturating_sub(age));
    caller_request
}

fn refuse(tables: &mut Tables, call: Call, kind: Kind, detail: &str, cx: &mut Context<'_>) {
    let Some(row) = tables.handed.get(&call).cloned() else { return };
    remove_handed(tables, call);
    cx.out.counts.add(Count::Refused(kind));
    let fields = vec![
        ("id", row.caller_request.id.to_string()),
        ("kind", kind.to_string()),
        ("peer", row.to.to_string()),
        ("age_ms", leg::age_ms(row.arrived, cx.now)),
        ("detail", detail.to_owned()),
    ];
    cx.out.lines.push(Line::new(Event::Refused, fields));
    let fault = Fault::unknown(kind, detail);
    cx.out.answers.push((call, Answer::Refused(Refusal { fault, retry: None })));
}

/// Sends the answers to requests that other VMs handed to this one.
pub fn send_answers(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.accepted.is_empty() {
        return;
    }
    let answers = std::mem::take(&mut cx.out.answers);
    for (call, answer) in answers {
        match tables.accepted.remove(&call) {
            Some(AcceptedRequest { from, reply_to, id }) => {
                let state = own_state(tables);
                let hop = Hop::Answer { id, answer, state };
                cx.out.commands.push(Command::Hop { to: from, address: reply_to, hop });
            }
            None => cx.out.answers.push((call, answer)),
        }
    }
}
