//! Seeded Poisson arrivals.

use std::time::Duration;

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::{scenario::Scenario, scene::Scene};

/// A query that is to be sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Arrival {
    /// When it is meant to start.
    pub at: Duration,
    /// The number of the service.
    pub service: usize,
    /// The text that it searches.
    pub text: String,
}

/// What arrivals are made from.
#[derive(Clone, Copy, Debug)]
pub struct Params {
    /// Seeds times and texts.
    pub seed: u64,
    /// The length of the run.
    pub duration: Duration,
    /// The queries in a hundred that ask for the same text.
    pub identical_percent: u32,
}

/// The texts that identical queries ask for.
const POPULAR: u64 = 4;

/// Draws the arrivals of a run in order of time.
///
/// Arrivals are drawn at the highest rate and thinned to the rate of their
/// time, which keeps them a Poisson process.
pub fn draw(scenario: &Scenario, scene: &Scene, params: Params) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (service, sized) in scenario.services.iter().enumerate() {
        let mut random = StdRng::seed_from_u64(params.seed.wrapping_add(service as u64));
        let rate = sized.capacity() * scene.load;
        let highest = scene.highest_factor();
        let mut at = 0.0;
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / (rate * highest);
            let time = Duration::from_secs_f64(at);
            if time >= params.duration {
                break;
            }
            if random.random::<f64>() * highest > scene.factor(time, params.duration) {
                continue;
            }
            let text = text(&mut random, params.identical_percent, arrivals.len());
            arrivals.push(Arrival { at: time, service, text });
        }
    }
    arrivals.sort();
    arrivals
}

/// Draws a fixed rate against one service.
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
        let text = text(&mut random, params.identical_percent, arrivals.len());
        arrivals.push(Arrival { at: time, service: 0, text });
    }
}

fn text(random: &mut StdRng, identical: u32, number: usize) -> String {
    if random.random_range(0..100) < identical {
        return format!("licence 00000{}", random.random_range(0..POPULAR));
    }
    format!("licence {number:06} ")
}
