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

/// The inputs from which an [`Engine`] is built.
pub struct Setup {
    /// This VM. Its incarnation is the wall-clock time of the start.
    pub vm: view::Vm,
    /// VMs from the settings that are pinged while no other VM is known, such as
    /// when the platform's list cannot be read.
    pub seeds: Vec<(Name, SocketAddr)>,
    pub limits: Limits,
    /// The limits of the claims engine.
    pub claims: claims::Limits,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Encodes and decodes the values stored in the platform's service.
    pub codec: Box<dyn Codec>,
}

/// The inputs and the outbox that the systems of one tick share.
pub struct Context<'a> {
    pub now: Instant,
    pub wall: Wall,
    pub limits: &'a Limits,
    /// Encodes and decodes the values stored in the platform's service.
    pub codec: &'a dyn Codec,
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
    /// Creates the engine of a VM that starts.
    pub fn new(setup: Setup) -> Engine {
        let (name, domain) = (setup.vm.name.clone(), setup.vm.domain.clone());
        let mut tables = Tables {
            own: Own::new(setup.vm),
            vms: Default::default(),
            targets: Default::default(),
            in_force: InForce {
                document: Arc::new(Document::default()),
                confirmed: None,
                since: Instant::default(),
                origin: None,
                stored: Default::default(),
            },
            peer_revisions: Default::default(),
            revision_cursor: None,
            quarantine: Default::default(),
            gossip: Default::default(),
            calls: Default::default(),
            profiles: Default::default(),
            restore: None,
            list: Default::default(),
            publications: Default::default(),
            rng: StdRng::seed_from_u64(setup.seed),
            claims: Default::default(),
            view: Arc::new(View::starting(name.clone(), domain)),
            view_changed: true,
        };
        tables.vms.seeds = setup.seeds;
        tables.vms.rerank = true;
        let claims = claims::Engine::new(name, setup.claims);
        Engine { tables, claims, limits: setup.limits, codec: setup.codec }
    }

    /// Applies `events`, runs every system once and adds the resulting calls,
    /// messages, notices and answers to `out`.
    pub fn tick(&mut self, now: Instant, wall: Wall, events: Vec<Event>, out: &mut Outbox) {
        let tables = &mut self.tables;
        let cx = &mut Context { now, wall, limits: &self.limits, codec: &*self.codec, out };
        system::pause::run(tables, cx);
        system::intake::run(tables, cx, events);
        system::call::run(tables, cx);
        system::expiry::run(tables, cx);
        system::probe::run(tables, cx);
        system::restore::run(tables, cx);
        system::reading::run(tables, cx);
        system::publish::run(tables, cx);
        system::sync::run(tables, cx);
        system::gossip::run(tables, cx);
        system::view::run(tables, cx);
        system::claims::run(tables, cx, &mut self.claims);
    }

    /// The earliest time at which a tick is due even if no event arrives.
    pub fn wake(&self) -> Option<Instant> {
        let wakes = [system::wake::next(&self.tables, &self.limits), self.claims.wake()];
        wakes.into_iter().flatten().min()
    }

    /// Whether all `threads` traffic threads reported that nothing is in
    /// flight, and the claims engine has recorded all outcomes. It is
    /// meaningful only while the VM is leaving, because the threads report only
    /// then.
    pub fn idle(&self, threads: usize) -> bool {
        let in_flight = &self.tables.own.in_flight;
        let is_idle = in_flight.len() >= threads && in_flight.values().all(|&count| count == 0);
        is_idle && self.claims.pending() == 0
    }

    /// Whether this VM is shutting down.
    pub fn leaving(&self) -> bool {
        self.tables.own.leaving()
    }

    /// Read access to the tables.
    pub fn tables(&self) -> &Tables {
        &self.tables
    }
}
