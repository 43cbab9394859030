//! Whether equal legs at a home are coalesced into one attempt.

use std::fmt;

use crate::{message::Leg, target::Work};

/// Decides whether a leg may share the attempt of an equal leg in flight.
pub trait Coalesce: fmt::Debug {
    /// Whether the leg may share an attempt.
    fn allows(&self, leg: &Leg) -> bool;
}

/// Coalesces searches, but not operations.
#[derive(Clone, Copy, Debug)]
pub struct CoalesceSearches;

impl Coalesce for CoalesceSearches {
    fn allows(&self, leg: &Leg) -> bool {
        matches!(leg.work, Work::Search { .. })
    }
}

/// Gives each leg an attempt of its own.
#[derive(Clone, Copy, Debug)]
pub struct NeverCoalesce;

impl Coalesce for NeverCoalesce {
    fn allows(&self, _leg: &Leg) -> bool {
        false
    }
}
