//! Chooses the larger VM that gets the next request, and checks whether larger VMs answer.

use std::{net::SocketAddr, time::Duration};

use super::Context;
use crate::{
    name::Name,
    rank,
    relay::{
        Command, Hop, Reach, Tables,
        table::{hop::Link, timer::Timer},
        view::Vm,
    },
    time::Instant,
};

/// Time without any message from a VM that has unanswered requests, after which
/// new requests go to another VM.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Time without any message from a VM that has unanswered requests, after which it is asked
/// for a sign. It may work on a long request.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(150);

/// Time between two checks of a VM that was lost while the store did not answer it. It may
/// have been started again, and would not be asked otherwise.
pub const LOST_CHECK_INTERVAL: Duration = Duration::from_secs(2);

/// Returns the larger VM that gets the next request, if there is one: a VM that
/// the store answers, or any reachable one while this VM has no current
/// configuration itself.
pub fn pick_vm(tables: &Tables, cx: &Context<'_>) -> Option<(Name, SocketAddr)> {
    let is_own_current = tables.view.config.is_some() && tables.view.is_current;
    best_current_vm(tables, cx)
        .or_else(|| if is_own_current { None } else { best_vm(tables, cx, |_| true) })
}

/// Returns the best larger VM that the store answers and that does not shut down.
pub fn best_current_vm(tables: &Tables, cx: &Context<'_>) -> Option<(Name, SocketAddr)> {
    best_vm(tables, cx, |name| !is_stale(tables, name) && !is_stopping(tables, name, cx.now))
}

/// Returns the reachable larger VM with the highest rank among those that are `wanted`: those
/// that do not shut down come first, then those in the same failure domain, and rendezvous
/// hashing picks one of them.
fn best_vm(
    tables: &Tables,
    cx: &Context<'_>,
    wanted: impl Fn(&Name) -> bool,
) -> Option<(Name, SocketAddr)> {
    let larger = tables.view.larger.iter();
    let reachable = larger.filter(|(name, _)| is_reachable(tables, name, cx.now) && wanted(name));
    let rank = |(name, vm): &(&Name, &Vm)| {
        let is_staying = !is_stopping(tables, name, cx.now);
        let is_near = vm.domain == cx.limits.domain;
        (is_staying, is_near, rank::weight(rank::seed(&[cx.limits.vm.as_str()]), name))
    };
    let (name, vm) = reachable.max_by_key(rank)?;
    Some((name.clone(), vm.address))
}

fn is_reachable(tables: &Tables, name: &Name, now: Instant) -> bool {
    let Some(link) = tables.links.get(name) else { return true };
    let waits_since = link.open.first().map_or(now, |(since, _)| (*since).max(link.last_received));
    link.pause_until <= now && now.since(waits_since) < SILENCE_TIMEOUT
}

/// Whether a VM reported that the store does not answer it, or has older routes than callers
/// of this VM were served by.
pub fn is_stale(tables: &Tables, name: &Name) -> bool {
    let is_behind = |link: &Link| link.version.is_some_and(|own| own < tables.served_version);
    tables.links.get(name).is_some_and(|link| link.is_stale || is_behind(link))
}

fn is_stopping(tables: &Tables, name: &Name, now: Instant) -> bool {
    tables.links.get(name).is_some_and(|link| link.stops_until > now)
}

/// Returns whether this VM reaches larger VMs. One whose connection was lost counts
/// again when a message from it arrives.
pub fn reach(tables: &Tables, now: Instant) -> Reach {
    let larger = &tables.view.larger;
    let is_lost = |name: &Name| tables.links.get(name).is_some_and(|link| link.is_lost);
    let is_served =
        |name: &&Name| is_reachable(tables, name, now) && !is_stopping(tables, name, now);
    let mut reachable = larger.keys().filter(|name| is_served(name) && !is_lost(name)).peekable();
    if larger.is_empty() {
        Reach::Served
    } else if reachable.peek().is_none() {
        Reach::Lost
    } else if reachable.all(|name| is_stale(tables, name)) {
        Reach::Stale
    } else {
        Reach::Served
    }
}

/// Sets the timer for the next check of a VM, unless one is set.
pub fn schedule_check(tables: &mut Tables, name: &Name, interval: Duration, now: Instant) {
    let Some(link) = tables.links.get_mut(name) else { return };
    if !std::mem::replace(&mut link.is_checked, true) {
        tables.timers.set(now + interval, Timer::Check(name.clone()));
    }
}

/// Asks a VM for a sign if it has kept a request for some time without any, or if it was
/// lost and would not be asked otherwise.
pub fn check(tables: &mut Tables, name: &Name, cx: &mut Context<'_>) {
    let is_stale = is_stale(tables, name);
    let Some(link) = tables.links.get_mut(name) else { return };
    link.is_checked = false;
    let Some(address) = tables.view.larger.get(name).map(|vm| vm.address) else { return };
    let waits_since = link.open.first().map(|(since, _)| (*since).max(link.last_received));
    let is_silent = waits_since.is_some_and(|since| cx.now.since(since) >= CHECK_INTERVAL);
    let is_forgotten = link.is_lost && is_stale;
    if is_silent || is_forgotten {
        let hop = Hop::AskState { reply_to: cx.limits.address };
        cx.out.commands.push(Command::Hop { to: name.clone(), address, hop });
    }
    if is_forgotten {
        schedule_check(tables, name, LOST_CHECK_INTERVAL, cx.now);
    } else if waits_since.is_some() {
        schedule_check(tables, name, CHECK_INTERVAL, cx.now);
    }
}
