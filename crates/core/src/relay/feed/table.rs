//! The tables of the feed.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use super::{
    Limits, confirm,
    departure::{self, Departure},
    reading::Reading,
    role,
};
use crate::{
    digest::Fingerprint,
    name::Name,
    relay::{
        Quarantine, Reach, View,
        view::{Target, Vm},
    },
    store::{CallId, Version},
    time::Instant,
};

/// The purpose of a call to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// Read the entries of all VMs, which decides the role.
    ListVms,
    /// Read all entries.
    Scan,
    /// Write the entry of this VM.
    Register,
    /// Wait for changes of any entry.
    Watch,
}

impl Purpose {
    /// Returns the text for the log.
    pub fn text(self) -> &'static str {
        match self {
            Purpose::ListVms => "list of VMs",
            Purpose::Scan => "scan",
            Purpose::Register => "registration",
            Purpose::Watch => "watch",
        }
    }
}

/// How a VM serves requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Role {
    /// Not decided, as the VM does not know yet whether there are larger ones.
    #[default]
    Undecided,
    /// Hands requests to a larger VM.
    Handing,
    /// Forwards requests to targets itself.
    Forwarding,
}

/// The VM that the feed runs on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnVm {
    pub name: Name,
    /// The entry that it writes to the store.
    pub vm: Vm,
}

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Store {
    /// The last call was answered.
    #[default]
    Up,
    /// The last `failures` calls failed.
    Down { failures: u32 },
}

/// The check whether the store answers, with the calls that it has sent. An earlier
/// call still counts when the next one is sent, as the store may be slow.
#[derive(Clone, Debug, Default)]
pub struct Probe {
    pub open: BTreeSet<CallId>,
    /// When the next call is sent.
    pub next_at: Instant,
}

/// The stage of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Create a lease.
    Grant,
    /// Write the entry under the lease.
    Write,
}

/// The reports to other VMs of requests that this VM quarantined.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// The requests to report. A call in flight is for the first one.
    pub waiting: VecDeque<Quarantine>,
    pub in_flight: Option<(CallId, Stage)>,
    /// The requests that this VM has reported or tried to, with the time at which each
    /// quarantine ends.
    pub written: BTreeMap<Fingerprint, Instant>,
}

/// All tables of the feed.
#[derive(Clone, Debug)]
pub struct Tables {
    pub own: OwnVm,
    pub role: Role,
    /// Whether this VM reads the routes itself although it hands its requests over,
    /// because no larger VM has current routes.
    pub is_reading: bool,
    /// Whether this VM reaches larger VMs.
    pub reach: Reach,
    /// When `reach` last changed.
    pub reach_since: Instant,
    /// The time of the first tick.
    pub started: Option<Instant>,
    /// The version of the entry of this VM, if the store has it as this VM writes it.
    pub own_entry: Option<Version>,
    /// Whether the store has had that entry.
    pub was_registered: bool,
    /// The view that is published to the traffic threads.
    pub view: View,
    /// Whether the view changed since it was last published.
    pub is_changed: bool,
    /// How far this VM has read, and what it knows of the newest change.
    pub reading: Reading,
    /// The call in flight.
    pub call: Option<(CallId, Purpose)>,
    /// When the open watch counts as silent.
    pub watch_due: Option<Instant>,
    /// Whether the last watch ended without a change, so that this VM keeps its place
    /// in the order in which the VMs renew their watches.
    pub is_watch_quiet: bool,
    /// When the store's newest change was last confirmed, to this VM or to another one
    /// that told it.
    pub confirmed_at: Instant,
    /// When this VM checks the store if nothing is confirmed until then.
    pub confirm_by: Option<Instant>,
    /// The check whether the store answers, if one is running.
    pub probe: Option<Probe>,
    /// Until when this VM takes up no further doubt about the store.
    pub doubt_pause_until: Instant,
    pub next_purpose: Option<Purpose>,
    /// The earliest time of the next call.
    pub not_before: Instant,
    pub store: Store,
    /// Until when targets stay in use whose entries lapsed in an outage, or were lost with the
    /// last era.
    pub lapse_until: Instant,
    /// Targets whose entry is missing, with the time at which they are removed.
    pub missing: BTreeMap<Name, Instant>,
    /// Targets that left.
    pub departed: BTreeMap<Name, Departure>,
    /// Targets that left and that the store has listed again since it began an era.
    pub held_back: BTreeMap<Name, Arc<Target>>,
    /// Until when such targets are held back.
    pub held_until: Instant,
    /// Quarantined requests whose entry is missing, with the time at which they are released.
    pub missing_requests: BTreeMap<Fingerprint, Instant>,
    /// The entries that could not be read, with the versions that were logged.
    pub unreadable: BTreeMap<String, Version>,
    pub reports: Reports,
    last_call_id: u64,
}

impl Tables {
    /// Creates empty tables for a VM.
    pub fn new(own: OwnVm) -> Tables {
        Tables {
            own,
            role: Role::Undecided,
            is_reading: false,
            reach: Reach::Served,
            reach_since: Instant::default(),
            started: None,
            own_entry: None,
            was_registered: false,
            view: View::default(),
            is_changed: false,
            reading: Reading::default(),
            call: None,
            watch_due: None,
            is_watch_quiet: false,
            confirmed_at: Instant::default(),
            confirm_by: None,
            probe: None,
            doubt_pause_until: Instant::default(),
            next_purpose: None,
            not_before: Instant::default(),
            store: Store::Up,
            lapse_until: Instant::default(),
            missing: BTreeMap::new(),
            departed: BTreeMap::new(),
            held_back: BTreeMap::new(),
            held_until: Instant::default(),
            missing_requests: BTreeMap::new(),
            unreadable: BTreeMap::new(),
            reports: Reports::default(),
            last_call_id: 0,
        }
    }

    /// Returns whether this VM hands its requests to larger VMs, so that it does not call
    /// the store.
    pub fn is_handing(&self) -> bool {
        self.role == Role::Handing && !self.is_reading
    }

    /// Returns the VMs that are listed, except this one.
    pub fn others(&self) -> impl Iterator<Item = (&Name, &Vm)> {
        self.view.vms.iter().filter(|(name, _)| **name != self.own.name)
    }

    /// Returns the id for a new call.
    pub fn call_id(&mut self) -> CallId {
        self.last_call_id += 1;
        CallId(self.last_call_id)
    }

    /// Gives up the call in flight. A late reply to it is dropped.
    pub fn abandon_call(&mut self) {
        self.call = None;
        self.watch_due = None;
    }

    /// Returns whether this VM may start a scan in place of what it waits for.
    pub fn can_rescan(&self) -> bool {
        match self.call {
            Some((_, purpose)) => purpose == Purpose::Watch,
            None => self.probe.is_none(),
        }
    }

    /// Returns when the next call or deadline is due.
    pub fn wake(&self, limits: &Limits) -> Option<Instant> {
        let is_calling = self.call.is_some() || self.probe.is_some() || self.is_handing();
        let call = (!is_calling).then_some(self.not_before);
        let probe = self.probe.as_ref().map(|probe| probe.next_at);
        let missing = self.missing.values().chain(self.missing_requests.values()).min();
        let missing = missing.copied().filter(|_| self.store == Store::Up);
        let reading = role::reading_change_at(self, limits);
        let confirmation = confirm::due(self);
        let held_back = departure::due(self).filter(|_| self.store == Store::Up);
        let lag = self.reading.lag_deadline().filter(|_| self.can_rescan());
        [call, probe, confirmation, self.watch_due, missing, held_back, lag, reading]
            .into_iter()
            .flatten()
            .min()
    }
}
