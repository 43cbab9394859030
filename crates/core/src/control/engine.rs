//! The engine of the control thread: the tables and the order of the systems.

use std::{net::SocketAddr, sync::Arc};

use rand::{SeedableRng, rngs::StdRng};

use super::{
    Codec, Event, Limits, Outbox, system,
    table::{InForce, Tables, own::Own},
};
use crate::{
    claims,
    name::Name,
    profile::Document,
    time::{Instant, Wall},
    view::{self, View},
};

/// What an engine is made from.
pub struct Setup {
    /// This VM; its incarnation is the wall-clock time of the start.
    pub vm: view::Vm,
    /// VMs that are asked when the platform's list cannot be read.
    pub seeds: Vec<(Name, SocketAddr)>,
    /// Time limits and bounds.
    pub limits: Limits,
    /// Limits of the claims.
    pub claims: claims::Limits,
    /// The seed of all chance.
    pub seed: u64,
    /// The encoding of stored values.
    pub codec: Box<dyn Codec>,
}

/// What the systems of one step share.
pub struct Step<'a> {
    /// The monotonic time.
    pub now: Instant,
    /// The wall-clock time.
    pub wall: Wall,
    /// Time limits and bounds.
    pub limits: &'a Limits,
    /// The encoding of stored values.
    pub codec: &'a dyn Codec,
    /// What is to be carried out.
    pub out: &'a mut Outbox,
}

/// The decisions of the control thread of one VM.
pub struct Engine {
    tables: Tables,
    claims: claims::Engine,
    limits: Limits,
    codec: Box<dyn Codec>,
}

impl Engine {
    /// Makes the engine of a VM that starts.
    pub fn new(setup: Setup) -> Engine {
        let (name, domain) = (setup.vm.name.clone(), setup.vm.domain.clone());
        let mut tables = Tables {
            own: Own::new(setup.vm),
            vms: Default::default(),
            targets: Default::default(),
            in_force: InForce { document: Arc::new(Document::default()), confirmed: None },
            words: Default::default(),
            cursor: None,
            quarantine: Default::default(),
            gossip: Default::default(),
            calls: Default::default(),
            profiles: Default::default(),
            list: Default::default(),
            publications: Default::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            claims: Default::default(),
            view: Arc::new(View::starting(name.clone(), domain)),
            changed: true,
        };
        tables.vms.seeds = setup.seeds;
        tables.vms.rerank = true;
        let claims = claims::Engine::new(name, setup.claims);
        Engine { tables, claims, limits: setup.limits, codec: setup.codec }
    }

    /// Runs every system once over the events that are ready.
    pub fn step(&mut self, now: Instant, wall: Wall, events: Vec<Event>, out: &mut Outbox) {
        let tables = &mut self.tables;
        let step = &mut Step { now, wall, limits: &self.limits, codec: &*self.codec, out };
        system::pause::run(tables, step);
        system::intake::run(tables, step, events);
        system::call::run(tables, step);
        system::expiry::run(tables, step);
        system::probe::run(tables, step);
        system::reading::run(tables, step);
        system::publish::run(tables, step);
        system::compare::run(tables, step);
        system::spread::run(tables, step);
        system::view::run(tables, step);
        system::claims::run(tables, step, &mut self.claims);
    }

    /// The earliest time at which a step has something to do without an event.
    pub fn wake(&self) -> Option<Instant> {
        let wakes = [system::wake::next(&self.tables, &self.limits), self.claims.wake()];
        wakes.into_iter().flatten().min()
    }

    /// Whether every traffic thread that reported has nothing in flight, and the
    /// outcomes that this VM owes to the claims are recorded. It has a meaning
    /// only while the VM is leaving.
    pub fn idle(&self, threads: usize) -> bool {
        let in_flight = &self.tables.own.in_flight;
        let is_at_rest = in_flight.len() >= threads && in_flight.values().all(|&count| count == 0);
        is_at_rest && self.claims.pending() == 0
    }

    /// Whether this VM is shutting down.
    pub fn leaving(&self) -> bool {
        self.tables.own.leaving()
    }

    /// The tables, to be read.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }
}
