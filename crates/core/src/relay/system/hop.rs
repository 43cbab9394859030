//! Hands requests to larger VMs, and answers for smaller ones.
//!
//! A search over many shards costs more processor time than a small VM has
//! within its goal, and a VM that sees few requests learns too little of the
//! targets to choose and hedge well. So a VM hands its requests to one with
//! several times its processor time, if there is any, and answers itself only
//! while it reaches none.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use super::{Context, intake, leg};
use crate::{
    count::Count,
    fault::{Fault, Kind, Ran},
    log::{Event, Line},
    name::Name,
    rank,
    relay::{
        Command, Hop, Tables,
        message::{Answer, Call, CallerRequest, Refusal},
        table::{
            hop::{AcceptedRequest, HandedRequest, Sender},
            timer::Timer,
        },
        view::Vm,
    },
    time::Instant,
};

/// The part of the goal that the way to the other VM and back takes, most of it
/// on the small one.
const DETOUR: Duration = Duration::from_millis(12);

/// The time that a request without a stated wait is given.
const PATIENCE: Duration = Duration::from_secs(60);

/// What the last answer needs on its way to the caller.
const MARGIN: Duration = Duration::from_millis(20);

/// The pause after a loss.
const PAUSE: Duration = Duration::from_millis(500);

/// The time without an answer or any other word after which requests go to
/// another VM.
const SILENCE: Duration = Duration::from_millis(400);

/// The time for which a VM that asked is told whether the store is heard from.
const REMEMBERED: Duration = Duration::from_secs(120);

/// Marks the ids of requests that other VMs handed to this one.
const TAKEN: u64 = 1 << 63;

/// The larger VM that gets the next request, if there is one to prefer: one that
/// hears from the store, or any while this VM does not hear from it either.
pub fn pick(tables: &Tables, cx: &Context<'_>) -> Option<(Name, SocketAddr)> {
    let is_own_current = tables.view.config.is_some() && tables.view.is_current;
    best(tables, cx, true).or_else(|| if is_own_current { None } else { best(tables, cx, false) })
}

/// The nearest larger VM in reach.
fn best(tables: &Tables, cx: &Context<'_>, is_current: bool) -> Option<(Name, SocketAddr)> {
    let larger = tables.view.larger.iter();
    let reachable = larger.filter(|(name, _)| {
        is_heard(tables, name, cx.now) && !(is_current && is_stale(tables, name))
    });
    let rank = |(name, vm): &(&Name, &Vm)| {
        let is_near = vm.domain == cx.limits.domain;
        (is_near, rank::weight(rank::seed(&[cx.limits.vm.as_str()]), name))
    };
    let (name, vm) = reachable.max_by_key(rank)?;
    Some((name.clone(), vm.address))
}

fn is_heard(tables: &Tables, name: &Name, now: Instant) -> bool {
    let Some(link) = tables.links.get(name) else { return true };
    let waits_since = link.open.first().map_or(now, |(since, _)| (*since).max(link.heard));
    link.pause_until <= now && now.since(waits_since) < SILENCE
}

fn is_stale(tables: &Tables, name: &Name) -> bool {
    tables.links.get(name).is_some_and(|link| link.is_stale)
}

/// Whether no larger VM that hears from the store is in reach, so that this one
/// must know the routes.
pub fn is_alone(tables: &Tables, now: Instant) -> bool {
    let larger = &tables.view.larger;
    let is_served = |name: &Name| is_heard(tables, name, now) && !is_stale(tables, name);
    !larger.is_empty() && !larger.keys().any(is_served)
}

/// Hands a request to another VM.
pub fn hand(
    tables: &mut Tables,
    call: Call,
    caller_request: CallerRequest,
    (to, address): (Name, SocketAddr),
    cx: &mut Context<'_>,
) {
    let wait = caller_request.caller_timeout.unwrap_or(PATIENCE);
    let deadline = cx.now + wait.saturating_sub(MARGIN);
    let mut asked = caller_request.clone();
    asked.peer_delay = DETOUR;
    let reply_to = cx.limits.address;
    let hop = Hop::Request { call, caller_request: Box::new(asked), reply_to };
    let row = HandedRequest {
        to: to.clone(),
        caller_request: Arc::new(caller_request),
        arrived: cx.now,
        deadline,
    };
    tables.handed.insert(call, row);
    tables.timers.set(deadline, Timer::HandedDeadline(call));
    tables.links.entry(to.clone()).or_default().open.insert((cx.now, call));
    cx.out.counts.add(Count::Handed);
    cx.out.commands.push(Command::Hop { to, address, hop });
}

/// Takes what another VM says.
pub fn take(tables: &mut Tables, from: Name, hop: Hop, cx: &mut Context<'_>) {
    if let Some(link) = tables.links.get_mut(&from) {
        link.heard = cx.now;
        link.pause_until = Instant::default();
    }
    match hop {
        Hop::Request { call, caller_request, reply_to } => {
            let own = Call(TAKEN | tables.next_id());
            tables.senders.insert(from.clone(), Sender { reply_to, last_request: cx.now });
            tables.accepted.insert(own, AcceptedRequest { from, reply_to, call });
            intake::run(tables, vec![(own, *caller_request)], cx);
        }
        Hop::Answer { call, answer, is_current } => {
            set_stale(tables, &from, !is_current);
            answered(tables, call, answer, is_current, cx);
        }
        Hop::State { is_current } => set_stale(tables, &from, !is_current),
        Hop::Cancel { call } => {
            let is_it =
                |(_, taken): &(&Call, &AcceptedRequest)| taken.from == from && taken.call == call;
            let own = tables.accepted.iter().find(is_it).map(|(own, _)| *own);
            if let Some(own) = own {
                tables.accepted.remove(&own);
                intake::abandon(tables, own, cx);
            }
        }
    }
}

fn set_stale(tables: &mut Tables, from: &Name, is_stale: bool) {
    if let Some(link) = tables.links.get_mut(from) {
        link.is_stale = is_stale;
    }
}

/// Passes an answer on. A refusal of a VM whose routes may be old, of which
/// nothing ran, is no last word while another VM can be asked.
fn answered(
    tables: &mut Tables,
    call: Call,
    answer: Answer,
    is_current: bool,
    cx: &mut Context<'_>,
) {
    let Some(row) = tables.handed.get(&call).cloned() else { return };
    forget(tables, call);
    let is_refused = matches!(&answer, Answer::Refused(refusal) if refusal.fault.ran == Ran::No);
    let other = if is_refused && !is_current { best(tables, cx, true) } else { None };
    if let Some(other) = other {
        hand(tables, call, CallerRequest::clone(&row.caller_request), other, cx);
        return;
    }
    cx.out.answers.push((call, answer));
}

/// Tells the VMs that hand requests to this one whether it hears from the store.
pub fn tell(tables: &mut Tables, cx: &mut Context<'_>) {
    let now = cx.now;
    tables.senders.retain(|_, asker| now.since(asker.last_request) < REMEMBERED);
    for (to, asker) in &tables.senders {
        let hop = Hop::State { is_current: tables.view.is_current };
        cx.out.commands.push(Command::Hop { to: to.clone(), address: asker.reply_to, hop });
    }
}

/// Forgets a request that was handed to another VM.
fn forget(tables: &mut Tables, call: Call) -> bool {
    let Some(row) = tables.handed.remove(&call) else { return false };
    tables.timers.cancel(row.deadline, Timer::HandedDeadline(call));
    if let Some(link) = tables.links.get_mut(&row.to) {
        link.open.remove(&(row.arrived, call));
    }
    true
}

/// Takes a request back whose caller went away.
pub fn withdraw(tables: &mut Tables, call: Call, cx: &mut Context<'_>) {
    let Some(to) = tables.handed.get(&call).map(|row| row.to.clone()) else { return };
    forget(tables, call);
    if let Some(address) = tables.view.larger.get(&to).map(|vm| vm.address) {
        cx.out.commands.push(Command::Hop { to, address, hop: Hop::Cancel { call } });
    }
}

/// Ends a request that was not answered in time.
pub fn expire(tables: &mut Tables, call: Call, cx: &mut Context<'_>) {
    refuse(tables, call, Kind::DeadlinePassed, "no answer in time", cx);
}

/// Ends the requests of a VM whose connection is lost. Those that it did not
/// take go another way.
pub fn lost(tables: &mut Tables, to: &Name, detail: &str, taken: bool, cx: &mut Context<'_>) {
    let Some(link) = tables.links.get_mut(to) else { return };
    link.pause_until = cx.now + PAUSE;
    let open: Vec<Call> = link.open.iter().map(|(_, call)| *call).collect();
    let fields =
        vec![("peer", to.to_string()), ("taken", taken.to_string()), ("detail", detail.to_owned())];
    cx.out.lines.push(Line::new(Event::HopLost, fields));
    for call in open {
        if taken {
            refuse(tables, call, Kind::TargetFailed, "the VM that had it is lost", cx);
        } else {
            go_round(tables, call, cx);
        }
    }
}

/// Takes a request that no VM took another way, with the time that is left.
fn go_round(tables: &mut Tables, call: Call, cx: &mut Context<'_>) {
    let Some(row) = tables.handed.get(&call).cloned() else { return };
    forget(tables, call);
    let mut caller_request = CallerRequest::clone(&row.caller_request);
    let age = cx.now.since(row.arrived);
    caller_request.caller_timeout =
        caller_request.caller_timeout.map(|patience| patience.saturating_sub(age));
    intake::route(tables, call, caller_request, cx);
}

fn refuse(tables: &mut Tables, call: Call, kind: Kind, detail: &str, cx: &mut Context<'_>) {
    let Some(row) = tables.handed.get(&call).cloned() else { return };
    forget(tables, call);
    cx.out.counts.add(Count::Refused(kind));
    let fields = vec![
        ("id", row.caller_request.id.to_string()),
        ("kind", kind.to_string()),
        ("peer", row.to.to_string()),
        ("age_ms", leg::age(row.arrived, cx.now)),
        ("detail", detail.to_owned()),
    ];
    cx.out.lines.push(Line::new(Event::Refused, fields));
    let fault = Fault::unknown(kind, detail);
    cx.out.answers.push((call, Answer::Refused(Refusal { fault, retry: None })));
}

/// Sends the answers for other VMs on their way.
pub fn deliver(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.accepted.is_empty() {
        return;
    }
    let answers = std::mem::take(&mut cx.out.answers);
    for (call, answer) in answers {
        match tables.accepted.remove(&call) {
            Some(AcceptedRequest { from, reply_to, call }) => {
                let is_current = tables.view.is_current;
                let hop = Hop::Answer { call, answer, is_current };
                cx.out.commands.push(Command::Hop { to: from, address: reply_to, hop });
            }
            None => cx.out.answers.push((call, answer)),
        }
    }
}
