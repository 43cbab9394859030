//! The retry budget of a service at this VM.
//!
//! The bound holds for all VMs together in every window. Each VM applies it to
//! its own requests with an equal share of the slack, so that the sum stays
//! within the bound however requests are distributed and however many VMs
//! restart.

use std::{collections::VecDeque, time::Duration};

use crate::time::Instant;

/// The number of steps that a window is divided into.
const STEPS_PER_WINDOW: u32 = 20;

/// The attempts sent in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Step {
    number: u64,
    first: u32,
    extra: u32,
}

/// The attempts sent to a service within a window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    steps: VecDeque<Step>,
}

/// The bound on attempts beyond the first.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    pub window: Duration,
    /// The extra attempts allowed for each first attempt in the window.
    pub ratio: f64,
    /// The extra attempts allowed in a window without a first attempt.
    pub slack: f64,
}

impl Budget {
    pub fn record_first(&mut self, now: Instant, window: Duration) {
        self.step(now, window).first += 1;
    }

    /// Spends one extra attempt, or returns false if the budget has none left.
    pub fn take(&mut self, now: Instant, bound: Bound) -> bool {
        self.step(now, bound.window);
        let (first, extra) = self.sums();
        if f64::from(extra + 1) > bound.ratio * f64::from(first) + bound.slack {
            return false;
        }
        self.step(now, bound.window).extra += 1;
        true
    }

    /// Returns the number of extra attempts that are left.
    pub fn remaining(&mut self, now: Instant, bound: Bound) -> f64 {
        self.step(now, bound.window);
        let (first, extra) = self.sums();
        bound.ratio * f64::from(first) + bound.slack - f64::from(extra)
    }

    /// Returns whether any attempt was sent within the window.
    pub fn is_used(&mut self, now: Instant, window: Duration) -> bool {
        self.step(now, window);
        self.sums() != (0, 0)
    }

    fn sums(&self) -> (u32, u32) {
        let add = |(first, extra), step: &Step| (first + step.first, extra + step.extra);
        self.steps.iter().fold((0, 0), add)
    }

    /// Drops the steps that have left the window and returns the step of `now`.
    fn step(&mut self, now: Instant, window: Duration) -> &mut Step {
        let width = (window / STEPS_PER_WINDOW).max(Duration::from_millis(1));
        let number = now.0 / u64::try_from(width.as_micros()).unwrap_or(u64::MAX);
        while self
            .steps
            .front()
            .is_some_and(|step| step.number + u64::from(STEPS_PER_WINDOW) < number)
        {
            self.steps.pop_front();
        }
        if self.steps.back().is_none_or(|step| step.number < number) {
            self.steps.push_back(Step { number, first: 0, extra: 0 });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
