//! Counters, histograms and gauges of one VM.
//!
//! All threads share one [`Metrics`]. The labels come from closed lists, from
//! the threads of the VM and from at most [`MAX_PROFILES`] profiles, so that no
//! caller can increase the number of series without limit. docs/OPERATING.md
//! says which metrics to watch.

pub mod call;
pub mod gauge;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::{Mutex, PoisonError},
};

use laburnum_core::{
    claims,
    count::{Count, Counts, Sample},
    name::Name,
};
use prometheus_client::{
    encoding::text,
    metrics::{
        counter::Counter,
        family::Family,
        gauge::Gauge as Cell,
        histogram::{Histogram, exponential_buckets},
    },
    registry::Registry,
};

use self::{
    call::Call,
    gauge::{Gauge, Part},
};

/// The number of profiles that have series of their own. Further ones share
/// [`OTHER_PROFILES`].
pub const MAX_PROFILES: usize = 64;

/// The value of the label `profile` for profiles beyond [`MAX_PROFILES`].
pub const OTHER_PROFILES: &str = "other";

/// The content type of [`Metrics::text`].
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The prefix of the name of every metric.
const PREFIX: &str = "laburnum";

/// The first bound of the latency histogram. Each further bound is
/// [`LATENCY_BOUND_FACTOR`] times as large as the one before.
const LATENCY_FIRST_BOUND_SECONDS: f64 = 0.001;
const LATENCY_BOUND_FACTOR: f64 = 1.5;
const LATENCY_BUCKETS: u16 = 28;

/// The bounds of the coverage histogram, as fractions of the index.
const COVERAGE_BOUNDS: [f64; 10] = [0.0, 0.5, 0.8, 0.9, 0.95, 0.98, 0.99, 0.999, 0.999_999, 1.0];

type Labels = Vec<(&'static str, String)>;
type Histograms = Family<Labels, Histogram, fn() -> Histogram>;

/// The metrics of one VM.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    counters: BTreeMap<Count, Counter>,
    claims: BTreeMap<claims::Count, Counter>,
    calls: BTreeMap<Call, Counter>,
    latency: Histograms,
    coverage: Histograms,
    gauges: BTreeMap<Gauge, Family<Labels, Cell>>,
    profiles: Mutex<BTreeSet<Name>>,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

impl Metrics {
    /// Registers every metric. Each counter starts at zero, so that it is shown
    /// before it counts for the first time.
    pub fn new() -> Metrics {
        let mut registry = Registry::with_prefix(PREFIX);
        let counters = register_counters(&mut registry);
        let claims = register_claims(&mut registry);
        let calls = register_calls(&mut registry);
        let gauges = register_gauges(&mut registry);
        let latency: Histograms = Family::new_with_constructor(latency_histogram);
        let coverage: Histograms = Family::new_with_constructor(coverage_histogram);
        let help = "Time from a request to its answer in seconds";
        registry.register("answer_seconds", help, latency.clone());
        let help = "Covered part of the index in the answers to searches";
        registry.register("answer_coverage", help, coverage.clone());
        let profiles = Mutex::default();
        Metrics { registry, counters, claims, calls, latency, coverage, gauges, profiles }
    }

    /// Adds the counts and samples of a thread.
    pub fn add(&self, counts: &Counts) {
        for (count, times) in counts.iter() {
            if let Some(counter) = self.counters.get(&count) {
                counter.inc_by(times);
            }
        }
        for sample in counts.samples() {
            self.observe(sample);
        }
    }

    /// Adds the counts of the claims engine.
    pub fn add_claims(&self, counts: &BTreeMap<claims::Count, u64>) {
        for (count, &times) in counts {
            if let Some(counter) = self.claims.get(count) {
                counter.inc_by(times);
            }
        }
    }

    /// Counts a call to the platform's service.
    pub fn count_call(&self, call: Call) {
        if let Some(counter) = self.calls.get(&call) {
            counter.inc();
        }
    }

    /// Sets the value that `part` of this VM contributes to `gauge`.
    pub fn set(&self, gauge: Gauge, part: Part, value: i64) {
        if let Some(family) = self.gauges.get(&gauge) {
            family.get_or_create(&vec![("part", part.label())]).set(value);
        }
    }

    /// The metrics in the OpenMetrics text format, as `GET /metrics` returns
    /// them.
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }

    fn observe(&self, sample: &Sample) {
        let labels = vec![("profile", self.profile_label(&sample.profile))];
        self.latency.get_or_create(&labels).observe(sample.took.as_secs_f64());
        if let Some(parts) = sample.coverage {
            let whole = f64::from(laburnum_core::profile::WHOLE_PPM);
            self.coverage.get_or_create(&labels).observe(f64::from(parts) / whole);
        }
    }

    /// The value of the label `profile` for a profile.
    fn profile_label(&self, name: &Name) -> String {
        // A thread that panicked with the lock held leaves the set valid.
        let mut profiles = self.profiles.lock().unwrap_or_else(PoisonError::into_inner);
        if !profiles.contains(name) && profiles.len() >= MAX_PROFILES {
            return OTHER_PROFILES.to_owned();
        }
        profiles.insert(name.clone());
        name.to_string()
    }
}

fn register_counters(registry: &mut Registry) -> BTreeMap<Count, Counter> {
    let mut families: BTreeMap<&'static str, Family<Labels, Counter>> = BTreeMap::new();
    let mut counters = BTreeMap::new();
    for count in Count::all() {
        let family = families.entry(count.name()).or_default();
        let labels = count.reason().map(|reason| ("reason", reason.to_owned()));
        let counter = family.get_or_create(&labels.into_iter().collect()).clone();
        counters.insert(count, counter);
    }
    for (name, family) in families {
        registry.register(name, name.replace('_', " "), family);
    }
    counters
}

fn register_claims(registry: &mut Registry) -> BTreeMap<claims::Count, Counter> {
    let family: Family<Labels, Counter> = Family::default();
    let counter = |count: claims::Count| {
        family.get_or_create(&vec![("reason", count.as_str().to_owned())]).clone()
    };
    let counters = claims::Count::ALL.iter().map(|&count| (count, counter(count))).collect();
    registry.register("claims", "Claims by outcome", family.clone());
    counters
}

fn register_calls(registry: &mut Registry) -> BTreeMap<Call, Counter> {
    let family: Family<Labels, Counter> = Family::default();
    let counter =
        |call: Call| family.get_or_create(&vec![("kind", call.as_str().to_owned())]).clone();
    let calls = Call::ALL.iter().map(|&call| (call, counter(call))).collect();
    registry.register("platform_calls", "Calls of the platform's service", family.clone());
    calls
}

fn register_gauges(registry: &mut Registry) -> BTreeMap<Gauge, Family<Labels, Cell>> {
    let mut gauges = BTreeMap::new();
    for &gauge in Gauge::ALL {
        let family: Family<Labels, Cell> = Family::default();
        registry.register(gauge.name(), gauge.help(), family.clone());
        gauges.insert(gauge, family);
    }
    gauges
}

fn latency_histogram() -> Histogram {
    Histogram::new(exponential_buckets(
        LATENCY_FIRST_BOUND_SECONDS,
        LATENCY_BOUND_FACTOR,
        LATENCY_BUCKETS,
    ))
}

fn coverage_histogram() -> Histogram {
    Histogram::new(COVERAGE_BOUNDS)
}
