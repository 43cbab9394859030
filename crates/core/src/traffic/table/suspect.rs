//! Requests that were running when a target was lost.

use std::collections::BTreeSet;

use crate::{name::Name, time::Instant};

/// A request that may have crashed targets.
#[derive(Clone, Debug, Default)]
pub struct Suspect {
    /// The targets that were lost while they ran the request, each with its
    /// incarnation: a target that was lost, restarted and lost again counts
    /// twice.
    pub targets: BTreeSet<(Name, u64)>,
    /// When the row expires.
    pub until: Instant,
}
