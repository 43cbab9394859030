//! Keeps the configuration and the list of targets up to date from the store: the
//! decisions of the control thread of a VM that forwards requests.
//!
//! A VM scans the store once at the start and then keeps one watch over all keys
//! that it needs, so that it costs the store a call only when something changes.
//! The last known state stays in use while the store is unavailable. See
//! `docs/design/platform.md`.

pub mod table;
mod role;
mod report;
mod probe;
mod confirm;
mod context;
mod departure;
mod availability;
mod entry;
mod watch;
pub mod reading;
pub mod progress;
pub mod system;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use rand::{SeedableRng, rngs::StdRng};

use self::{
    context::Context,
    progress::Progress,
    table::{OwnVm, Role, Tables},
};
use super::{Quarantine, Reach, Suspicion, View, route::Config, view};
use crate::{
    digest::Fingerprint,
    log::Line,
    name::Name,
    store::{Call, CallId, Entry, Era, Outcome},
    time::Instant,
};

/// The format of keys and entries in the store.
pub trait Format: Send {
    /// Returns what the entry under a key describes.
    fn subject(&self, key: &str) -> Subject;
    /// Returns the prefix of all keys that are read and watched.
    fn watch_prefix(&self) -> &str;
    /// Returns the prefix of the keys of VMs.
    fn vm_prefix(&self) -> &str;
    /// Returns the key of a VM.
    fn vm_key(&self, name: &Name) -> String;
    /// Decodes the entry of a VM.
    fn vm(&self, entry: &Entry) -> Result<view::Vm, String>;
    /// Encodes the entry of a VM.
    fn write_vm(&self, vm: &view::Vm) -> Vec<u8>;
    /// Decodes a configuration.
    fn config(&self, entry: &Entry) -> Result<Config, String>;
    /// Returns the key whose presence means that a request is quarantined.
    fn quarantine_key(&self, request: Fingerprint) -> String;
    /// Decodes the registration of a target.
    fn target(&self, entry: &Entry) -> Result<view::Target, String>;
}

/// What an entry of the store describes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    Config,
    Target(Name),
    Vm(Name),
    /// A quarantined request.
    Quarantined(Fingerprint),
    /// Anything else; the feed ignores the entry.
    Other,
}

/// The time limits of the feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The time between two watches that end without a change, over all VMs that are
    /// listed. It bounds how long it goes unnoticed that all watches were lost.
    pub watch_spacing: Duration,
    /// The shortest time that a watch waits for a change.
    pub min_watch_wait: Duration,
    /// The longest time that a watch waits for a change.
    pub max_watch_wait: Duration,
    /// The time that a watch waits at a VM that is not listed, so that other VMs
    /// announce nothing to it.
    pub unlisted_watch_wait: Duration,
    /// How long a VM waits before it reads the routes itself because the store answers
    /// none of the larger VMs, which mostly means that it answers nobody. Up to as much
    /// again is added at random, so that the VMs do not read at the same time.
    pub stale_delay: Duration,
    /// How long a larger VM with current routes must be reachable before a VM stops
    /// reading the routes itself.
    pub served_delay: Duration,
    /// The time without an answer after which the store is in doubt. It exceeds the
    /// time that a slow store takes.
    pub answer_limit: Duration,
    /// The longest time that a VM relies on its open watch while neither the store nor
    /// another VM confirms that there is no newer change. Up to a fifth is added at
    /// random. It exceeds the shortest wait of a watch.
    pub confirmation_limit: Duration,
    /// The pause between a watch that found changes and the next one, in which further
    /// changes accumulate.
    pub watch_gap: Duration,
    /// The first pause after a failed call; each further one doubles it.
    pub first_pause: Duration,
    /// The longest pause after failed calls.
    pub longest_pause: Duration,
    /// The time over which VMs that start for the first time spread their
    /// registrations, the larger VMs first.
    pub registration_window: Duration,
    /// How long after an outage of the store, or after the begin of an era, a target stays in
    /// use although its entry lapsed or was lost, as targets write such entries again.
    pub lapse_grace: Duration,
}

impl Limits {
    /// The limits in use. A change is in force within a second, within two after an
    /// outage of the store, and a store that is unavailable is called by each VM about
    /// once a second.
    pub const DEFAULT: Limits = Limits {
        watch_spacing: Duration::from_millis(500),
        min_watch_wait: Duration::from_secs(1),
        max_watch_wait: Duration::from_secs(30),
        unlisted_watch_wait: Duration::from_secs(2),
        stale_delay: Duration::from_secs(2),
        served_delay: Duration::from_secs(5),
        answer_limit: Duration::from_millis(600),
        confirmation_limit: Duration::from_millis(1100),
        watch_gap: Duration::from_millis(500),
        first_pause: Duration::from_millis(150),
        longest_pause: Duration::from_millis(1200),
        registration_window: Duration::from_secs(2),
        lapse_grace: Duration::from_millis(2500),
    };
}

/// The input of a tick of the feed.
#[derive(Debug, Default)]
pub struct Input {
    pub outcomes: Vec<Outcome>,
    /// How far other VMs have read the store.
    pub progress: Vec<Progress>,
    /// The requests that this VM quarantines from this tick on.
    pub quarantined: Vec<Quarantine>,
    /// What this VM found out about requests that may crash targets.
    pub suspicions: Vec<Suspicion>,
    /// Whether this VM reaches larger VMs.
    pub reach: Reach,
}

/// The output of a tick of the feed.
#[derive(Debug, Default)]
pub struct Outbox {
    /// Whether idle connections to the store may have gone silent, so that none of them may
    /// carry the calls.
    pub drop_idle: bool,
    /// Calls to the store.
    pub calls: Vec<(CallId, Call)>,
    /// The new view, if it differs from the last one.
    pub view: Option<Arc<View>>,
    /// The announcements to other VMs.
    pub progress: Vec<(SocketAddr, Progress)>,
    /// Suspicions for other VMs.
    pub suspicions: Vec<(SocketAddr, Vec<Suspicion>)>,
    pub lines: Vec<Line>,
}

/// The tables of the control thread with what its systems need to run over them.
pub struct Feed {
    tables: Tables,
    limits: Limits,
    format: Box<dyn Format>,
    random: StdRng,
}

impl Feed {
    /// Creates a feed that knows only its own VM. While no VM is known, retry budgets
    /// and connections are divided among `assumed_vms`.
    pub fn new(
        limits: Limits,
        format: Box<dyn Format>,
        own: OwnVm,
        assumed_vms: u32,
        seed: u64,
    ) -> Feed {
        let mut tables = Tables::new(own);
        tables.view.assumed_vms = assumed_vms;
        Feed { tables, limits, format, random: StdRng::seed_from_u64(seed) }
    }

    /// Takes replies of the store and announcements of other VMs, and runs every system
    /// once.
    pub fn tick(&mut self, now: Instant, input: Input, out: &mut Outbox) {
        let mut cx = Context {
            now,
            limits: &self.limits,
            format: &*self.format,
            random: &mut self.random,
            out,
        };
        system::run(&mut self.tables, input, &mut cx);
    }

    /// Returns the latest era that the store has stated.
    pub fn era(&self) -> Option<Era> {
        self.tables.reading.era()
    }

    /// Returns when the next tick is due, if one is.
    pub fn wake(&self) -> Option<Instant> {
        self.tables.wake(&self.limits)
    }

    /// Returns whether requests can be served: by own routes, or by a larger VM that is
    /// reachable, even if its routes are old.
    pub fn is_ready(&self) -> bool {
        let is_loaded =
            self.tables.view.config.is_some() && self.tables.reading.position().is_some();
        is_loaded || (self.tables.role == Role::Handing && self.tables.reach != Reach::Lost)
    }
}
