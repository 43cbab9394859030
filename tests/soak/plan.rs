//! What happens in a soak, drawn from its seed.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use crate::{
    bed::{RELAYS, TARGETS},
    fault::{self, Fault},
};

/// The time in which faults begin.
pub const FAULTS: Duration = Duration::from_secs(8);

/// The time after the last fault in which requests are served again.
pub const CALM: Duration = Duration::from_secs(8);

/// A fault with the time of its beginning.
#[derive(Clone, Debug)]
pub struct Step {
    pub at: Duration,
    pub fault: Fault,
}

/// Draws the faults of a seed, in the order of their times. They overlap as they
/// come.
pub fn draw(seed: u64) -> Vec<Step> {
    let mut random = StdRng::seed_from_u64(seed);
    let count = random.random_range(3..10);
    let mut steps: Vec<Step> = (0..count)
        .map(|_| {
            let at = FAULTS.mul_f64(random.random::<f64>());
            Step { at, fault: fault::draw(&mut random, RELAYS.len(), TARGETS) }
        })
        .collect();
    steps.sort_by_key(|step| step.at);
    steps
}
