//! The schedule of faults of a soak, which is drawn from a seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    deployment::{RELAY_CORES, TARGET_COUNT},
    fault::{self, Fault},
};

/// The period in which faults begin.
pub const FAULT_PERIOD: Duration = Duration::from_secs(8);

/// How long the load continues without faults after the last one, so that the checks
/// see whether requests are served again.
pub const CALM_PERIOD: Duration = Duration::from_secs(8);

/// A fault and the time after the start at which it is injected.
#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    pub fault: Fault,
}

/// Draws the faults of a seed, sorted by their start. They may overlap.
pub fn draw(seed: u64) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(3..10);
    let mut steps: Vec<Step> = (0..count)
        .map(|_| {
            let at = FAULT_PERIOD.mul_f64(random.random::<f64>());
            Step { at, fault: fault::draw(&mut random, RELAY_CORES.len(), TARGET_COUNT) }
        })
        .collect();
    steps.sort_by_key(|step| step.at);
    steps
}
