//! Timers of the rows, ordered by the time at which they are due.

use std::collections::BTreeSet;

use crate::time::Instant;

/// A set of timers in ascending order of time.
#[derive(Clone, Debug)]
pub struct Timers<T>(BTreeSet<(Instant, T)>);

impl<T> Default for Timers<T> {
    fn default() -> Timers<T> {
        Timers(BTreeSet::new())
    }
}

impl<T: Ord> Timers<T> {
    /// Adds a timer that is due at `at`.
    pub fn set(&mut self, at: Instant, timer: T) {
        self.0.insert((at, timer));
    }

    /// Removes the timer that was set for `at`.
    pub fn cancel(&mut self, at: Instant, timer: T) {
        self.0.remove(&(at, timer));
    }

    /// Returns the time at which the earliest timer is due.
    pub fn first(&self) -> Option<Instant> {
        self.0.first().map(|(at, _)| *at)
    }

    /// Removes and returns the earliest timer if it is due at `now`.
    pub fn pop(&mut self, now: Instant) -> Option<T> {
        if self.first()? > now {
            return None;
        }
        self.0.pop_first().map(|(_, timer)| timer)
    }
}
