//! The tables of a traffic thread: rows keyed by small typed ids.

pub mod proven;
pub mod query;
pub mod leg;
pub mod link;
pub mod index;
pub mod job;
pub mod share;
pub mod shard;
pub mod target;
pub mod connection;
pub mod attempt;
pub mod usage;
pub mod suspect;
pub mod timer;

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    claim, digest::Fingerprint, id, message, name::Name, time::Instant, timer::Timers, view::Lane,
};

pub use self::{
    attempt::Attempt, connection::Connection, index::Index, job::Job, leg::Leg, link::Link,
    proven::Proven, query::Query, shard::Shard, suspect::Suspect, target::Target, timer::Timer,
    usage::Usage,
};
pub use crate::latency::Latency;

/// All rows of a traffic thread.
///
/// The lists at the end name the rows that a system has to look at in this
/// tick, so that no system walks a whole table when few rows are due.
#[derive(Debug, Default)]
pub struct Tables {
    /// Requests of callers at this entry.
    pub queries: BTreeMap<id::Query, Query>,
    /// The query of each open call of the front end.
    pub calls: BTreeMap<super::Call, id::Query>,
    /// Legs of the queries, in flight to their homes.
    pub legs: BTreeMap<id::Leg, Leg>,
    /// The lanes that legs are in flight to.
    pub links: BTreeMap<Lane, Link>,
    /// What the shards of each index hold.
    pub indexes: BTreeMap<Name, Index>,
    /// The indexes that targets are listed for.
    pub listed: BTreeSet<Name>,
    /// Searches that were answered lately.
    pub proven: Proven,
    /// Use of each profile.
    pub usages: BTreeMap<Name, Usage>,
    /// Claims of operations that were answered before their outcome was known.
    pub unsettled: BTreeMap<id::Query, claim::Request>,
    /// Legs that this VM serves as home.
    pub jobs: BTreeMap<id::Leg, Job>,
    /// The jobs that equal ones follow.
    pub leaders: BTreeMap<share::Key, id::Leg>,
    /// Shards that this VM serves as home.
    pub shards: BTreeMap<shard::Key, Shard>,
    /// Targets of those shards.
    pub targets: BTreeMap<Name, Target>,
    /// Connections to those targets.
    pub connections: BTreeMap<id::Connection, Connection>,
    /// Attempts in flight on those connections.
    pub attempts: BTreeMap<id::Attempt, Attempt>,
    /// Requests that were running when a target was lost.
    pub suspects: BTreeMap<Fingerprint, Suspect>,
    /// Whether this VM has learnt what the listed shards hold, as far as their
    /// homes say it in time.
    pub informed: bool,
    /// When the wait for that ends.
    pub inform_by: Option<Instant>,
    /// The number of rows in flight that was last reported while leaving.
    pub reported: Option<usize>,
    /// Points in time at which a row is due.
    pub timers: Timers<Timer>,
    /// Replies to legs of this thread that are yet to be merged.
    pub replies: Vec<message::Reply>,
    /// Indexes whose plan is to be chosen again.
    pub to_choose: BTreeSet<Name>,
    /// Queries that need legs.
    pub to_plan: BTreeSet<id::Query>,
    /// Queries whose answer is due.
    pub to_answer: BTreeSet<id::Query>,
    /// Shards that may start a waiting job.
    pub to_dispatch: BTreeSet<shard::Key>,
    /// Shards whose holdings may have changed.
    pub to_tell: BTreeSet<shard::Key>,
}

impl Tables {
    /// The number of requests and legs in flight.
    pub fn in_flight(&self) -> usize {
        self.queries.len() + self.jobs.len() + self.unsettled.len()
    }

    /// Whether a system has work that is due at once.
    pub fn is_busy(&self) -> bool {
        !(self.replies.is_empty()
            && self.to_plan.is_empty()
            && self.to_answer.is_empty()
            && self.to_dispatch.is_empty()
            && self.to_tell.is_empty())
    }
}
