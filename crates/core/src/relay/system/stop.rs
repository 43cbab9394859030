//! Ends the work of a VM that shuts down in time: before the end of its process, each
//! request is answered, and other VMs hand over no more of them.

use super::{Context, hop};
use crate::{
    relay::{Route, Tables, message::Call, table::timer::Timer},
    time::Instant,
};

/// Begins the shutdown: requests are answered by `at`. A request that cannot be served
/// until then is refused at once, as its caller can still turn to another VM.
pub fn begin(tables: &mut Tables, at: Instant, cx: &mut Context<'_>) {
    tables.stop_at = Some(at);
    tables.timers.set(at, Timer::Stop);
    let open: Vec<Call> = tables.requests.keys().copied().collect();
    for call in open {
        shorten(tables, call, at);
    }
    hop::shorten_handed(tables, at);
    hop::announce_stop(tables, cx);
}

/// Returns a deadline that is no later than the end of the shutdown, if there is one.
pub fn limit(tables: &Tables, deadline: Instant) -> Instant {
    tables.stop_at.map_or(deadline, |at| deadline.min(at))
}

/// Returns whether a route's requests can still be served. With less time than the goal of
/// the route, most would end without a reply of a target, although another VM could serve
/// them.
pub fn has_time(tables: &Tables, route: &Route, now: Instant) -> bool {
    tables.stop_at.is_none_or(|at| at.remaining(now) >= route.goal)
}

/// Records whether a request is open at the end of the shutdown.
pub fn end(tables: &mut Tables) {
    tables.is_cut_short = !tables.requests.is_empty() || !tables.handed.is_empty();
}

fn shorten(tables: &mut Tables, call: Call, at: Instant) {
    let Some(request) = tables.requests.get_mut(&call) else { return };
    if request.deadline <= at {
        return;
    }
    tables.timers.cancel(request.deadline, Timer::Deadline(call));
    tables.timers.cancel(request.goal, Timer::Goal(call));
    request.deadline = at;
    request.goal = request.goal.min(at);
    tables.timers.set(request.goal, Timer::Goal(call));
    tables.timers.set(request.deadline, Timer::Deadline(call));
}
