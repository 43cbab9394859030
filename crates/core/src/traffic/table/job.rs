//! Legs that this VM serves as home of their shard.

use std::collections::BTreeSet;

use crate::{id, message, name::Name, time::Instant, traffic::table::shard, view::Lane};

/// A leg at its home.
#[derive(Clone, Debug)]
pub struct Job {
    /// The leg.
    pub leg: message::Leg,
    /// The lane that waits for the reply.
    pub from: Lane,
    /// The shard.
    pub shard: shard::Key,
    /// When the reply is due.
    pub deadline: Instant,
    /// Its place in the queue of the shard, while it waits.
    pub place: Option<shard::Place>,
    /// Its attempts in flight.
    pub attempts: BTreeSet<id::Attempt>,
    /// The number of attempts so far.
    pub tries: u32,
    /// The targets that refused it or lost it, which are asked last.
    pub avoid: BTreeSet<Name>,
    /// Whether a target was lost while it ran. It then runs alone on its target,
    /// so that it takes no other request with it.
    pub suspect: bool,
    /// Whether the deadline has passed while an operation runs, whose outcome is
    /// still awaited.
    pub overdue: bool,
    /// Whether any attempt may have run.
    pub ran: bool,
    /// The job whose attempts it shares.
    pub follows: Option<id::Leg>,
    /// The jobs that share its attempts.
    pub followers: BTreeSet<id::Leg>,
}

impl Job {
    /// Whether the job may be tried more than once after it was sent.
    pub fn is_idempotent(&self) -> bool {
        matches!(self.leg.work, crate::target::Work::Search { .. })
    }
}
