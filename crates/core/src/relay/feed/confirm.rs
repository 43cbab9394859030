//! Bounds the time for which a VM relies on a watch that may be lost.
//!
//! Each answer of the store confirms which change is its newest. A VM passes that on to
//! all others, so that one call confirms the state of the whole fleet. A VM that gets no
//! confirmation in time checks the store itself: whether the others are gone, cut off or
//! late makes no difference to it, and entries of VMs that are gone cost it nothing. See
//! `docs/design/platform.md`.

use std::time::Duration;

use rand::RngExt;

use super::{
    Limits,
    context::Context,
    probe, progress,
    table::{Purpose, Role, Tables},
};
use crate::time::Instant;

/// The part of the limit that is added at random at most, so that VMs that miss the same
/// confirmation do not check at the same moment.
const MAX_SPREAD: f64 = 0.2;

/// Records that the store or another VM has just confirmed the newest change.
pub fn record(tables: &mut Tables, cx: &mut Context<'_>) {
    tables.confirmed_at = cx.now;
    rely_on_watch(tables, cx);
}

/// Starts the time for which this VM relies on its watch without a confirmation.
pub fn rely_on_watch(tables: &mut Tables, cx: &mut Context<'_>) {
    let spread = MAX_SPREAD * cx.random.random::<f64>();
    tables.confirm_by = Some(cx.now + cx.limits.confirmation_limit.mul_f64(1.0 + spread));
}

/// Records that the store has told this VM that it has read the newest change, and tells
/// the others unless one of them has just told the same.
pub fn record_own(tables: &mut Tables, cx: &mut Context<'_>) {
    let is_news = cx.now.since(tables.confirmed_at) >= shortest_interval(cx.limits);
    record(tables, cx);
    if is_news && tables.role == Role::Forwarding {
        progress::send_to_all(tables, cx);
    }
}

/// Two VMs that confirm the same change shortly after each other need not both tell it.
fn shortest_interval(limits: &Limits) -> Duration {
    limits.watch_spacing.mul_f64(0.8)
}

/// Returns when this VM checks the store if nothing is confirmed until then. Only an open
/// watch can be lost without notice; a check that runs finds out by itself.
pub fn due(tables: &Tables) -> Option<Instant> {
    let is_watching = matches!(tables.call, Some((_, Purpose::Watch)));
    let is_relying = is_watching && tables.probe.is_none() && tables.role == Role::Forwarding;
    tables.confirm_by.filter(|_| is_relying)
}

/// Checks the store if nothing was confirmed in time.
pub fn check_if_overdue(tables: &mut Tables, cx: &mut Context<'_>) {
    if due(tables).is_some_and(|at| at <= cx.now) {
        probe::doubt(tables, cx);
    }
}
