//! The systems of a traffic thread that forwards requests.
//!
//! Each tick they run over the tables in the order of [`run`].

pub mod refresh;
pub mod collect;
pub mod expire;
pub mod hop;
pub mod reach;
pub mod intake;
pub mod dispatch;
pub mod answer;
pub mod connect;
pub mod leg;
pub mod suspect;
pub mod stop;
pub mod merge;

use rand::rngs::StdRng;

use super::{Event, Limits, Outbox, Tables, policy::Policies};
use crate::{id::Origin, time::Instant};

/// The inputs and the outbox that every system shares within one tick.
pub struct Context<'a> {
    /// The time of this tick, the same for all systems.
    pub now: Instant,
    pub limits: &'a Limits,
    pub policies: &'a Policies,
    /// The seeded random number generator of the thread.
    pub random: &'a mut StdRng,
    /// The start of this thread.
    pub origin: Origin,
    /// Collects commands, answers, log lines and counts for the caller to carry out.
    pub out: &'a mut Outbox,
}

/// Runs one tick: applies the events, then runs every system once.
pub fn run(tables: &mut Tables, events: Vec<Event>, cx: &mut Context<'_>) {
    if tables.started == Instant::default() {
        tables.started = cx.now;
    }
    let mut arrivals = Vec::new();
    for event in events {
        match event {
            Event::View(view) => refresh::apply_view(tables, view, cx),
            Event::Arrived { call, caller_request } => arrivals.push((call, caller_request)),
            Event::Abandoned { call } => {
                hop::withdraw(tables, call, cx);
                intake::abandon(tables, call, cx);
            }
            Event::Stopping { at } => stop::begin(tables, at, cx),
            Event::Suspicions(suspicions) => suspect::receive(tables, suspicions, cx),
            Event::Hop { from, hop } => hop::receive(tables, from, hop, cx),
            Event::HopLost { to, detail, maybe_received } => {
                hop::connection_lost(tables, &to, &detail, maybe_received, cx)
            }
            Event::Opened { connection } => collect::opened(tables, connection, cx),
            Event::Replied { connection, attempt, reply } => {
                collect::replied(tables, connection, attempt, *reply, cx);
            }
            Event::Unheld { connection, attempt, sent } => {
                collect::unheld(tables, connection, attempt, sent, cx);
            }
            Event::HopUnheld { from, hop } => hop::receive_unheld(tables, from, hop, cx),
            Event::Closed { connection, loss } => collect::closed(tables, connection, &loss, cx),
        }
    }
    expire::run_due_timers(tables, cx);
    suspect::end_quarantined_legs(tables, cx);
    intake::accept(tables, arrivals, cx);
    dispatch::dispatch_queued(tables, cx);
    answer::answer_changed(tables, cx);
    hop::send_answers(tables, cx);
}
