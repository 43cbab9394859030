//! Query arrivals as a seeded Poisson process.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{scenario::Scenario, scene::Scene};

/// A query to send.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival {
    /// The intended start, as the time since the start of the run.
    pub at: Duration,
    /// The position of the service in [`Scenario::services`].
    pub service: usize,
    /// The search text.
    pub text: String,
}

/// The parameters that determine the arrivals of a run.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// The seed of times and texts.
    pub seed: u64,
    pub duration: Duration,
    /// The percentage of queries whose text is one of a few popular ones.
    pub identical_percent: u32,
}

/// The number of distinct texts among the identical queries.
const POPULAR_TEXTS: u64 = 4;

/// Draws the arrivals of a run, sorted by time.
///
/// Arrivals are drawn at the highest rate of the run and then thinned to the rate
/// at their time, so that they remain a Poisson process.
pub fn draw(scenario: &Scenario, scene: &Scene, params: Params) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (service, config) in scenario.services.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(params.seed.wrapping_add(service as u64));
        let rate = config.capacity() * scene.load;
        let max_factor = scene.max_rate_factor();
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / (rate * max_factor);
            let time = Duration::from_secs_f64(at);
            if time >= params.duration {
                break;
            }
            if random.random::<f64>() * max_factor > scene.rate_factor(time, params.duration) {
                continue;
            }
            let text = draw_text(&mut random, params.identical_percent, arrivals.len());
            arrivals.push(Arrival { at: time, service, text });
        }
    }
    arrivals.sort();
    arrivals
}

/// Draws arrivals at a constant rate per second for the first service.
pub fn draw_at_rate(rate: f64, params: Params) -> Vec<Arrival> {
    let mut random = StdRng::seed_from_u64(params.seed);
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at += -(1.0 - random.random::<f64>()).ln() / rate;
        let time = Duration::from_secs_f64(at);
        if time >= params.duration {
            return arrivals;
        }
        let text = draw_text(&mut random, params.identical_percent, arrivals.len());
        arrivals.push(Arrival { at: time, service: 0, text });
    }
}

fn draw_text(random: &mut StdRng, identical_percent: u32, number: usize) -> String {
    if random.random_range(0..100) < identical_percent {
        return format!("licence 00000{}", random.random_range(0..POPULAR_TEXTS));
    }
    format!("licence {number:06} ")
}
