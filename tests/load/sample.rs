//! The figures over queries.

use std::time::Duration;

use laburnumworks::load::sample::{Outcome, Sample, Summary, summary};

fn answered(took_ms: u64, coverage: u32) -> Sample {
    let took = Duration::from_millis(took_ms);
    let outcome = Outcome::Answered { coverage };
    Sample { at: Duration::ZERO, service: 0, took, outcome }
}

fn refused(kind: &str, is_not_run: bool) -> Sample {
    let outcome = Outcome::Refused { kind: kind.to_owned(), is_not_run };
    Sample { outcome, ..answered(1, 0) }
}

fn of(samples: &[Sample]) -> Summary {
    summary(samples.iter())
}

fn near(found: f64, expected: f64) {
    assert!((found - expected).abs() <= expected / 500.0, "{found}, expected {expected}");
}

cases! {
    quantiles_are_of_the_answers => {
        let samples: Vec<Sample> = (1..=1000).map(|ms| answered(ms, 1_000_000)).collect();
        let summary = of(&samples);
        near(summary.p50_ms, 500.0);
        near(summary.p99_ms, 990.0);
        near(summary.p999_ms, 999.0);
    };
    a_refusal_has_no_latency => {
        let summary = of(&[answered(100, 1_000_000), refused("overloaded", true)]);
        near(summary.p50_ms, 100.0);
        assert_eq!((summary.sent, summary.answered), (2, 1));
    };
    partial_answers_are_not_complete => {
        let summary = of(&[answered(1, 1_000_000), answered(1, 500_000)]);
        assert_eq!((summary.answered, summary.complete), (2, 1));
        near(summary.coverage, 0.75);
    };
    refusals_are_counted_by_kind => {
        let kinds = [refused("overloaded", true), refused("overloaded", false), refused("x", true)];
        let summary = of(&kinds);
        assert_eq!(summary.refusals["overloaded"], 2);
        assert_eq!(summary.not_run, 2);
    };
    nothing_has_no_figures => assert_eq!(of(&[]).p99_ms, 0.0);
}
