//! Attempts in flight at targets.

use crate::{id, name::Name, time::Instant};

/// An attempt.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The leg that it is made for.
    pub job: id::Leg,
    /// The target.
    pub target: Name,
    /// The connection that it was sent over.
    pub connection: id::Connection,
    /// When it was sent.
    pub sent: Instant,
    /// When another target is tried beside it.
    pub hedge: Instant,
    /// Whether that was put off once, for want of budget or of a free slot.
    pub put_off: bool,
}
