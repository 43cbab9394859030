//! The tables and systems of a traffic thread behind one type.

use rand::{SeedableRng, rngs::StdRng};

use super::{
    Event, Limits, Outbox, Reach, Tables,
    policy::Policies,
    system::{self, Context},
};
use crate::{id::Origin, time::Instant};

/// The tables of a traffic thread with what its systems need to run over them.
pub struct Engine {
    tables: Tables,
    limits: Limits,
    policies: Policies,
    random: StdRng,
    origin: Origin,
}

impl Engine {
    /// Creates an engine with empty tables. Each start of a thread has another origin.
    pub fn new(limits: Limits, policies: Policies, seed: u64, origin: Origin) -> Engine {
        let random = StdRng::seed_from_u64(seed);
        Engine { tables: Tables::default(), limits, policies, random, origin }
    }

    /// Takes events, runs every system once and puts its output into `out`.
    pub fn tick(&mut self, now: Instant, events: Vec<Event>, out: &mut Outbox) {
        let mut cx = Context {
            now,
            limits: &self.limits,
            policies: &self.policies,
            random: &mut self.random,
            origin: self.origin,
            out,
        };
        system::run(&mut self.tables, events, &mut cx);
    }

    /// Replaces the limits from the next tick on.
    pub fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns when the next timer is due.
    pub fn wake(&self) -> Option<Instant> {
        self.tables.timers.first()
    }

    /// Returns whether this VM reaches larger VMs, if there are any.
    pub fn reach(&self, now: Instant) -> Reach {
        system::reach::reach(&self.tables, now)
    }

    /// Returns whether another VM waits for the answer to a request.
    pub fn owes_answers(&self) -> bool {
        !self.tables.accepted.is_empty()
    }

    /// Returns whether a request was open at the end of the shutdown.
    pub fn is_cut_short(&self) -> bool {
        self.tables.is_cut_short
    }

    /// Returns the tables, for gauges and tests.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }
}
