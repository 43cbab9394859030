//! The systems, in the order in which they run each tick.

pub mod refresh;
pub mod collect;
pub mod expire;
pub mod hop;
pub mod intake;
pub mod dispatch;
pub mod answer;
pub mod connect;
pub mod leg;
pub mod suspect;
pub mod merge;

use rand::rngs::StdRng;

use super::{Event, Limits, Outbox, Tables, policy::Policies};
use crate::time::Instant;

/// What every system works with.
pub struct Context<'a> {
    /// Now.
    pub now: Instant,
    /// The limits.
    pub limits: &'a Limits,
    /// The policies.
    pub policies: &'a Policies,
    /// The source of randomness.
    pub random: &'a mut StdRng,
    /// What is to be done.
    pub out: &'a mut Outbox,
}

/// Runs every system once.
pub fn run(tables: &mut Tables, events: Vec<Event>, cx: &mut Context<'_>) {
    if tables.started == Instant::default() {
        tables.started = cx.now;
    }
    let mut arrivals = Vec::new();
    for event in events {
        match event {
            Event::View(view) => refresh::run(tables, view, cx),
            Event::Arrived { call, caller_request } => arrivals.push((call, caller_request)),
            Event::Abandoned { call } => {
                hop::withdraw(tables, call, cx);
                intake::abandon(tables, call, cx);
            }
            Event::Hop { from, hop } => hop::take(tables, from, hop, cx),
            Event::HopLost { to, detail, maybe_received } => {
                hop::lost(tables, &to, &detail, maybe_received, cx)
            }
            Event::Opened { connection } => collect::opened(tables, connection, cx),
            Event::Replied { connection, attempt, reply } => {
                collect::replied(tables, connection, attempt, *reply, cx);
            }
            Event::Closed { connection, loss } => collect::closed(tables, connection, &loss, cx),
        }
    }
    expire::run(tables, cx);
    suspect::stop(tables, cx);
    intake::run(tables, arrivals, cx);
    dispatch::run(tables, cx);
    answer::run(tables, cx);
    hop::deliver(tables, cx);
}
