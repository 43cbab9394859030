//! Jobs: legs that this VM serves as the home of their shard.

use std::collections::BTreeSet;

use crate::{id, message, name::Name, time::Instant, traffic::table::shard, view::Lane};

/// A leg at its home, from its arrival until it is answered.
#[derive(Clone, Debug)]
pub struct Job {
    pub leg: message::Leg,
    /// The lane that gets the reply.
    pub from: Lane,
    pub shard: shard::Key,
    /// When the reply is due.
    pub deadline: Instant,
    /// The position in the queue of the shard, while the job waits for a slot.
    pub position: Option<shard::QueuePosition>,
    /// The attempts in flight.
    pub attempts: BTreeSet<id::Attempt>,
    /// The number of attempts so far.
    pub tries: u32,
    /// The targets that refused the job or were lost while they ran it; they
    /// are chosen only when no other target is left.
    pub avoid: BTreeSet<Name>,
    /// Whether a target was lost while it ran the job. The job then gets a
    /// target to itself, so that a crash fails no other request.
    pub suspect: bool,
    /// Whether the job is an operation that still runs after its deadline. Its
    /// outcome is awaited so that it can be recorded.
    pub overdue: bool,
    /// Whether any attempt may have run at a target.
    pub ran: bool,
    /// The leader whose attempts this job shares, if it is a follower.
    pub follows: Option<id::Leg>,
    /// The followers that share the attempts of this job.
    pub followers: BTreeSet<id::Leg>,
}

impl Job {
    /// Whether the job may run more than once, which holds for searches.
    pub fn is_idempotent(&self) -> bool {
        matches!(self.leg.work, crate::target::Work::Search { .. })
    }
}
