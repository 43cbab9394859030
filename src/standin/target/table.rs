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

/// The id of a request at the target, in order of arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Job(pub u64);

/// The id of a connection to the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Connection(pub u64);

/// A request that waits for a slot.
#[derive(Clone, Debug)]
pub struct Waiting {
    pub request: Request,
    /// The time after which the caller has no use for an answer.
    pub deadline: Instant,
}

/// The effect of a request when its service time has elapsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// It is answered.
    Answer,
    /// It crashes the target.
    Crash,
}

/// A request that holds a slot.
#[derive(Clone, Debug)]
pub struct Running {
    pub request: Request,
    /// The end of its service time; none if it is never answered.
    pub end: Option<Instant>,
    pub completion: Completion,
}

/// The load of a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The number of requests that hold a slot.
    pub running: u32,
    /// The number of requests that wait for a slot.
    pub waiting: u32,
    /// The number of slots, free or not.
    pub slots: u32,
}

/// A change of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    pub at: Instant,
    /// The load from then on.
    pub load: Load,
}

/// The non-idempotent operations that took effect.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// The number of runs with each token.
    pub tokens: BTreeMap<Uuid, u64>,
    /// The number of runs with each detail.
    pub details: BTreeMap<Arc<str>, u64>,
    /// The number of runs on each subject.
    pub subjects: BTreeMap<u64, u64>,
}

/// The counts of the target since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that arrived.
    pub attempts: u64,
    /// Requests that got a slot.
    pub started: u64,
    /// Requests that ran to completion.
    pub finished: u64,
    /// Requests that were cancelled while they waited or ran.
    pub cancelled: u64,
    /// Requests that were shed.
    pub shed: u64,
    /// Requests whose deadline passed before they got a slot.
    pub expired: u64,
    /// Requests that were refused for any other reason.
    pub refused: u64,
    /// The highest number of requests that ran at the same time.
    pub running_highest: u32,
    /// Connections that are open now.
    pub connections_open: u32,
    /// The highest number of connections that were open at the same time.
    pub connections_highest: u32,
    /// Connections that were accepted.
    pub connections_total: u64,
    /// Connections that were refused.
    pub connections_refused: u64,
    pub crashes: u64,
}

/// All tables of a stand-in target.
#[derive(Debug)]
pub struct Tables {
    pub settings: Settings,
    /// The incarnation since the last start; each crash increases it.
    pub incarnation: u64,
    /// The time of the last start; in the future while the target is down.
    pub started: Instant,
    pub faults: Faults,
    /// The requests that wait, in order of arrival.
    pub waiting: BTreeMap<Job, Waiting>,
    /// The requests that hold a slot.
    pub running: BTreeMap<Job, Running>,
    /// The open connections, without those that were silenced.
    pub connections: BTreeSet<Connection>,
    /// The operations that took effect; they are kept over a crash.
    pub executions: Executions,
    pub counts: Counts,
    /// The changes of the load, back to the load that is reported now.
    pub load_history: VecDeque<Change>,
    /// The random source of service times.
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
            connections: BTreeSet::new(),
            executions: Executions::default(),
            counts: Counts::default(),
            load_history: VecDeque::new(),
            random,
        }
    }

    /// The held range of each version, with faults taken into account.
    pub fn holds(&self) -> &BTreeMap<Version, key::Range> {
        self.faults.holds.as_ref().unwrap_or(&self.settings.holds)
    }

    /// The status that the target reports.
    pub fn status(&self) -> Status {
        Status {
            incarnation: self.incarnation,
            draining: self.faults.drain,
            holds: self.holds().clone(),
        }
    }

    /// The current load.
    pub fn load(&self) -> Load {
        Load {
            running: count(self.running.len()),
            waiting: count(self.waiting.len()),
            slots: self.settings.slots,
        }
    }
}

/// The text that faults match their marks against.
pub fn match_text(work: &Work) -> &str {
    match work {
        Work::Search { text, .. } => text,
        Work::Operate { detail, .. } => detail,
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}
