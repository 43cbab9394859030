//! Points in time at which a row is due.

use std::collections::BTreeSet;

use crate::time::Instant;

/// The points in time in ascending order.
#[derive(Clone, Debug)]
pub struct Timers<T>(BTreeSet<(Instant, T)>);

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers(BTreeSet::new())
    }
}

impl<T: Ord> Timers<T> {
    /// Adds a point in time.
    pub fn set(&mut self, at: Instant, timer: T) {
        self.0.insert((at, timer));
    }

    /// Takes a point in time back.
    pub fn cancel(&mut self, at: Instant, timer: T) {
        self.0.remove(&(at, timer));
    }

    /// The earliest point in time.
    pub fn first(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Takes the earliest timer if it is due at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        if self.first()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
