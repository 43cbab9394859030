//! The tables and systems of a traffic thread as one value.

use rand::{SeedableRng, rngs::StdRng};

use super::{
    Event, Limits, Outbox, Tables,
    policy::Policies,
    system::{self, Context},
};
use crate::time::Instant;

/// The tables and systems of a traffic thread.
pub struct Engine {
    tables: Tables,
    limits: Limits,
    policies: Policies,
    random: StdRng,
}

impl Engine {
    /// Makes an engine with empty tables.
    pub fn new(limits: Limits, policies: Policies, seed: u64) -> Engine {
        let random = StdRng::seed_from_u64(seed);
        Engine { tables: Tables::default(), limits, policies, random }
    }

    /// Runs every system once.
    pub fn step(&mut self, now: Instant, events: Vec<Event>, out: &mut Outbox) {
        let mut cx = Context {
            now,
            limits: &self.limits,
            policies: &self.policies,
            random: &mut self.random,
            out,
        };
        system::run(&mut self.tables, events, &mut cx);
    }

    /// Puts other limits in force.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// When the next row is due.
    pub fn wake(&self) -> Option<Instant> {
        self.tables.timers.first()
    }

    /// Whether no larger VM is in reach, so that this one must know the routes.
    pub fn is_alone(&self, now: Instant) -> bool {
        system::hop::is_alone(&self.tables, now)
    }

    /// The tables, for gauges and tests.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }
}
