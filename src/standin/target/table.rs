//! The tables of a stand-in target.

use std::{
    collections::{BTreeMap, BTreeSet, VecDeque},
    sync::Arc,
};

use laburnum_core::{
    key,
    target::{Request, Status, Version, Work},
    time::Instant,
};
use rand::{SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

use super::{fault::Faults, settings::Settings};

/// The id of a request at the target; a greater one came later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Job(pub u64);

/// The id of a connection to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Link(pub u64);

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// What is asked.
    pub request: Request,
    /// When it is of no more use.
    pub deadline: Instant,
}

/// What a request does when its time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// It is answered.
    Answer,
    /// It crashes the target.
    Crash,
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
pub struct Running {
    /// What is asked.
    pub request: Request,
    /// When it ends; none for a request that is never answered.
    pub end: Option<Instant>,
    /// What it does then.
    pub finish: Finish,
}

/// The load of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The slots that are taken.
    pub running: u32,
    /// The requests that wait for a slot.
    pub waiting: u32,
    /// All slots.
    pub slots: u32,
}

/// The load from a point in time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// When the load changed.
    pub at: Instant,
    /// What it was from then on.
    pub load: Load,
}

/// The non-idempotent operations that took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// The runs of each token.
    pub tokens: BTreeMap<Uuid, u64>,
    /// The runs with each detail.
    pub details: BTreeMap<Arc<str>, u64>,
    /// The runs on each subject.
    pub subjects: BTreeMap<u64, u64>,
}

/// What the target has counted since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The requests that arrived.
    pub attempts: u64,
    /// The requests that got a slot.
    pub started: u64,
    /// The requests that ran to their end.
    pub finished: u64,
    /// The requests that were withdrawn while they waited or ran.
    pub cancelled: u64,
    /// The requests that were shed.
    pub shed: u64,
    /// The requests whose deadline passed before they got a slot.
    pub expired: u64,
    /// The requests that were refused for any other reason.
    pub refused: u64,
    /// The most requests that ran at a time.
    pub running_highest: u32,
    /// The connections that are open.
    pub connections_open: u32,
    /// The most connections that were open at a time.
    pub connections_highest: u32,
    /// The connections that were taken.
    pub connections_total: u64,
    /// The connections that were refused.
    pub connections_refused: u64,
    /// The crashes.
    pub crashes: u64,
}

/// All tables of a stand-in target.
#[derive(Debug)]
pub struct Tables {
    /// The settings.
    pub settings: Settings,
    /// The number of this start.
    pub incarnation: u64,
    /// When this start began; it is later than now while the target is down.
    pub started: Instant,
    /// The faults in force.
    pub faults: Faults,
    /// The requests that wait, in order of arrival.
    pub waiting: BTreeMap<Job, Waiting>,
    /// The requests that hold a slot.
    pub running: BTreeMap<Job, Running>,
    /// The connections that are open.
    pub links: BTreeSet<Link>,
    /// The operations that took effect; they outlive a crash.
    pub executions: Executions,
    /// What was counted.
    pub counts: Counts,
    /// The load over the last time, as old as it is reported.
    pub loads: VecDeque<Change>,
    /// The source of service times.
    pub random: StdRng,
}

impl Tables {
    /// The tables of a target that has just started.
    pub fn new(settings: Settings, now: Instant) -> Tables {
        let random = StdRng::seed_from_u64(settings.noise);
        Tables {
            incarnation: settings.incarnation,
            settings,
            started: now,
            faults: Faults::default(),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            links: BTreeSet::new(),
            executions: Executions::default(),
            counts: Counts::default(),
            loads: VecDeque::new(),
            random,
        }
    }

    /// The ranges that are held now, by version.
    pub fn holds(&self) -> &BTreeMap<Version, key::Range> {
        self.faults.holds.as_ref().unwrap_or(&self.settings.holds)
    }

    /// What the target says of itself.
    pub fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            draining: self.faults.drain,
            holds: self.holds().clone(),
        }
    }

    /// The load at this moment.
    pub fn load(&self) -> Load {
        Load {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: self.settings.slots,
        }
    }
}

/// The text by which marked requests are known.
pub fn text(work: &Work) -> &str {
    match work {
        Work::Search { text, .. } => text,
        Work::Operate { detail, .. } => detail,
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
