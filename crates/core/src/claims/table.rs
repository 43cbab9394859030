//! The tables of the claims engine.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use uuid::Uuid;

use crate::{
    claim::{Outcome, Request},
    id,
    name::Name,
    store::{Epoch, Version},
    time::{Instant, Wall},
};

use super::{
    layout::Bucket,
    value::{Floor, Loss, Value},
};

/// The id of a store call of this engine. It is unique only within the engine;
/// the control thread maps it to an id that is unique within the VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct CallId(pub u64);

/// An operation of this VM that waits for a verdict.
#[derive(Clone, Debug)]
pub struct Operation {
    pub operation: id::Query,
    pub request: Request,
    /// When the operation ends as unsettled.
    pub deadline: Instant,
    /// The VM that the claim was last sent to.
    pub home: Option<Name>,
    /// How often the claim was sent.
    pub tries: usize,
    /// When the claim is sent next.
    pub next_send: Instant,
}

/// An outcome of this VM that is not yet recorded.
#[derive(Clone, Debug)]
pub struct Report {
    pub request: Request,
    pub outcome: Outcome,
    /// The VM that the outcome was last sent to.
    pub home: Option<Name>,
    /// When the outcome is sent next.
    pub next_send: Instant,
    /// When the outcome is dropped.
    pub deadline: Instant,
}

/// A claim that waits at this home.
#[derive(Clone, Debug)]
pub struct Pending {
    pub request: Request,
    /// The VM that sent the claim.
    pub requester: Name,
    /// When the operation ends at the requester.
    pub deadline: Instant,
    /// Until when a claim whose key another request holds waits for the outcome of
    /// that request; `None` until the claim is first compared with the bucket.
    pub held_until: Option<Instant>,
}

/// An outcome that waits at this home.
#[derive(Clone, Debug)]
pub struct Record {
    pub request: Request,
    pub outcome: Outcome,
    /// The VM that sent the outcome.
    pub requester: Name,
    pub queued_at: Instant,
}

/// The cached value of a bucket. It may be out of date, which the next
/// compare-and-swap detects.
#[derive(Clone, Debug)]
pub enum Cache {
    /// The value must be read before it can be used.
    Stale,
    /// The value could not be decoded; nothing is granted and nothing written.
    Unreadable,
    /// The value as read or written at `read_at` in the present era. Without a version
    /// the bucket did not exist. Without `read_at` the bucket was not read but is
    /// assumed not to exist. A value that is ahead holds entries of an ended era that
    /// the store lacks and that are to be written again.
    Known { version: Option<Version>, value: Arc<Value>, read_at: Option<Instant>, is_ahead: bool },
}

/// A bucket at this home, with its cached value and its work.
#[derive(Clone, Debug)]
pub struct Row {
    pub cache: Cache,
    /// Claims that wait for a verdict or a write.
    pub claims: Vec<Pending>,
    /// Claims that wait for the outcome of the request that holds their key.
    pub held: Vec<Pending>,
    /// Outcomes that wait to be written.
    pub records: Vec<Record>,
    /// The one call in flight for this bucket.
    pub call: Option<CallId>,
    /// The time before which no call starts.
    pub retry_at: Instant,
    /// The number of failed calls in a row.
    pub failures: u32,
    /// When the bucket is read in a new era, to write again what the store has lost.
    pub restore_at: Option<Instant>,
    /// When a claim or outcome last arrived for the bucket.
    pub last_used: Instant,
}

/// A claim that is stored and waits for the read of the floor.
#[derive(Clone, Debug)]
pub struct Grant {
    pub pending: Pending,
    pub bucket: Bucket,
    /// The epoch in which the claim was stored. A floor of another one does not confirm it.
    pub epoch: Epoch,
}

/// Why a store call was made, with the data that its reply needs.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// Reads a bucket.
    Read { bucket: Bucket },
    /// Writes a bucket with these claims and outcomes in it.
    Write { bucket: Bucket, value: Arc<Value>, claims: Vec<Pending>, records: Vec<Record> },
    /// Reads the floor to confirm these claims.
    Confirm { grants: Vec<Grant> },
    /// Removes a bucket that was written below the floor.
    Undo,
    /// Records in the floor what the store may have lost.
    LossWrite,
    /// Reads the floor in order to advance it.
    FloorRead,
    /// Advances the floor.
    FloorWrite { floor: Floor },
    /// Lists the buckets of a slot below the floor.
    SweepScan { slot: u64 },
    /// Removes a bucket of a slot below the floor.
    SweepRemove { bucket: Bucket },
}

/// A store call in flight.
#[derive(Clone, Debug)]
pub struct Call {
    pub purpose: Purpose,
    /// The epoch in which the call was made.
    pub epoch: Epoch,
    /// When the call counts as lost.
    pub deadline: Instant,
}

/// The value of a bucket that the store acknowledged.
#[derive(Clone, Debug)]
pub struct Memory {
    pub value: Arc<Value>,
    /// The epoch in which the store held the value.
    pub epoch: Epoch,
    /// When the value was last read or written.
    pub at: Instant,
}

/// The era of the store as this VM knows it.
#[derive(Clone, Copy, Debug, Default)]
pub struct History {
    /// The era that the store states.
    pub epoch: Epoch,
    /// When the store last answered in an era that was known already.
    pub answered_at: Option<Instant>,
    /// The slot below which keys may have been claimed in an ended era, if this VM saw
    /// one end.
    pub ended_below: Option<u64>,
    /// What the store may have lost when the present era began, once this is recorded.
    pub loss: Option<Loss>,
}

/// The partitions of which this VM is home.
#[derive(Clone, Debug, Default)]
pub struct Tenure {
    /// Since when this VM has been the home of each partition without interruption.
    pub since: BTreeMap<u16, Instant>,
    pub checked_at: Option<Instant>,
    /// When this home next reads the floor although no claim waits for it.
    pub next_read: Option<Instant>,
}

/// The floor as it was read or written.
#[derive(Clone, Copy, Debug)]
pub struct StoredFloor {
    /// The version of the entry, or none if there is no floor yet.
    pub version: Option<Version>,
    pub floor: Floor,
}

/// The rate limiter for the writes of one partition.
#[derive(Clone, Copy, Debug, Default)]
pub struct Limiter {
    /// When the next write is allowed without use of the burst.
    pub next_write: Instant,
}

/// The state of advancing the floor and of removing the buckets below it.
#[derive(Clone, Debug, Default)]
pub struct Sweep {
    /// The floor that was last read or written.
    pub stored: Option<StoredFloor>,
    /// When the floor is checked next.
    pub next_check: Instant,
    /// When the next bucket may be removed.
    pub next_removal: Instant,
    /// Whether a call of the sweep is in flight.
    pub busy: bool,
    /// The slot that is being removed.
    pub slot: u64,
    /// The buckets of the slot that remain to be removed.
    pub entries: Vec<(Bucket, Version)>,
    /// The largest number of live VMs at any check. The clocks of a majority of
    /// them, or of `CLOCK_VMS` if there are more, are needed to advance the floor.
    pub max_live: usize,
    /// When the stored floor was last read in order to advance it.
    pub last_read: Option<Instant>,
    /// The last wall clock that each peer sent, and when it arrived.
    pub clocks: BTreeMap<Name, (Wall, Instant)>,
}

/// All tables of the engine of one VM.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// Operations of this VM that wait for a verdict, by token.
    pub operations: BTreeMap<Uuid, Operation>,
    /// Outcomes of this VM that are not yet recorded, by token.
    pub reports: BTreeMap<Uuid, Report>,
    /// Buckets with work or a cached value at this home.
    pub buckets: BTreeMap<Bucket, Row>,
    /// What the store acknowledged and may lose, by bucket.
    pub memory: BTreeMap<Bucket, Memory>,
    pub history: History,
    pub tenure: Tenure,
    /// The partitions whose claims of the ended era this VM knows, with the slot below
    /// which keys are in doubt nevertheless because of an earlier loss.
    pub doubt: BTreeMap<u16, u64>,
    /// Stored claims that wait for the read of the floor.
    pub grants: Vec<Grant>,
    /// The time before which no read of the floor for grants starts.
    pub next_confirm: Instant,
    /// The tokens of all claims at this home without an answer, so that a claim
    /// that is sent again is not queued twice.
    pub waiting: BTreeSet<Uuid>,
    pub calls: BTreeMap<CallId, Call>,
    /// The write rate limiter of each partition.
    pub limiters: BTreeMap<u16, Limiter>,
    /// VMs that did not answer, and until when they are not used as homes.
    pub unreachable: BTreeMap<Name, Instant>,
    /// The slot of the highest floor that was read or written.
    pub floor: u64,
    pub sweep: Sweep,
    /// The id of the last call that was started.
    pub last_call: u64,
}
