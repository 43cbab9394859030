//! Attempts in flight at targets.

use crate::{id, name::Name, time::Instant};

/// An attempt to run a job at a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The job that the attempt runs.
    pub job: id::Leg,
    pub target: Name,
    pub connection: id::Connection,
    pub sent: Instant,
    /// When the attempt counts as slow and its job is hedged at another target.
    pub hedge_at: Instant,
    /// Whether the hedge was deferred, which happens at most once, because the
    /// budget or a free slot was missing.
    pub hedge_deferred: bool,
}
