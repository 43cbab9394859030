//! The systems over what a process holds for others.

pub mod admit;
pub mod evict;
pub mod hold;
pub mod link;
pub mod transfer;

use super::{Holder, Limits};
use crate::time::Instant;

/// The inputs and the outbox that the systems share within one tick.
pub struct Context<'a> {
    pub now: Instant,
    pub limits: &'a Limits,
    /// Collects the connections to close.
    pub close: &'a mut Vec<Holder>,
}
