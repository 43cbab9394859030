//! The retry budget of a service at this VM.
//!
//! The bound holds for all VMs together in every window. Each VM keeps it for
//! its own requests and an equal share of the slack, so that the sum holds
//! however requests are spread and however many VMs start anew.

use std::{collections::VecDeque, time::Duration};

use crate::time::Instant;

/// The steps into which a window is divided.
const STEPS: u32 = 20;

/// What was sent in one step of time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Step {
    number: u64,
    first: u32,
    extra: u32,
}

/// What a service was sent within a window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    steps: VecDeque<Step>,
}

/// The bound on attempts beyond the first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// The window.
    pub window: Duration,
    /// The attempts allowed for each first one in the window.
    pub ratio: f64,
    /// The attempts allowed without any first one.
    pub slack: f64,
}

impl Budget {
    /// Notes a first attempt.
    pub fn record_first(&mut self, now: Instant, window: Duration) {
        self.step(now, window).first += 1;
    }

    /// Takes one attempt beyond the first from the budget, or returns false.
    pub fn take(&mut self, now: Instant, bound: Bound) -> bool {
        self.step(now, bound.window);
        let (first, extra) = self.sums();
        if f64::from(extra + 1) > bound.ratio * f64::from(first) + bound.slack {
            return false;
        }
        self.step(now, bound.window).extra += 1;
        true
    }

    /// The attempts that are left.
    pub fn remaining(&mut self, now: Instant, bound: Bound) -> f64 {
        self.step(now, bound.window);
        let (first, extra) = self.sums();
        bound.ratio * f64::from(first) + bound.slack - f64::from(extra)
    }

    /// Whether anything was sent within the window.
    pub fn is_used(&mut self, now: Instant, window: Duration) -> bool {
        self.step(now, window);
        self.sums() != (0, 0)
    }

    fn sums(&self) -> (u32, u32) {
        let add = |(first, extra), step: &Step| (first + step.first, extra + step.extra);
        self.steps.iter().fold((0, 0), add)
    }

    /// The step of `now`, after the steps that left the window were dropped.
    fn step(&mut self, now: Instant, window: Duration) -> &mut Step {
        let width = (window / STEPS).max(Duration::from_millis(1));
        let number = now.0 / u64::try_from(width.as_micros()).unwrap_or(u64::MAX);
        while self.steps.front().is_some_and(|step| step.number + u64::from(STEPS) < number) {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step { number, first: 0, extra: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
