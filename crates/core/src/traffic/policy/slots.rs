//! Limits on the attempts that a traffic thread runs at a target at a time.

use std::{collections::BTreeMap, fmt, time::Duration};

use crate::{name::Name, traffic::table::Target, view::View};

/// Decides how many attempts this thread runs at a target at a time.
pub trait Slots: fmt::Debug {
    /// The number of attempts that may run at the target now.
    fn limit(&self, view: &View, name: &Name, target: &Target) -> u32;
    /// Records that the target shed an attempt.
    fn shed(&mut self, _name: &Name) {}
    /// Records that the target answered an attempt after the time `after`.
    fn answered(&mut self, _name: &Name, _after: Duration) {}
}

/// Uses all slots of a target, which only the single home of its shard may do.
#[derive(Clone, Copy, Debug)]
pub struct AllSlots;

impl Slots for AllSlots {
    fn limit(&self, _view: &View, _name: &Name, target: &Target) -> u32 {
        target.slots
    }
}

/// Uses an equal share of the slots of a target for each VM, and at least one
/// slot.
#[derive(Clone, Copy, Debug)]
pub struct EqualShare;

impl Slots for EqualShare {
    fn limit(&self, view: &View, _name: &Name, target: &Target) -> u32 {
        let vms = u32::try_from(view.vms.len()).unwrap_or(u32::MAX).max(1);
        (target.slots / vms).max(1)
    }
}

/// The factor by which a limit is lowered when the target sheds.
const SHED_FACTOR: f64 = 0.5;

/// The factor by which a limit is lowered for each slow answer.
const SLOW_FACTOR: f64 = 0.9;

/// The multiple of the minimum latency above which an answer counts as slow.
const SLOW_RATIO: u32 = 3;

const MAX_LIMIT: f64 = 64.0;

/// The number of answers after which the minimum latency is measured again.
const MIN_LATENCY_ANSWERS: u32 = 1000;

/// Keeps a limit for each target that is raised by about one for as many fast
/// answers as the limit allows at a time, and lowered when the target sheds or
/// becomes slow (AIMD).
#[derive(Clone, Debug, Default)]
pub struct Adaptive {
    windows: BTreeMap<Name, Window>,
}

#[derive(Clone, Copy, Debug)]
struct Window {
    limit: f64,
    min_latency: Duration,
    answers: u32,
}

impl Default for Window {
    fn default() -> Window {
        Window { limit: 1.0, min_latency: Duration::MAX, answers: 0 }
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
        if window.answers >= MIN_LATENCY_ANSWERS {
            window.answers = 0;
            window.min_latency = after;
        }
        window.min_latency = window.min_latency.min(after);
        if after > window.min_latency * SLOW_RATIO {
            window.limit = (window.limit * SLOW_FACTOR).max(1.0);
        } else {
            window.limit = (window.limit + 1.0 / window.limit).min(MAX_LIMIT);
        }
    }
}
