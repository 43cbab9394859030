//! Keeps the configuration and the list of targets up to date: the decisions of
//! the control thread of a VM that forwards requests.
//!
//! One reading at the start, then one watch over everything that matters, so
//! that a VM costs the store a call only when something changes. What is known
//! stays in use while the store is away. See `docs/design/platform.md`.

pub mod table;
mod part;
mod report;
pub mod progress;
pub mod system;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};

use self::{
    progress::Progress,
    system::Context,
    table::{OwnVm, Part, Tables},
};
use super::{View, route::Config, view};
use crate::{
    digest::Fingerprint,
    log::Line,
    name::Name,
    store::{Call, CallId, Entry, Reply},
    time::Instant,
};

/// Reads what others wrote to the store.
pub trait Format: Send {
    /// What the entry under a key is about.
    fn subject(&self, key: &str) -> Subject;
    /// The beginning of every key that is read and watched.
    fn watch_prefix(&self) -> &str;
    /// The beginning of the keys of VMs.
    fn vm_prefix(&self) -> &str;
    /// The key of a VM.
    fn vm_key(&self, name: &Name) -> String;
    /// Reads the entry of a VM.
    fn vm(&self, entry: &Entry) -> Result<view::Vm, String>;
    /// Writes the entry of a VM.
    fn write_vm(&self, vm: &view::Vm) -> Vec<u8>;
    /// Reads a configuration.
    fn config(&self, entry: &Entry) -> Result<Config, String>;
    /// The key that tells that a request is held back.
    fn held_key(&self, request: Fingerprint) -> String;
    /// Reads the registration of a target.
    fn target(&self, entry: &Entry) -> Result<view::Target, String>;
}

/// What an entry of the store is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The configuration.
    Config,
    /// A target.
    Target(Name),
    /// A VM.
    Vm(Name),
    /// A request that is held back.
    Held(Fingerprint),
    /// Something else.
    Other,
}

/// Times of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The longest time that a watch waits.
    pub watch_wait: Duration,
    /// The least time between two watches, in which changes gather.
    pub watch_gap: Duration,
    /// The first pause after a failed call; each further one doubles it.
    pub first_pause: Duration,
    /// The longest pause after failed calls.
    pub longest_pause: Duration,
    /// The time in which VMs enter themselves at a first start, the larger ones
    /// first.
    pub registration_window: Duration,
    /// The time for which entries that lapsed while the store was away may
    /// still come back.
    pub lapse_grace: Duration,
}

/// What a step of the feed takes.
#[derive(Debug, Default)]
pub struct Input {
    /// Replies of the store.
    pub replies: Vec<(CallId, Reply)>,
    /// How far other VMs say that they have read.
    pub progress: Vec<Progress>,
    /// The requests that this VM holds back from now on.
    pub held: Vec<Fingerprint>,
}

/// What a step of the feed leaves to be done.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Calls of the store.
    pub calls: Vec<(CallId, Call)>,
    /// A view that differs from the last one.
    pub view: Option<Arc<View>>,
    /// What other VMs are told.
    pub progress: Vec<(SocketAddr, Progress)>,
    /// Lines for the log.
    pub lines: Vec<Line>,
}

/// The tables and systems of the control thread.
pub struct Feed {
    tables: Tables,
    limits: Limits,
    format: Box<dyn Format>,
    random: StdRng,
}

impl Feed {
    /// Makes a feed that knows nothing yet but its own VM. `least` VMs are
    /// counted on while none is known.
    pub fn new(limits: Limits, format: Box<dyn Format>, own: OwnVm, least: u32, seed: u64) -> Feed {
        let mut tables = Tables::new(own);
        tables.view.assumed_vms = least;
        Feed { tables, limits, format, random: StdRng::seed_from_u64(seed) }
    }

    /// Notes whether no larger VM is in reach. From then on this one reads the
    /// routes itself.
    pub fn set_alone(&mut self, is_alone: bool) {
        self.tables.is_alone |= is_alone;
    }

    /// Takes replies of the store and progress of other VMs and runs every system
    /// once.
    pub fn step(&mut self, now: Instant, input: Input, out: &mut Outbox) {
        let mut cx = Context {
            now,
            limits: &self.limits,
            format: &*self.format,
            random: &mut self.random,
            out,
        };
        system::run(&mut self.tables, input, &mut cx);
    }

    /// When the next row is due.
    pub fn wake(&self) -> Option<Instant> {
        self.tables.wake()
    }

    /// Whether requests can be served by what is known.
    pub fn is_ready(&self) -> bool {
        let is_fed = self.tables.view.config.is_some() && self.tables.change.is_some();
        is_fed || (self.tables.part == Part::Handing && !self.tables.is_alone)
    }
}
