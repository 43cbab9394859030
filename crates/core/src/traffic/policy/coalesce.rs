//! Which searches share one attempt at a home.

use std::fmt;

use crate::{message::Leg, target::Work};

/// Decides whether a leg may share the attempt of an equal one in flight.
pub trait Coalesce: fmt::Debug {
    /// Whether the leg may share.
    fn allows(&self, leg: &Leg) -> bool;
}

/// Searches share; operations never do.
#[derive(Clone, Copy, Debug)]
pub struct CoalesceSearches;

impl Coalesce for CoalesceSearches {
    fn allows(&self, leg: &Leg) -> bool {
        matches!(leg.work, Work::Search { .. })
    }
}

/// Each leg has an attempt of its own.
#[derive(Clone, Copy, Debug)]
pub struct NeverCoalesce;

impl Coalesce for NeverCoalesce {
    fn allows(&self, _leg: &Leg) -> bool {
        false
    }
}
