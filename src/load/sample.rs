//! What came of each query, and the figures over many of them.

use std::{collections::BTreeMap, time::Duration};

use hdrhistogram::Histogram;

/// What came of a query.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An answer with this coverage in parts per million.
    Answered { coverage: u32 },
    /// A refusal of this kind, and whether it says that nothing ran.
    Refused { kind: String, is_not_run: bool },
    /// No answer came.
    Lost,
}

/// A query that has ended.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was meant to start.
    pub at: Duration,
    /// The number of the service.
    pub service: usize,
    /// The time from the intended start to the end.
    pub took: Duration,
    /// What came of it.
    pub outcome: Outcome,
}

impl Sample {
    /// Whether an answer came.
    pub fn is_answered(&self) -> bool {
        matches!(self.outcome, Outcome::Answered { .. })
    }
}

/// The figures over some queries.
#[derive(Clone, Debug, Default, serde::Serialize)]
pub struct Summary {
    /// The queries that were sent.
    pub sent: u64,
    /// The answers, complete or partial.
    pub answered: u64,
    /// The answers that were complete.
    pub complete: u64,
    /// The mean coverage of the answers.
    pub coverage: f64,
    /// The median latency of the answers in milliseconds.
    pub p50_ms: f64,
    /// The 99th percentile.
    pub p99_ms: f64,
    /// The 99.9th percentile.
    pub p999_ms: f64,
    /// The refusals by kind.
    pub refusals: BTreeMap<String, u64>,
    /// The refusals that say that nothing ran.
    pub not_run: u64,
    /// The queries without an answer.
    pub lost: u64,
}

/// The longest latency that the histogram tells apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Sums samples up.
pub fn summary<'a>(samples: impl Iterator<Item = &'a Sample>) -> Summary {
    let mut summary = Summary::default();
    let mut histogram = Histogram::<u64>::new_with_bounds(1, MAX_MICROS, 3)
        .expect("the bounds of the histogram are constants");
    let mut coverage = 0.0;
    for sample in samples {
        summary.sent += 1;
        match &sample.outcome {
            Outcome::Answered { coverage: parts } => {
                let micros = u64::try_from(sample.took.as_micros()).unwrap_or(u64::MAX);
                histogram.saturating_record(micros);
                summary.answered += 1;
                summary.complete += u64::from(*parts >= laburnum_core::profile::WHOLE_PPM);
                coverage += f64::from(*parts) / f64::from(laburnum_core::profile::WHOLE_PPM);
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
        let millis = |part| histogram.value_at_quantile(part) as f64 / 1e3;
        summary.p50_ms = millis(0.5);
        summary.p99_ms = millis(0.99);
        summary.p999_ms = millis(0.999);
    }
    summary
}
