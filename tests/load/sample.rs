//! The summary of samples.

use std::time::Duration;

use laburnumworks::load::sample::{Outcome, Sample, Summary, summary};

fn answered(latency_ms: u64, coverage: u32) -> Sample {
    let latency = Duration::from_millis(latency_ms);
    let outcome = Outcome::Answered { coverage };
    Sample { at: Duration::ZERO, service: 0, latency, outcome }
}

fn refused(kind: &str, is_not_run: bool) -> Sample {
    let outcome = Outcome::Refused { kind: kind.to_owned(), is_not_run };
    Sample { outcome, ..answered(1, 0) }
}

fn summarise(samples: &[Sample]) -> Summary {
    summary(samples.iter())
}

fn assert_close(found: f64, expected: f64) {
    assert!((found - expected).abs() <= expected / 500.0, "{found}, expected {expected}");
}

cases! {
    quantiles_are_of_the_answers => {
        let samples: Vec<Sample> = (1..=1000).map(|ms| answered(ms, 1_000_000)).collect();
        let summary = summarise(&samples);
        assert_close(summary.p50_ms, 500.0);
        assert_close(summary.p99_ms, 990.0);
        assert_close(summary.p999_ms, 999.0);
    };
    a_refusal_has_no_latency => {
        let summary = summarise(&[answered(100, 1_000_000), refused("overloaded", true)]);
        assert_close(summary.p50_ms, 100.0);
        assert_eq!((summary.sent, summary.answered), (2, 1));
    };
    partial_answers_are_not_complete => {
        let summary = summarise(&[answered(1, 1_000_000), answered(1, 500_000)]);
        assert_eq!((summary.answered, summary.complete), (2, 1));
        assert_close(summary.coverage, 0.75);
    };
    refusals_are_counted_by_kind => {
        let kinds = [refused("overloaded", true), refused("overloaded", false), refused("x", true)];
        let summary = summarise(&kinds);
        assert_eq!(summary.refusals["overloaded"], 2);
        assert_eq!(summary.not_run, 2);
    };
    without_samples_the_p99_is_zero => assert_eq!(summarise(&[]).p99_ms, 0.0);
}
