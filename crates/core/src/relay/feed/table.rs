//! The rows of the feed.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    digest::Fingerprint,
    name::Name,
    relay::{View, view::Vm},
    store::{CallId, Version},
    time::Instant,
};

/// What a call of the store is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The list of VMs.
    Vms,
    /// Everything.
    All,
    /// The entry of this VM.
    Entry,
    /// Changes of everything.
    Watch,
}

/// How this VM serves requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Part {
    /// It is not known yet whether there are larger VMs.
    #[default]
    Open,
    /// It hands requests to a larger VM.
    Handing,
    /// It forwards requests to targets itself.
    Forwarding,
}

/// The VM of the feed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnVm {
    /// Its name.
    pub name: Name,
    /// Its entry.
    pub vm: Vm,
}

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Store {
    /// It answered the last call.
    #[default]
    Up,
    /// The last calls failed.
    Down { failures: u32 },
}

/// The step of a report that is under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A lease is made.
    Grant,
    /// The entry is written.
    Write,
}

/// What this VM tells others of requests that are held back.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// The requests that are to be told of; the first one is under way.
    pub waiting: VecDeque<Fingerprint>,
    /// The call that is under way.
    pub open: Option<(CallId, Step)>,
}

/// All rows of the feed.
#[derive(Clone, Debug)]
pub struct Tables {
    /// This VM.
    pub own: OwnVm,
    /// How it serves requests.
    pub part: Part,
    /// Whether it hands requests on but reaches no larger VM.
    pub is_alone: bool,
    /// When the first step was.
    pub started: Option<Instant>,
    /// The version of the entry of this VM, if it has one.
    pub entered: Option<Version>,
    /// What the traffic threads are told.
    pub view: View,
    /// Whether the view differs from the one that they were told last.
    pub is_changed: bool,
    /// The version of the newest entry that was read.
    pub latest: u64,
    /// The newest version that others were told of.
    pub told: u64,
    /// The newest version that others told of.
    pub heard: u64,
    /// When this VM has been behind for too long.
    pub behind_at: Option<Instant>,
    /// The call that is under way.
    pub call: Option<(CallId, Purpose)>,
    /// What the next call is for.
    pub next: Option<Purpose>,
    /// When the next call may be made.
    pub not_before: Instant,
    /// The change number that the watch goes on from, once everything was read.
    pub change: Option<u64>,
    /// Whether the store answers.
    pub store: Store,
    /// When entries that lapsed during an outage are gone for good.
    pub lapse_until: Instant,
    /// Targets whose entry is missing, with the time at which they are gone.
    pub missing: BTreeMap<Name, Instant>,
    /// The requests that others are told of.
    pub reports: Reports,
    last: u64,
}

impl Tables {
    /// Empty tables of a VM.
    pub fn new(own: OwnVm) -> Tables {
        Tables {
            own,
            part: Part::Open,
            is_alone: false,
            started: None,
            entered: None,
            view: View::default(),
            is_changed: false,
            latest: 0,
            told: 0,
            heard: 0,
            behind_at: None,
            call: None,
            next: None,
            not_before: Instant::default(),
            change: None,
            store: Store::Up,
            lapse_until: Instant::default(),
            missing: BTreeMap::new(),
            reports: Reports::default(),
            last: 0,
        }
    }

    /// Whether it needs nothing but the larger VMs.
    pub fn is_handing(&self) -> bool {
        self.part == Part::Handing && !self.is_alone
    }

    /// The id of a new call.
    pub fn call_id(&mut self) -> CallId {
        self.last += 1;
        CallId(self.last)
    }

    /// When the next row is due.
    pub fn wake(&self) -> Option<Instant> {
        let is_calling = self.call.is_some() || self.is_handing();
        let call = (!is_calling).then_some(self.not_before);
        let missing = self.missing.values().min().copied();
        [call, missing, self.behind_at].into_iter().flatten().min()
    }
}
