//! Handles the timers that are due.

use super::{Context, connect, dispatch, hop, reach, stop};
use crate::{
    name::Name,
    relay::{self, Tables, table::timer::Timer},
};

/// Removes every timer that is due and runs its action.
pub fn run_due_timers(tables: &mut Tables, cx: &mut Context<'_>) {
    while let Some(timer) = tables.timers.pop(cx.now) {
        match timer {
            Timer::Goal(call) | Timer::Deadline(call) => {
                tables.changed.insert(call);
            }
            Timer::HandedDeadline(call) => hop::expire(tables, call, cx),
            Timer::Check(vm) => reach::check(tables, &vm, cx),
            Timer::Hedge(key) => dispatch::hedge(tables, key, cx),
            Timer::Orphan(attempt) => close_orphan(tables, attempt, cx),
            Timer::Pause(target) | Timer::Warm(target) => {
                open_first_connection(tables, &target, cx)
            }
            // The queued legs are dispatched in every tick.
            Timer::Backoff(_) => {}
            Timer::Stop => stop::end(tables),
        }
    }
}

/// Closes the connection of an attempt whose reply no leg needs any more.
fn close_orphan(tables: &mut Tables, attempt: relay::Attempt, cx: &mut Context<'_>) {
    let Some(row) = tables.attempts.get(&attempt) else { return };
    if row.leg.is_some() {
        return;
    }
    let row = row.clone();
    tables.attempts.remove(&attempt);
    let usual = tables.stats_of(&row.route).latency.mean().as_secs_f64();
    if let Some(target) = tables.targets.get_mut(&row.target) {
        target.running.remove(&(row.sent, attempt));
        if usual > 0.0 {
            target.record_overdue(cx.now.since(row.sent).as_secs_f64() / usual, cx.now);
        }
    }
    connect::close(tables, row.connection, cx);
    cx.out.counts.add(crate::count::Count::Cancelled);
    connect::prune(tables, &row.target);
}

/// Opens a connection to a target that has none. The cost of a target without an
/// open connection includes the time to open one, so it would rarely be chosen
/// and the other targets would carry its load.
fn open_first_connection(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) {
    let Some(target) = tables.targets.get(id) else { return };
    if target.is_usable && !target.is_leaving() && target.connections.is_empty() {
        connect::open(tables, id, cx);
    }
}
