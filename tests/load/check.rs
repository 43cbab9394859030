//! The bounds of the targets.

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

/// The targets that are not met, by the start of their text.
fn unmet(rows: &[Row]) -> Vec<String> {
    let findings = check(rows).into_iter().filter(|finding| !finding.met);
    findings.map(|finding| finding.target).collect()
}

fn only(rows: &[Row], text: &str) {
    let unmet = unmet(rows);
    assert_eq!(unmet.len(), 1, "{unmet:?}");
    assert!(unmet[0].contains(text), "{unmet:?}");
}

fn with(scene: &str, change: impl FnOnce(&mut Row)) -> Row {
    let mut row = row("homes", scene);
    change(&mut row);
    row
}

fn baseline(p99_ms: f64, goodput: f64) -> Row {
    let mut row = row("share", "steady-85");
    row.summary.p99_ms = p99_ms;
    row.goodput_per_second = goodput;
    row
}

fn burst(goodput: f64, after: f64) -> Row {
    with("burst", |row| {
        row.burst = Some(Burst {
            goodput_per_second: goodput,
            allowed_per_second: 100.0,
            p99_before_ms: 50.0,
            p99_after_ms: after,
        });
    })
}

cases! {
    all_is_met => assert!(unmet(&[row("homes", "steady-85"), burst(96.0, 70.0)]).is_empty());
    connections_beyond_the_limit => {
        only(&[with("steady-30", |row| row.connections = 56)], "connections");
    };
    extra_load_beyond_five_percent => {
        only(&[with("straggler", |row| row.extra_load = Some(1.051))], "extra load");
    };
    a_straggler_that_shows => {
        let slow = with("straggler", |row| row.summary.p99_ms = 201.0);
        only(&[row("homes", "steady-60"), slow], "without straggler");
    };
    goodput_below_what_the_slots_allow => {
        only(&[with("steady-85", |row| row.goodput_per_second = 80.0)], "goodput");
    };
    a_retry_storm => {
        only(&[with("steady-85", |row| row.attempts_per_first = Some(1.11))], "attempts");
    };
    goodput_in_a_burst => only(&[burst(94.0, 50.0)], "goodput");
    latency_after_a_burst => only(&[burst(96.0, 76.0)], "burst");
    a_baseline_that_is_nearly_as_good => {
        only(&[row("homes", "steady-85"), baseline(199.0, 85.0)], "best baseline");
    };
    a_baseline_that_refuses_most_is_no_match => {
        assert!(unmet(&[row("homes", "steady-85"), baseline(10.0, 20.0)]).is_empty());
    };
}
