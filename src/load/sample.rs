//! The outcome of each query, and the summary of many.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

/// The outcome of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer, complete or partial, with its coverage in parts per million.
    Answered { coverage: u32 },
    /// A refusal with its kind, and whether it states that nothing ran.
    Refused { kind: String, is_not_run: bool },
    /// No response, or one that could not be read.
    Lost,
}

/// A finished query.
#[derive(Clone, Debug)]
pub struct Sample {
    /// The intended start, as the time since the start of the run.
    pub at: Duration,
    /// The position of the service in the scenario.
    pub service: usize,
    /// The time from the intended start to the end.
    pub latency: Duration,
    pub outcome: Outcome,
}

impl Sample {
    /// Whether the query got an answer, complete or partial.
    pub fn is_answered(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { .. })
    }
}

/// The figures of a set of queries. Latencies are those of the answers.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Summary {
    /// The number of queries sent.
    pub sent: u64,
    /// The number of answers, complete or partial.
    pub answered: u64,
    /// The number of complete answers.
    pub complete: u64,
    /// The mean coverage of the answers, from 0 to 1.
    pub coverage: f64,
    /// The median latency in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile of latency in milliseconds.
    pub p99_ms: f64,
    /// The 99.9th percentile of latency in milliseconds.
    pub p999_ms: f64,
    /// The number of refusals by kind.
    pub refusals: BTreeMap<String, u64>,
    /// The number of refusals that state that nothing ran.
    pub not_run: u64,
    /// The number of queries without a response.
    pub lost: u64,
}

/// The longest latency that the histogram resolves, in microseconds; longer ones
/// count as this one.
const MAX_LATENCY_MICROS: u64 = 60_000_000;

/// Summarises samples.
pub fn summary<'a>(samples: impl Iterator<Item = &'a Sample>) -> Summary {
    let mut summary = Summary::default();
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_LATENCY_MICROS, 3)
        .expect("the bounds of the histogram are constants");
    let mut coverage = 0.0;
    for sample in samples {
        summary.sent += 1;
        match &sample.outcome {
            Outcome::Answered { coverage: ppm } => {
                let micros = u64::try_from(sample.latency.as_micros()).unwrap_or(u64::MAX);
                histogram.saturating_record(micros);
                summary.answered += 1;
                summary.complete += u64::from(*ppm >= laburnum_core::profile::WHOLE_PPM);
                coverage += f64::from(*ppm) / f64::from(laburnum_core::profile::WHOLE_PPM);
            }
            Outcome::Refused { kind, is_not_run } => {
                *summary.refusals.entry(kind.clone()).or_default() += 1;
                summary.not_run += u64::from(*is_not_run);
            }
            Outcome::Lost => summary.lost += 1,
        }
    }
    if summary.answered > 0 {
        summary.coverage = coverage / summary.answered as f64;
        let millis = |quantile| histogram.value_at_quantile(quantile) as f64 / 1e3;
        summary.p50_ms = millis(0.5);
        summary.p99_ms = millis(0.99);
        summary.p999_ms = millis(0.999);
    }
    summary
}
