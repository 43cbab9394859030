//! The metrics: each reason has its own counter, the docs page lists them all, and
//! the number of label values is bounded.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use laburnum_core::{
    claims,
    count::{Count, Counts, Drop, Retry, Sample},
    fault::Kind,
    name::Name,
    profile::WHOLE_PPM,
};
use laburnumworks::metric::{
    MAX_PROFILES, Metrics, OTHER_PROFILES,
    call::Call,
    gauge::{Gauge, Part},
};

use crate::{harness, page};

fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

fn sample(profile: &str) -> Sample {
    Sample { profile: name(profile), took: Duration::from_millis(20), coverage: Some(999_999) }
}

/// The value of the series whose name and labels are `series`.
fn value(metrics: &Metrics, series: &str) -> Option<f64> {
    let text = metrics.text();
    let line = text.lines().find(|line| line.split(' ').next() == Some(series))?;
    line.split(' ').nth(1)?.parse().ok()
}

/// Metrics to which each of `counts` was added once.
fn metrics_of(counts: &[Count]) -> Metrics {
    let metrics = Metrics::new();
    let mut all = Counts::default();
    counts.iter().for_each(|&count| all.add(count));
    metrics.add(&all.take());
    assert!(all.is_empty());
    metrics
}

/// The names and types of the metric families in a text.
fn families(text: &str) -> BTreeSet<Vec<String>> {
    let types = text.lines().filter_map(|line| line.strip_prefix("# TYPE "));
    types.map(|line| line.split(' ').map(str::to_owned).collect()).collect()
}

/// Metrics in which every family has at least one series.
fn complete_metrics() -> Metrics {
    let metrics = metrics_of(&Count::all());
    let mut counts = Counts::default();
    counts.sample(sample("renewal"));
    metrics.add(&counts);
    metrics.add_claims(&BTreeMap::from([(claims::Count::Granted, 1)]));
    Gauge::ALL.iter().for_each(|&gauge| metrics.set(gauge, Part::Control, 1));
    metrics
}

/// The names and types of the metric families that the operating page lists.
fn listed_families() -> BTreeSet<Vec<String>> {
    let row = |row: &Vec<String>| vec![row[0].trim_matches('`').to_owned(), row[1].clone()];
    page::table("OPERATING.md", "## What to watch").iter().map(row).collect()
}

/// The metric families that an alert's expression names: its names without the
/// suffixes of counters and histograms.
fn metric_names(expression: &str) -> BTreeSet<String> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '_';
    let words = expression.split(|c| !is_name_char(c)).filter(|word| word.starts_with("laburnum_"));
    let suffixes = ["_total", "_bucket", "_count"];
    let family = |word: &str| {
        let found = suffixes.iter().find_map(|suffix| word.strip_suffix(suffix));
        found.unwrap_or(word).to_owned()
    };
    words.map(family).collect()
}

cases! {
    the_operating_page_lists_the_metrics => {
        assert_eq!(listed_families(), families(&complete_metrics().text()));
    };
    the_operating_page_states_the_labels => {
        let text = complete_metrics().text();
        for row in page::table("OPERATING.md", "## What to watch") {
            let (name, label) = (row[0].trim_matches('`'), row[2].trim_matches('`'));
            let series = text.lines().filter(|line| line.starts_with(name));
            let mut series = series.filter(|line| !label.is_empty() && line.contains('{'));
            assert!(series.all(|line| line.contains(&format!("{label}=\""))), "{name}");
        }
    };
    the_alerts_name_metrics_that_exist => {
        let known: BTreeSet<String> =
            listed_families().into_iter().map(|row| row[0].clone()).collect();
        let rows = page::table("OPERATING.md", "Alert on these");
        assert!(rows.len() > 10);
        for row in rows {
            let found = metric_names(&row[1]);
            assert!(!found.is_empty() && found.is_subset(&known), "{found:?}");
        }
    };
    a_vm_that_served_requests_shows_every_metric => {
        let harness = harness::start(2);
        harness.publish(harness::PROFILES);
        harness.wait_for_profile("renewal");
        let key = uuid::Uuid::now_v7().to_string();
        let operation = serde_json::json!({
            "profile": "renewal", "operation": "clearance", "subject": 7, "detail": "mast 12",
        });
        let mut shown: BTreeSet<Vec<String>> = BTreeSet::new();
        for _ in 0..50 {
            for vm in 0..2 {
                let sent = harness.caller.operate(harness.callers(vm), &key, &operation);
                harness.runtime.block_on(sent).unwrap();
                shown.extend(families(&harness.metrics(vm)));
            }
            if shown == listed_families() {
                break;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        assert_eq!(shown, listed_families());
        let text = harness.metrics(0);
        assert!(text.contains("laburnum_ready{part=\"control\"} 1"), "{text}");
        assert!(text.contains("laburnum_live_vms{part=\"control\"} 2"), "{text}");
        assert!(text.contains("laburnum_live_targets{part=\"control\"} 4"), "{text}");
        assert!(text.contains("laburnum_revision_in_force{part=\"control\"} 1"), "{text}");
    };
    a_refusal_of_a_front_is_counted_once => {
        let harness = harness::start(1);
        let refused = |kind: Kind| {
            let series = format!("laburnum_refusals_total{{reason=\"{kind}\"}} ");
            let text = harness.metrics(0);
            let line = text.lines().find_map(|line| line.strip_prefix(&series)).unwrap();
            line.parse::<u64>().unwrap()
        };
        let send = |method: reqwest::Method, address, path: &str, body: &serde_json::Value| {
            let sent = harness.caller.send(method, address, path, &[], body);
            harness.runtime.block_on(sent).unwrap().status
        };
        let (post, get) = (reqwest::Method::POST, reqwest::Method::GET);
        let nothing = serde_json::Value::Null;
        let malformed = serde_json::json!({ "text": 7 });
        send(post.clone(), harness.callers(0), "/v1/search", &malformed);
        assert_eq!(refused(Kind::Malformed), 1);
        send(get.clone(), harness.callers(0), "/v2", &nothing);
        assert_eq!(refused(Kind::NotFound), 1);
        send(get, harness.operators(0), "/v1/vms", &nothing);
        assert_eq!(refused(Kind::Unauthorized), 1);
        let large = serde_json::json!({ "text": "x".repeat(100_000) });
        send(post.clone(), harness.callers(0), "/v1/search", &large);
        assert_eq!(refused(Kind::TooLarge), 1);
        let unknown = serde_json::json!({ "profile": "nobody", "text": "x" });
        send(post, harness.callers(0), "/v1/search", &unknown);
        for _ in 0..50 {
            if refused(Kind::UnknownProfile) == 1 {
                break;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        assert_eq!(refused(Kind::UnknownProfile), 1);
        assert_eq!(refused(Kind::NotReady), 0);
    };
    every_refusal_has_a_counter_from_the_start => {
        let metrics = Metrics::new();
        for kind in Kind::ALL {
            let series = format!("laburnum_refusals_total{{reason=\"{kind}\"}}");
            assert_eq!(value(&metrics, &series), Some(0.0), "{series}");
        }
    };
    every_retry_reason_has_a_counter_from_the_start => {
        let metrics = Metrics::new();
        for reason in Retry::ALL {
            let series = format!("laburnum_retries_total{{reason=\"{}\"}}", reason.as_str());
            assert_eq!(value(&metrics, &series), Some(0.0), "{series}");
        }
    };
    every_claim_and_call_has_a_counter_from_the_start => {
        let metrics = Metrics::new();
        for count in claims::Count::ALL {
            let series = format!("laburnum_claims_total{{reason=\"{}\"}}", count.as_str());
            assert_eq!(value(&metrics, &series), Some(0.0), "{series}");
        }
        for call in Call::ALL {
            let series = format!("laburnum_platform_calls_total{{kind=\"{}\"}}", call.as_str());
            assert_eq!(value(&metrics, &series), Some(0.0), "{series}");
        }
    };
    every_count_has_a_series_of_its_own => {
        let series = |count: &Count| (count.name(), count.reason());
        let all = Count::all();
        assert_eq!(all.iter().map(series).collect::<BTreeSet<_>>().len(), all.len());
        let metrics = metrics_of(&all);
        let text = metrics.text();
        let ones = text.lines().filter(|line| line.contains("_total") && line.ends_with(" 1"));
        assert_eq!(ones.count(), all.len());
    };
    counts_add_up => {
        let metrics = metrics_of(&[Count::Dropped(Drop::Late), Count::Dropped(Drop::Late)]);
        let series = "laburnum_replies_dropped_total{reason=\"late\"}";
        assert_eq!(value(&metrics, series), Some(2.0));
    };
    claims_are_counted_by_reason => {
        let metrics = Metrics::new();
        metrics.add_claims(&BTreeMap::from([(claims::Count::Granted, 3)]));
        assert_eq!(value(&metrics, "laburnum_claims_total{reason=\"granted\"}"), Some(3.0));
    };
    an_answer_is_observed_under_its_profile => {
        let metrics = Metrics::new();
        let mut counts = Counts::default();
        counts.sample(sample("renewal"));
        metrics.add(&counts);
        let series = "laburnum_answer_seconds_count{profile=\"renewal\"}";
        assert_eq!(value(&metrics, series), Some(1.0));
        let series = "laburnum_answer_coverage_count{profile=\"renewal\"}";
        assert_eq!(value(&metrics, series), Some(1.0));
    };
    a_part_in_a_million_separates_partial_from_whole => {
        let metrics = Metrics::new();
        let mut counts = Counts::default();
        counts.sample(sample("partial"));
        counts.sample(Sample { coverage: Some(WHOLE_PPM), ..sample("whole") });
        metrics.add(&counts);
        let below_whole = |profile| {
            let labels = format!("{{le=\"0.999999\",profile=\"{profile}\"}}");
            value(&metrics, &format!("laburnum_answer_coverage_bucket{labels}"))
        };
        assert_eq!(below_whole("partial"), Some(1.0));
        assert_eq!(below_whole("whole"), Some(0.0));
    };
    an_operation_has_no_coverage => {
        let metrics = Metrics::new();
        let mut counts = Counts::default();
        counts.sample(Sample { coverage: None, ..sample("clearance") });
        metrics.add(&counts);
        assert!(!metrics.text().contains("laburnum_answer_coverage_count"));
    };
    profiles_beyond_the_bound_share_a_label => {
        let metrics = Metrics::new();
        let mut counts = Counts::default();
        for index in 0..MAX_PROFILES + 10 {
            counts.sample(sample(&format!("p{index}")));
        }
        metrics.add(&counts);
        let text = metrics.text();
        let series = text.lines().filter(|line| line.starts_with("laburnum_answer_seconds_count"));
        assert_eq!(series.count(), MAX_PROFILES + 1);
        let other = format!("laburnum_answer_seconds_count{{profile=\"{OTHER_PROFILES}\"}}");
        assert_eq!(value(&metrics, &other), Some(10.0));
    };
    each_part_sets_its_own_gauge => {
        let metrics = Metrics::new();
        metrics.set(Gauge::FreeSlots, Part::Traffic(0), 3);
        metrics.set(Gauge::FreeSlots, Part::Traffic(1), 4);
        metrics.set(Gauge::FreeSlots, Part::Traffic(0), 2);
        assert_eq!(value(&metrics, "laburnum_free_slots{part=\"traffic-0\"}"), Some(2.0));
        assert_eq!(value(&metrics, "laburnum_free_slots{part=\"traffic-1\"}"), Some(4.0));
    };
}
