//! Points in time at which a row is due.

use std::collections::BTreeSet;

use crate::{id, name::Name, time::Instant, traffic::table::shard, view::Lane};

/// What is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The answer of a query.
    Query(id::Query),
    /// A sign of life of a lane with legs in flight.
    Link(Lane),
    /// The reply of a job.
    Job(id::Leg),
    /// A hedge beside an attempt.
    Hedge(id::Attempt),
    /// The end of a pause of a shard's target.
    Shard(shard::Key),
    /// The next read of a target's status.
    Poll(Name),
    /// The next try to open a connection to a target.
    Reopen(Name),
    /// The answer to a read of the status over a connection.
    Asked(id::Connection),
    /// The end of the use of a shard that this VM is no longer home of.
    Idle(shard::Key),
    /// The time to tell the holdings again.
    Tell,
    /// The end of the wait for the first word of the homes.
    Inform,
}

/// The points in time in ascending order.
#[derive(Clone, Debug, Default)]
pub struct Timers(BTreeSet<(Instant, Timer)>);

impl Timers {
    /// Adds a point in time.
    pub fn set(&mut self, at: Instant, timer: Timer) {
        self.0.insert((at, timer));
    }

    /// Takes a point in time back.
    pub fn cancel(&mut self, at: Instant, timer: Timer) {
        self.0.remove(&(at, timer));
    }

    /// The earliest point in time.
    pub fn first(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Takes the earliest timer if it is due at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<Timer> {
        if self.first()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
