//! What a timer of a traffic thread is set for.

use crate::{id, name::Name, traffic::table::shard, view::Lane};

/// What is due when a timer fires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Timer {
    /// The answer of a query.
    Query(id::Query),
    /// A check whether a lane with legs in flight is alive.
    Link(Lane),
    /// The reply of a job.
    Job(id::Leg),
    /// A hedge for an attempt that is slow.
    Hedge(id::Attempt),
    /// The end of the pause of a target of a shard.
    Shard(shard::Key),
    /// The next read of a target's status.
    Poll(Name),
    /// The next try to open a connection to a target.
    Reopen(Name),
    /// The limit for opening a connection, or for a status read over it.
    Connection(id::Connection),
    /// A check whether a shard that this thread is not the first home of is
    /// idle, so that its connections can be closed.
    Idle(shard::Key),
    /// The next repeat of all advertisements.
    Advertise,
    /// The end of the wait for the first advertisements of the homes.
    Holdings,
}
