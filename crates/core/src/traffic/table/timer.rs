//! What a row may be due for.

use crate::{id, name::Name, traffic::table::shard, view::Lane};

/// What is due.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The answer of a query.
    Query(id::Query),
    /// A sign of life of a lane with legs in flight.
    Link(Lane),
    /// The reply of a job.
    Job(id::Leg),
    /// A hedge beside an attempt.
    Hedge(id::Attempt),
    /// The end of a pause of a shard's target.
    Shard(shard::Key),
    /// The next read of a target's status.
    Poll(Name),
    /// The next try to open a connection to a target.
    Reopen(Name),
    /// The answer to a read of the status over a connection.
    Asked(id::Connection),
    /// The end of the use of a shard that this VM is no longer home of.
    Idle(shard::Key),
    /// The time to tell the holdings again.
    Tell,
    /// The end of the wait for the first word of the homes.
    Inform,
}
