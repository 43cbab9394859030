//! Requests that were running when a target was lost.

use std::collections::BTreeSet;

use crate::{name::Name, time::Instant};

/// A request that may crash targets.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// The targets that were lost while they ran it, each with its start: one
    /// that was lost, started again and lost again counts twice.
    pub targets: BTreeSet<(Name, u64)>,
    /// When it is forgotten.
    pub until: Instant,
}
