//! The tables of a traffic thread: rows keyed by small typed ids.

pub mod answered;
pub mod query;
pub mod leg;
pub mod link;
pub mod index;
pub mod job;
pub mod coalesce;
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
    answered::Answered, attempt::Attempt, connection::Connection, index::Index, job::Job, leg::Leg,
    link::Link, query::Query, shard::Shard, suspect::Suspect, target::Target, timer::Timer,
    usage::Usage,
};
pub use crate::latency::Latency;

/// All rows of a traffic thread.
///
/// The work lists at the end (`replies` and the `to_*` fields) hold what a
/// system has to handle in this tick, so that no system scans a whole table
/// when few rows are due.
#[derive(Debug, Default)]
pub struct Tables {
    /// Requests of callers that this thread has open as their entry.
    pub queries: BTreeMap<id::Query, Query>,
    /// The query of each open call of the front end.
    pub calls: BTreeMap<super::Call, id::Query>,
    /// Legs of those queries, in flight to their homes.
    pub legs: BTreeMap<id::Leg, Leg>,
    /// The lanes that legs are in flight to.
    pub links: BTreeMap<Lane, Link>,
    /// What the shards of each index hold, as their homes advertise it.
    pub indexes: BTreeMap<Name, Index>,
    /// The indexes that the view lists targets for.
    pub listed: BTreeSet<Name>,
    /// Searches that were answered recently.
    pub answered: Answered,
    /// Open requests and budgets, by profile.
    pub usages: BTreeMap<Name, Usage>,
    /// Claims of operations whose caller was answered before the outcome was
    /// known.
    pub unsettled: BTreeMap<id::Query, claim::Request>,
    /// Legs that this thread serves as the home of their shard.
    pub jobs: BTreeMap<id::Leg, Job>,
    /// The job that equal searches follow, by what they have in common.
    pub leaders: BTreeMap<coalesce::Key, id::Leg>,
    /// All shards that the view lists targets for, with the queues of those
    /// that this thread serves as home.
    pub shards: BTreeMap<shard::Key, Shard>,
    /// Targets of those shards.
    pub targets: BTreeMap<Name, Target>,
    /// Connections to those targets.
    pub connections: BTreeMap<id::Connection, Connection>,
    /// Attempts in flight on those connections.
    pub attempts: BTreeMap<id::Attempt, Attempt>,
    /// Requests that were running when a target was lost, by fingerprint.
    pub suspects: BTreeMap<Fingerprint, Suspect>,
    /// Whether this VM knows what the listed shards hold, or has waited long
    /// enough for homes that do not advertise it.
    pub has_holdings: bool,
    /// When the wait for the homes ends, once it has begun.
    pub holdings_deadline: Option<Instant>,
    /// The number of rows in flight that was last reported while leaving.
    pub reported_in_flight: Option<usize>,
    /// When a row is next due, and for what.
    pub timers: Timers<Timer>,
    /// Replies to legs of this thread that are not merged yet.
    pub replies: Vec<message::Reply>,
    /// Indexes whose plan has to be chosen again.
    pub to_choose: BTreeSet<Name>,
    /// Queries whose legs have to be planned.
    pub to_plan: BTreeSet<id::Query>,
    /// Queries whose answer is due.
    pub to_answer: BTreeSet<id::Query>,
    /// Shards at which a waiting job may be able to start.
    pub to_dispatch: BTreeSet<shard::Key>,
    /// Shards whose holdings may have changed since they were advertised.
    pub to_advertise: BTreeSet<shard::Key>,
}

impl Tables {
    /// The number of open requests, of jobs, and of claims without a known
    /// outcome. It is reported while the VM is leaving.
    pub fn in_flight(&self) -> usize {
        self.queries.len() + self.jobs.len() + self.unsettled.len()
    }

    /// Whether a work list is not empty, so that the next tick is due at once.
    pub fn is_busy(&self) -> bool {
        !(self.replies.is_empty()
            && self.to_plan.is_empty()
            && self.to_answer.is_empty()
            && self.to_dispatch.is_empty()
            && self.to_advertise.is_empty())
    }
}
