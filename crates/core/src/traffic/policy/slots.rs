//! How many attempts a traffic thread runs at a target.

use std::{collections::BTreeMap, fmt, time::Duration};

use crate::{name::Name, traffic::table::Target, view::View};

/// Decides how many attempts this thread runs at a target.
pub trait Slots: fmt::Debug {
    /// The attempts that may run at the target now.
    fn limit(&self, view: &View, name: &Name, target: &Target) -> u32;
    /// Notes that the target shed an attempt.
    fn shed(&mut self, _name: &Name) {}
    /// Notes that the target answered an attempt after this time.
    fn answered(&mut self, _name: &Name, _after: Duration) {}
}

/// All slots of the target: right for the one home of its shard.
#[derive(Clone, Copy, Debug)]
pub struct AllSlots;

impl Slots for AllSlots {
    fn limit(&self, _view: &View, _name: &Name, target: &Target) -> u32 {
        target.slots
    }
}

/// An equal share of the slots for each VM, and at least one.
#[derive(Clone, Copy, Debug)]
pub struct EqualShare;

impl Slots for EqualShare {
    fn limit(&self, view: &View, _name: &Name, target: &Target) -> u32 {
        let vms = u32::try_from(view.vms.len()).unwrap_or(u32::MAX).max(1);
        (target.slots / vms).max(1)
    }
}

/// The factor by which a limit falls when the target sheds.
const SHED_FACTOR: f64 = 0.5;

/// The factor by which a limit falls with each answer that was slow.
const SLOW_FACTOR: f64 = 0.9;

/// The multiple of the least latency from which an answer counts as slow.
const SLOW: u32 = 3;

/// The highest limit.
const MAX_LIMIT: f64 = 64.0;

/// The number of answers after which the least latency is taken anew.
const EPOCH: u32 = 1000;

/// A limit for each target that grows by one for each round of answers and
/// falls when the target sheds or becomes slow.
#[derive(Clone, Debug, Default)]
pub struct Adaptive {
    windows: BTreeMap<Name, Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    limit: f64,
    least: Duration,
    answers: u32,
}

impl Default for Window {
    fn default() -> Window {
        Window { limit: 1.0, least: Duration::MAX, answers: 0 }
    }
}

impl Slots for Adaptive {
    fn limit(&self, _view: &View, name: &Name, _target: &Target) -> u32 {
        self.windows.get(name).map_or(1, |window| window.limit as u32)
    }

    fn shed(&mut self, name: &Name) {
        let window = self.windows.entry(name.clone()).or_default();
        window.limit = (window.limit * SHED_FACTOR).max(1.0);
    }

    fn answered(&mut self, name: &Name, after: Duration) {
        let window = self.windows.entry(name.clone()).or_default();
        window.answers += 1;
        if window.answers >= EPOCH {
            window.answers = 0;
            window.least = after;
        }
        window.least = window.least.min(after);
        if after > window.least * SLOW {
            window.limit = (window.limit * SLOW_FACTOR).max(1.0);
        } else {
            window.limit = (window.limit + 1.0 / window.limit).min(MAX_LIMIT);
        }
    }
}
