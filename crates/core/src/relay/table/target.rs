//! A target, as observed by this VM.

use std::{collections::BTreeSet, sync::Arc, time::Duration};

use crate::{
    relay::{
        Connection,
        message::{Load, Notice},
        view,
    },
    time::Instant,
};

/// The weight of a new sample in the slowness and the error rate of a target.
const SAMPLE_WEIGHT: f64 = 0.25;

/// The time in which the weight of an estimate falls by a factor of e, to about a
/// third, so that a target that recovered is tried again.
const ESTIMATE_DECAY: Duration = Duration::from_secs(4);

/// The time in which the weight of a reported load falls to zero.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(300);

/// How long a target that is leaving still gets requests that no other target can take.
/// Targets serve for at least 3 s after they announced that they leave.
const LEAVING_GRACE: Duration = Duration::from_millis(1500);

/// The pause after a first loss; each further loss doubles it.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// The longest pause after losses.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// A load with the time of its report.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: Load,
    at: Instant,
}

/// A target with its connections and the estimates that this VM has of it.
#[derive(Clone, Debug)]
pub struct Target {
    /// The registration of the target.
    pub entry: Arc<view::Target>,
    /// Whether the target may get new work.
    pub is_usable: bool,
    /// Whether it is not listed at the moment. One that is listed again may be used again,
    /// unless it was draining.
    pub is_unlisted: bool,
    /// When the target no longer counts as slow from its start.
    pub cold_until: Instant,
    /// All connections to the target.
    pub connections: BTreeSet<Connection>,
    /// The connections without an attempt; the last one was used most recently.
    pub idle: Vec<Connection>,
    /// The attempts that the target runs for this VM, with the time each was sent.
    pub running: BTreeSet<(Instant, crate::relay::Attempt)>,
    /// Whether the first connection was scheduled.
    pub is_warmed: bool,
    /// When a connection may be opened again after a loss.
    pub pause_until: Instant,
    /// Until when the target wants no request from this VM.
    pub backoff_until: Instant,
    /// When the target said in a reply that it is leaving.
    pub leaving_since: Option<Instant>,
    losses: u32,
    slowness: f64,
    error_rate: f64,
    last_sample: Instant,
    report: Option<Report>,
}

impl Target {
    /// Creates a target of which only the registration is known.
    pub fn new(entry: Arc<view::Target>, now: Instant) -> Target {
        Target {
            cold_until: now + entry.cold,
            entry,
            is_usable: true,
            is_unlisted: false,
            connections: BTreeSet::new(),
            idle: Vec::new(),
            running: BTreeSet::new(),
            is_warmed: false,
            pause_until: Instant::default(),
            backoff_until: Instant::default(),
            leaving_since: None,
            losses: 0,
            slowness: 1.0,
            error_rate: 0.0,
            last_sample: now,
            report: None,
        }
    }

    /// Records a reply that took `ratio` times as long as usual.
    pub fn record_reply(&mut self, ratio: f64, is_success: bool, now: Instant) {
        let (slowness, error_rate) = (self.slowness(now), self.error_rate(now));
        self.slowness = slowness + (ratio.clamp(0.2, 20.0) - slowness) * SAMPLE_WEIGHT;
        let error = if is_success { 0.0 } else { 1.0 };
        self.error_rate = error_rate + (error - error_rate) * SAMPLE_WEIGHT;
        self.last_sample = now;
        self.losses = 0;
        if is_success {
            self.pause_until = Instant::default();
        }
    }

    /// Records an attempt that was given up after `ratio` times the usual latency:
    /// its reply would have taken longer.
    pub fn record_overdue(&mut self, ratio: f64, now: Instant) {
        if ratio > self.slowness(now) {
            self.record_slow_reply(ratio, now);
        }
    }

    fn record_slow_reply(&mut self, ratio: f64, now: Instant) {
        let slowness = self.slowness(now);
        self.slowness = slowness + (ratio.clamp(0.2, 20.0) - slowness) * SAMPLE_WEIGHT;
        self.last_sample = now;
    }

    /// Records a lost connection and sets a pause before the next one.
    pub fn record_loss(&mut self, now: Instant) {
        let error_rate = self.error_rate(now);
        self.error_rate = error_rate + (1.0 - error_rate) * SAMPLE_WEIGHT;
        self.last_sample = now;
        let pause = FIRST_PAUSE.saturating_mul(1 << self.losses.min(8));
        self.losses += 1;
        self.pause_until = now + pause.min(MAX_PAUSE);
    }

    /// Returns whether connections were lost since the last reply and the pause after
    /// them has not ended.
    pub fn is_failing(&self, now: Instant) -> bool {
        self.losses > 0 && self.pause_until > now
    }

    /// Records what the target said about further requests.
    pub fn record_notice(&mut self, notice: Notice, now: Instant) {
        if let Some(pause) = notice.pause {
            self.backoff_until = self.backoff_until.max(now + pause);
        }
        if notice.is_leaving {
            self.leaving_since.get_or_insert(now);
        }
    }

    /// Returns whether the target asked this VM to send nothing for now.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until > now
    }

    /// Returns whether the target said that it is leaving, so that it gets new work only
    /// where no other target is left, and none after a short time.
    pub fn is_leaving(&self) -> bool {
        self.leaving_since.is_some()
    }

    /// Returns whether a leaving target gets no work at all any more.
    pub fn has_left(&self, now: Instant) -> bool {
        self.leaving_since.is_some_and(|since| now.since(since) >= LEAVING_GRACE)
    }

    /// Records the load that the target reported.
    pub fn record_load(&mut self, load: Load, now: Instant) {
        self.report = Some(Report { load, at: now });
    }

    /// Returns the factor by which replies take longer than usual.
    pub fn slowness(&self, now: Instant) -> f64 {
        1.0 + (self.slowness - 1.0) * self.weight(now)
    }

    /// Returns the share of replies and connections that failed.
    pub fn error_rate(&self, now: Instant) -> f64 {
        self.error_rate * self.weight(now)
    }

    /// Returns the number of requests from other VMs at the target by its last load
    /// report, which counts for less as it ages.
    pub fn load_from_others(&self, now: Instant) -> f64 {
        let Some(report) = self.report else { return 0.0 };
        let age = now.since(report.at).as_secs_f64() / LOAD_REPORT_LIFETIME.as_secs_f64();
        if age >= 1.0 {
            return 0.0;
        }
        // The report was made while a request of this VM still ran.
        let busy = f64::from(report.load.running + report.load.waiting) - 1.0;
        busy.max(0.0) * (1.0 - age)
    }

    /// Returns whether the target has a free slot, as far as this VM knows.
    pub fn has_free_slot(&self, now: Instant) -> bool {
        let busy = self.running.len() as f64 + self.load_from_others(now);
        busy < f64::from(self.entry.slots)
    }

    fn weight(&self, now: Instant) -> f64 {
        (-now.since(self.last_sample).as_secs_f64() / ESTIMATE_DECAY.as_secs_f64()).exp()
    }
}
