//! Which target a leg goes to.

use std::time::Duration;

use crate::{relay::table::target::Target, time::Instant};

/// What a connection costs that has to be opened first.
const OPENING: Duration = Duration::from_millis(8);

/// What a target of another failure domain costs beyond its latency: its bytes
/// are paid for, and a leg may take so much longer within the domain.
const FAR: Duration = Duration::from_millis(10);

/// The factor on the time of a target that just started.
const COLD: f64 = 1.6;

/// The weight of failures: a target that fails every second request counts as
/// this half as slow again.
const ERRORS: f64 = 6.0;

/// The share of its usual time that a leg loses to each other one that a target
/// with free slots runs.
const SHARING: f64 = 0.15;

/// The multiple of the usual time after which a target that has not answered is
/// taken to be paused.
const PAUSED: u32 = 3;

/// The least time without an answer that counts as a pause.
const LEAST_PAUSE: Duration = Duration::from_millis(15);

/// What a choice may look at beside the target.
#[derive(Clone, Copy, Debug)]
pub struct CostContext {
    /// Now.
    pub now: Instant,
    /// The usual time of an attempt.
    pub usual_latency: Duration,
    /// Whether the target is in the failure domain of this VM.
    pub is_same_domain: bool,
}

/// The choice of a target: the one with the least cost gets the leg.
pub trait Choice {
    /// The cost of a target, in seconds.
    fn cost(&self, target: &Target, facts: &CostContext) -> f64;
}

/// The time that an answer is expected to take.
#[derive(Clone, Copy, Debug)]
pub struct Expected;

impl Choice for Expected {
    fn cost(&self, target: &Target, facts: &CostContext) -> f64 {
        let now = facts.now;
        let cold = if target.cold_until > now { COLD } else { 1.0 };
        let run = facts.usual_latency.as_secs_f64() * target.slowness(now) * cold;
        let busy = target.running.len() as f64 + target.others(now);
        let slots = f64::from(target.entry.slots.max(1));
        let queued = (busy + 1.0 - slots).max(0.0) / slots;
        let shared = SHARING * busy.min(slots);
        let mut cost = run * (1.0 + queued + shared) * (1.0 + ERRORS * target.errors(now));
        if !facts.is_same_domain {
            cost += FAR.as_secs_f64();
        }
        if target.idle.is_empty() {
            cost += OPENING.as_secs_f64();
        }
        cost + silence(target, facts).as_secs_f64()
    }
}

/// For how long a target has been silent beyond what is usual, which is the
/// least that its pause will still seem to last.
fn silence(target: &Target, facts: &CostContext) -> Duration {
    let Some((oldest, _)) = target.running.first() else { return Duration::ZERO };
    let age = facts.now.since(*oldest);
    let usual = (facts.usual_latency * PAUSED).max(LEAST_PAUSE);
    if age > usual { age } else { Duration::ZERO }
}
