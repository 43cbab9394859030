//! The tables of the claims engine.

use std::collections::{BTreeMap, BTreeSet};

use uuid::Uuid;

use crate::{
    claim::{Outcome, Request},
    id,
    name::Name,
    store::Version,
    time::{Instant, Wall},
};

use super::{
    layout::Bucket,
    value::{Floor, Value},
};

/// The id of a store call of this engine. It shares no space with other users
/// of the store; whoever carries the calls out maps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// An operation of this VM that waits for a verdict.
#[derive(Clone, Debug)]
pub struct Operation {
    /// The operation that the verdict is for.
    pub operation: id::Query,
    /// What it claims.
    pub request: Request,
    /// When the operation gives up.
    pub deadline: Instant,
    /// The VM that the claim was last sent to.
    pub home: Option<Name>,
    /// How often the claim was sent.
    pub tries: usize,
    /// When the claim is sent again.
    pub next: Instant,
}

/// An outcome of this VM that is not yet recorded.
#[derive(Clone, Debug)]
pub struct Report {
    /// What was claimed.
    pub request: Request,
    /// The outcome.
    pub outcome: Outcome,
    /// The VM that it was last sent to.
    pub home: Option<Name>,
    /// When it is sent again.
    pub next: Instant,
    /// When it is given up.
    pub deadline: Instant,
}

/// A claim that waits at this home.
#[derive(Clone, Debug)]
pub struct Pending {
    /// What is claimed.
    pub request: Request,
    /// The VM that asks.
    pub requester: Name,
    /// When the requester gives up.
    pub deadline: Instant,
}

/// An outcome that waits at this home.
#[derive(Clone, Debug)]
pub struct Record {
    /// What was claimed.
    pub request: Request,
    /// The outcome.
    pub outcome: Outcome,
    /// The VM that reports.
    pub requester: Name,
    /// When it came.
    pub since: Instant,
}

/// What this home remembers of a bucket's stored value. It is a hint: a
/// compare-and-swap shows whether it is still so.
#[derive(Clone, Debug)]
pub enum Hint {
    /// The value must be read before it can be used.
    Stale,
    /// The value could not be decoded; nothing is granted and nothing written.
    Unreadable,
    /// The value as of `read`; no version means that there was none. A value
    /// that was never read is a guess.
    Known { version: Option<Version>, value: Value, read: Option<Instant> },
}

/// A bucket with work at this home.
#[derive(Clone, Debug)]
pub struct Row {
    /// The remembered value.
    pub hint: Hint,
    /// Claims without an answer.
    pub claims: Vec<Pending>,
    /// Outcomes without an acknowledgement.
    pub records: Vec<Record>,
    /// The one call in flight for this bucket.
    pub call: Option<CallId>,
    /// No call starts before this time.
    pub retry: Instant,
    /// Calls that failed in a row.
    pub failures: u32,
    /// When the bucket was last used.
    pub used: Instant,
}

/// A claim that is stored and waits for the read of the floor.
#[derive(Clone, Debug)]
pub struct Grant {
    /// The claim.
    pub pending: Pending,
    /// Its bucket.
    pub bucket: Bucket,
}

/// What a call was made for.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// Reads a bucket.
    Read { bucket: Bucket },
    /// Writes a bucket with these claims and outcomes in it.
    Write { bucket: Bucket, value: Value, claims: Vec<Pending>, records: Vec<Record> },
    /// Reads the floor for these grants.
    Confirm { grants: Vec<Grant> },
    /// Removes a bucket that was created below the floor.
    Undo,
    /// Reads the floor in order to move it.
    FloorRead,
    /// Moves the floor.
    FloorWrite { floor: Floor },
    /// Lists the buckets of a slot below the floor.
    SweepScan { slot: u64 },
    /// Removes a bucket of a slot below the floor.
    SweepRemove { bucket: Bucket },
}

/// A call in flight.
#[derive(Clone, Debug)]
pub struct Flight {
    /// What it is for.
    pub purpose: Purpose,
    /// When it counts as lost.
    pub deadline: Instant,
}

/// The pace of the writes of one part.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    /// When the next write is due if every write takes its full interval.
    pub next: Instant,
}

/// The state of the VM that moves the floor.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    /// The stored floor with its version.
    pub stored: Option<(Option<Version>, Floor)>,
    /// When the floor is looked at next.
    pub next: Instant,
    /// When the next bucket may be removed.
    pub remove: Instant,
    /// Whether a call of the sweep is in flight.
    pub busy: bool,
    /// The slot that is being removed.
    pub slot: u64,
    /// The buckets of the slot that are still to be removed.
    pub entries: Vec<(Bucket, Version)>,
    /// The most live VMs that were seen.
    pub most: usize,
    /// When the stored floor was last read in order to move it.
    pub seen: Option<Instant>,
    /// The clocks of peers: what they said and when.
    pub clocks: BTreeMap<Name, (Wall, Instant)>,
}

/// All tables.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Operations of this VM by token.
    pub operations: BTreeMap<Uuid, Operation>,
    /// Outcomes of this VM by token.
    pub reports: BTreeMap<Uuid, Report>,
    /// Buckets with work at this home.
    pub buckets: BTreeMap<Bucket, Row>,
    /// Stored claims that wait for the read of the floor.
    pub grants: Vec<Grant>,
    /// No read of the floor for grants starts before this time.
    pub confirm: Instant,
    /// The tokens of all claims at this home that have no answer yet.
    pub waiting: BTreeSet<Uuid>,
    /// Calls in flight.
    pub calls: BTreeMap<CallId, Flight>,
    /// The pace of each part.
    pub paces: BTreeMap<u16, Pace>,
    /// VMs that did not answer, and until when they are passed over.
    pub unreachable: BTreeMap<Name, Instant>,
    /// The highest floor that was read.
    pub floor: u64,
    /// The state of the sweep.
    pub sweep: Sweep,
    /// The last id of a call.
    pub last_call: u64,
}
