//! A target, as this VM has seen it.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use crate::{
    relay::{Connection, message::Load, view},
    time::Instant,
};

/// The weight of a new reply in the slowness of a target.
const WEIGHT: f64 = 0.25;

/// The time after which an estimate has lost two thirds of its weight, so that
/// a target that recovered is tried again.
const MEMORY: Duration = Duration::from_secs(4);

/// The time for which a reported load says something.
const LOAD_AGE: Duration = Duration::from_millis(300);

/// The first pause after a loss; each further one doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause after losses.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// A load with the time of its report.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    at: Instant,
}

/// A target and what this VM knows of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// How it registered itself.
    pub entry: Arc<view::Target>,
    /// Whether it may get new work.
    pub is_usable: bool,
    /// When its slow start ends.
    pub cold_until: Instant,
    /// Every connection to it.
    pub connections: BTreeSet<Connection>,
    /// The connections that wait for a request; the last one was used last.
    pub idle: Vec<Connection>,
    /// The attempts that it runs for this VM, with the time of each.
    pub running: BTreeSet<(Instant, crate::relay::Attempt)>,
    /// Whether its first connection was planned.
    pub is_warmed: bool,
    /// When a connection may be opened again after a loss.
    pub pause_until: Instant,
    losses: u32,
    slowness: f64,
    errors: f64,
    learnt: Instant,
    report: Option<Report>,
}

impl Target {
    /// A target of which nothing but its entry is known.
    pub fn new(entry: Arc<view::Target>, now: Instant) -> Target {
        Target {
            cold_until: now + entry.cold,
            entry,
            is_usable: true,
            connections: BTreeSet::new(),
            idle: Vec::new(),
            running: BTreeSet::new(),
            is_warmed: false,
            pause_until: Instant::default(),
            losses: 0,
            slowness: 1.0,
            errors: 0.0,
            learnt: now,
            report: None,
        }
    }

    /// Notes a reply that took `ratio` times as long as usual.
    pub fn record_reply(&mut self, ratio: f64, is_success: bool, now: Instant) {
        let (slowness, errors) = (self.slowness(now), self.errors(now));
        self.slowness = slowness + (ratio.clamp(0.2, 20.0) - slowness) * WEIGHT;
        let error = if is_success { 0.0 } else { 1.0 };
        self.errors = errors + (error - errors) * WEIGHT;
        self.learnt = now;
        self.losses = 0;
        if is_success {
            self.pause_until = Instant::default();
        }
    }

    /// Notes that a reply would have taken longer than `ratio` times as long as
    /// usual.
    pub fn record_overdue(&mut self, ratio: f64, now: Instant) {
        if ratio > self.slowness(now) {
            self.replied_slowly(ratio, now);
        }
    }

    fn replied_slowly(&mut self, ratio: f64, now: Instant) {
        let slowness = self.slowness(now);
        self.slowness = slowness + (ratio.clamp(0.2, 20.0) - slowness) * WEIGHT;
        self.learnt = now;
    }

    /// Notes a lost connection and pauses before the next one.
    pub fn record_loss(&mut self, now: Instant) {
        let errors = self.errors(now);
        self.errors = errors + (1.0 - errors) * WEIGHT;
        self.learnt = now;
        let pause = FIRST_PAUSE.saturating_mul(1 << self.losses.min(8));
        self.losses += 1;
        self.pause_until = now + pause.min(LONGEST_PAUSE);
    }

    /// Whether it lost connections and did not answer since.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.losses > 0 && self.pause_until > now
    }

    /// Notes the load that it reported.
    pub fn record_load(&mut self, load: Load, now: Instant) {
        self.report = Some(Report { load, at: now });
    }

    /// How much longer than usual its replies take.
    pub fn slowness(&self, now: Instant) -> f64 {
        1.0 + (self.slowness - 1.0) * self.weight(now)
    }

    /// The share of its replies that are failures.
    pub fn errors(&self, now: Instant) -> f64 {
        self.errors * self.weight(now)
    }

    /// The requests that others run there, as far as its last report says.
    pub fn others(&self, now: Instant) -> f64 {
        let Some(report) = self.report else { return 0.0 };
        let age = now.since(report.at).as_secs_f64() / LOAD_AGE.as_secs_f64();
        if age >= 1.0 {
            return 0.0;
        }
        // The report was made while a request of this VM still ran.
        let busy = f64::from(report.load.running + report.load.waiting) - 1.0;
        busy.max(0.0) * (1.0 - age)
    }

    /// Whether it has a free slot, as far as this VM knows.
    pub fn has_free_slot(&self, now: Instant) -> bool {
        let busy = self.running.len() as f64 + self.others(now);
        busy < f64::from(self.entry.slots)
    }

    fn weight(&self, now: Instant) -> f64 {
        (-now.since(self.learnt).as_secs_f64() / MEMORY.as_secs_f64()).exp()
    }
}
