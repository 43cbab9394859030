//! The arguments that all systems share.

use rand::rngs::StdRng;

use super::{Format, Limits, Outbox};
use crate::time::Instant;

/// The arguments that all systems share.
pub struct Context<'a> {
    pub now: Instant,
    pub limits: &'a Limits,
    pub format: &'a dyn Format,
    pub random: &'a mut StdRng,
    pub out: &'a mut Outbox,
}
