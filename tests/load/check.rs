//! The checks of measured rows against the product's targets.

use laburnumworks::load::{
    check::check,
    report::{Burst, Row},
    sample::Summary,
};

fn row(scheme: &str, scene: &str) -> Row {
    Row {
        scheme: scheme.to_owned(),
        scene: scene.to_owned(),
        service: "licences".to_owned(),
        summary: Summary { p99_ms: 100.0, ..Summary::default() },
        sent_per_second: 85.0,
        goodput_per_second: 85.0,
        capacity_per_second: 100.0,
        extra_load: Some(1.04),
        attempts_per_first: Some(1.04),
        hedges: 0.0,
        retries: 0.0,
        denied: 0.0,
        connections: 2,
        connection_limit: 55,
        platform_calls_per_second: 1.0,
        processor_cores: 1.0,
        tier_micros_per_attempt: None,
        burst: None,
    }
}

/// The texts of the targets that are not met.
fn unmet_targets(rows: &[Row]) -> Vec<String> {
    let findings = check(rows).into_iter().filter(|finding| !finding.met);
    findings.map(|finding| finding.target).collect()
}

/// Checks that exactly one target is not met and that its text contains `text`.
fn assert_one_unmet(rows: &[Row], text: &str) {
    let unmet = unmet_targets(rows);
    assert_eq!(unmet.len(), 1, "{unmet:?}");
    assert!(unmet[0].contains(text), "{unmet:?}");
}

fn product_row(scene: &str, change: impl FnOnce(&mut Row)) -> Row {
    let mut row = row("homes", scene);
    change(&mut row);
    row
}

fn baseline_row(p99_ms: f64, goodput: f64) -> Row {
    let mut row = row("share", "steady-85");
    row.summary.p99_ms = p99_ms;
    row.goodput_per_second = goodput;
    row
}

fn burst_row(goodput: f64, after: f64) -> Row {
    product_row("burst", |row| {
        row.burst = Some(Burst {
            goodput_per_second: goodput,
            allowed_per_second: 100.0,
            p99_before_ms: 50.0,
            p99_after_ms: after,
        });
    })
}

cases! {
    all_is_met => {
        assert!(unmet_targets(&[row("homes", "steady-85"), burst_row(96.0, 70.0)]).is_empty());
    };
    connections_beyond_the_limit => {
        assert_one_unmet(&[product_row("steady-30", |row| row.connections = 56)], "connections");
    };
    extra_load_beyond_five_percent => {
        assert_one_unmet(
            &[product_row("straggler", |row| row.extra_load = Some(1.051))],
            "extra load",
        );
    };
    latency_with_a_straggler_beyond_the_limit => {
        let slow = product_row("straggler", |row| row.summary.p99_ms = 201.0);
        assert_one_unmet(&[row("homes", "steady-60"), slow], "without straggler");
    };
    goodput_below_what_the_slots_allow => {
        assert_one_unmet(
            &[product_row("steady-85", |row| row.goodput_per_second = 80.0)],
            "goodput",
        );
    };
    a_retry_storm => {
        assert_one_unmet(
            &[product_row("steady-85", |row| row.attempts_per_first = Some(1.11))],
            "attempts",
        );
    };
    goodput_in_a_burst => assert_one_unmet(&[burst_row(94.0, 50.0)], "goodput");
    latency_after_a_burst => assert_one_unmet(&[burst_row(96.0, 76.0)], "burst");
    a_baseline_that_is_nearly_as_good => {
        assert_one_unmet(&[row("homes", "steady-85"), baseline_row(199.0, 85.0)], "best baseline");
    };
    a_baseline_that_refuses_most_is_not_compared => {
        assert!(unmet_targets(&[row("homes", "steady-85"), baseline_row(10.0, 20.0)]).is_empty());
    };
}
