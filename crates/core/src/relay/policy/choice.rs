//! Chooses the target that a leg is sent to.

use std::time::Duration;

use crate::{relay::table::target::Target, time::Instant};

/// The cost of opening a connection, for a target that has no idle one.
const CONNECT_COST: Duration = Duration::from_millis(8);

/// The cost of a target in another failure domain on top of its latency. Traffic
/// between domains is paid for, so a leg stays in its domain even if it takes
/// up to this much longer there.
const REMOTE_DOMAIN_COST: Duration = Duration::from_millis(10);

/// The factor on the expected time of a target that just started.
const COLD_START_FACTOR: f64 = 1.6;

/// The weight of the error rate in the cost: a target that fails half of its
/// requests has `1 + ERROR_WEIGHT / 2` times the cost of one without failures.
const ERROR_WEIGHT: f64 = 6.0;

/// The share of its usual time by which a leg takes longer for each other request
/// that the target runs in one of its slots.
const SLOWDOWN_PER_BUSY_SLOT: f64 = 0.15;

/// The multiple of the usual latency after which a target that has not answered
/// counts as paused.
const PAUSE_LATENCY_FACTOR: u32 = 3;

/// The shortest time without an answer that counts as a pause.
const MIN_PAUSE: Duration = Duration::from_millis(15);

/// What the cost of a target depends on besides the target itself.
#[derive(Clone, Copy, Debug)]
pub struct CostContext {
    pub now: Instant,
    /// The usual latency of an attempt on the route.
    pub usual_latency: Duration,
    /// Whether the target is in the failure domain of this VM.
    pub is_same_domain: bool,
}

/// Ranks the targets of a service: the one with the lowest cost gets the leg.
pub trait Choice {
    /// Returns the cost of a target in seconds.
    fn cost(&self, target: &Target, context: &CostContext) -> f64;
}

/// Takes the expected time until the answer as the cost.
#[derive(Clone, Copy, Debug)]
pub struct Expected;

impl Choice for Expected {
    fn cost(&self, target: &Target, context: &CostContext) -> f64 {
        let now = context.now;
        let cold = if target.cold_until > now { COLD_START_FACTOR } else { 1.0 };
        let run = context.usual_latency.as_secs_f64() * target.slowness(now) * cold;
        let busy = target.running.len() as f64 + target.load_from_others(now);
        let slots = f64::from(target.entry.slots.max(1));
        let queued = (busy + 1.0 - slots).max(0.0) / slots;
        let shared = SLOWDOWN_PER_BUSY_SLOT * busy.min(slots);
        let mut cost =
            run * (1.0 + queued + shared) * (1.0 + ERROR_WEIGHT * target.error_rate(now));
        if !context.is_same_domain {
            cost += REMOTE_DOMAIN_COST.as_secs_f64();
        }
        if target.idle.is_empty() {
            cost += CONNECT_COST.as_secs_f64();
        }
        cost + expected_pause(target, context).as_secs_f64()
    }
}

/// Returns how long the oldest running attempt has waited for its answer if that
/// is longer than usual, else zero. A pause that has lasted so long is expected
/// to last at least as long again.
fn expected_pause(target: &Target, context: &CostContext) -> Duration {
    let Some((oldest, _)) = target.running.first() else { return Duration::ZERO };
    let age = context.now.since(*oldest);
    let pause_threshold = (context.usual_latency * PAUSE_LATENCY_FACTOR).max(MIN_PAUSE);
    if age > pause_threshold { age } else { Duration::ZERO }
}
