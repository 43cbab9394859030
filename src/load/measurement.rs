//! One measurement: a deployment with one scheme under one scene.

use std::time::{Duration, Instant};

use error_stack::Report;
use serde_json::json;

use super::{
    Error, arrival, driver, process,
    report::{Burst, Row},
    sample::{self, Sample},
    scenario::{Scenario, Service},
    scene::{Fault, RECOVERY_TIME, STRAGGLER_FACTOR, Scene, TARGETS_PER_STRAGGLER},
    scheme::Scheme,
    testbed::{self, Counters, Testbed},
};

/// The time at the start of a run that is left out of the figures, while
/// connections open and the estimates of service times build up.
pub const WARM_UP: Duration = Duration::from_secs(3);

/// The time from the start of a burst after which its goodput counts.
const BURST_SETTLE: Duration = Duration::from_millis(500);

/// The common prefix of the names of the traffic threads.
const TRAFFIC_THREAD_PREFIX: &str = "traffic-";

/// The specification of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Spec<'a> {
    /// The services to start.
    pub scenario: &'a Scenario,
    pub scheme: Scheme,
    pub scene: Scene,
    /// The parameters of the arrivals; their duration excludes the warm-up.
    pub arrivals: arrival::Params,
}

/// The counters and CPU times at one moment of a run.
struct Snapshot {
    counters: Counters,
    process_time: Duration,
    traffic_time: Duration,
    at: Instant,
}

impl Snapshot {
    async fn take(testbed: &Testbed) -> Result<Snapshot, Report<Error>> {
        let counters = testbed.counters().await?;
        let traffic_time = process::thread_cpu_time(TRAFFIC_THREAD_PREFIX);
        Ok(Snapshot {
            counters,
            process_time: process::cpu_time(),
            traffic_time,
            at: Instant::now(),
        })
    }
}

/// Starts a deployment, measures it and stops it. Returns one row per service.
pub async fn run(spec: Spec<'_>) -> Result<Vec<Row>, Report<Error>> {
    let mut testbed = Testbed::start(spec.scenario, &spec.scheme).await?;
    set_initial_faults(&testbed, &spec).await?;
    let with_warm_up =
        arrival::Params { duration: spec.arrivals.duration + WARM_UP, ..spec.arrivals };
    let arrivals = arrival::draw(spec.scenario, &spec.scene, with_warm_up);
    let profiles: Vec<_> = spec.scenario.services.iter().map(|s| s.index.clone()).collect();
    let (caller, entries) = (testbed.caller.clone(), testbed.entries.clone());
    let start = Instant::now();
    let (samples, first) = tokio::join!(
        driver::send_all(arrivals, &profiles, &entries, &caller, start),
        snapshot_and_inject(&mut testbed, &spec, start)
    );
    let first = first?;
    let last = Snapshot::take(&testbed).await?;
    testbed.deployment.stop().await;
    let rows = spec.scenario.services.iter().enumerate();
    Ok(rows
        .map(|(number, service)| row(&spec, service, number, &samples, (&first, &last)))
        .collect())
}

/// Sets the faults that last for the whole run.
async fn set_initial_faults(testbed: &Testbed, spec: &Spec<'_>) -> Result<(), Report<Error>> {
    for service in &spec.scenario.services {
        let index = service.index.as_str();
        match spec.scene.fault {
            Fault::Straggler => {
                let faults = json!({ "slow_factor": STRAGGLER_FACTOR });
                testbed
                    .set_faults(index, |number| number % TARGETS_PER_STRAGGLER == 0, &faults)
                    .await?;
            }
            Fault::FalseLoad => {
                let load = json!({ "running": 0, "waiting": 0, "slots": 1000 });
                testbed.set_faults(index, |number| number == 0, &json!({ "load": load })).await?;
            }
            Fault::None | Fault::Burst | Fault::ReplicaLost | Fault::VmsReplaced => {}
        }
    }
    Ok(())
}

/// Takes the first snapshot after the warm-up and injects the faults that occur
/// during the run.
async fn snapshot_and_inject(
    testbed: &mut Testbed,
    spec: &Spec<'_>,
    start: Instant,
) -> Result<Snapshot, Report<Error>> {
    driver::wait_until(start, WARM_UP).await;
    let snapshot = Snapshot::take(testbed).await?;
    driver::wait_until(start, WARM_UP + spec.arrivals.duration / 4).await;
    match spec.scene.fault {
        Fault::ReplicaLost => {
            for service in &spec.scenario.services {
                let is_first = |number| number == 0;
                testbed
                    .set_faults(service.index.as_str(), is_first, &testbed::permanent_crash())
                    .await?;
            }
        }
        Fault::VmsReplaced => {
            testbed.replace_vm().await?;
            driver::wait_until(start, WARM_UP + spec.arrivals.duration / 2).await;
            testbed.replace_vm().await?;
        }
        Fault::None | Fault::Burst | Fault::Straggler | Fault::FalseLoad => {}
    }
    Ok(snapshot)
}

fn row(
    spec: &Spec<'_>,
    service: &Service,
    number: usize,
    samples: &[Sample],
    (first, last): (&Snapshot, &Snapshot),
) -> Row {
    let index = service.index.as_str();
    let own: Vec<&Sample> =
        samples.iter().filter(|s| s.service == number && s.at >= WARM_UP).collect();
    let summary = sample::summary(own.iter().copied());
    let seconds = spec.arrivals.duration.as_secs_f64();
    let span = last.at.duration_since(first.at).as_secs_f64();
    let attempts = last.counters.attempts(index) - first.counters.attempts(index);
    let fewest_attempts = summary.answered * u64::from(service.shards);
    let increase = |name: &str| last.counters.vm_total(name) - first.counters.vm_total(name);
    let has_all_counters = spec.scene.fault != Fault::VmsReplaced;
    Row {
        scheme: spec.scheme.name.to_owned(),
        scene: spec.scene.name.to_owned(),
        service: index.to_owned(),
        sent_per_second: summary.sent as f64 / seconds,
        goodput_per_second: summary.answered as f64 / seconds,
        capacity_per_second: service.capacity(),
        extra_load: ratio(attempts as f64, fewest_attempts as f64),
        attempts_per_first: has_all_counters
            .then(|| ratio(increase("attempts"), increase("first_attempts")))
            .flatten(),
        hedges: increase("hedges"),
        retries: increase("retries"),
        denied: increase("extra_attempts_denied"),
        connections: last.counters.max_connections(index),
        connection_limit: service.connections,
        platform_calls_per_second: (last.counters.platform_calls - first.counters.platform_calls)
            as f64
            / span,
        processor_cores: (last.process_time - first.process_time).as_secs_f64() / span,
        tier_micros_per_attempt: has_all_counters
            .then(|| {
                let micros =
                    last.traffic_time.saturating_sub(first.traffic_time).as_secs_f64() * 1e6;
                ratio(micros, increase("attempts"))
            })
            .flatten(),
        burst: (spec.scene.fault == Fault::Burst).then(|| burst(spec, service, &own)),
        summary,
    }
}

/// The quotient, or none if the denominator is not positive.
fn ratio(numerator: f64, denominator: f64) -> Option<f64> {
    (denominator > 0.0).then(|| numerator / denominator)
}

fn burst(spec: &Spec<'_>, service: &Service, own: &[&Sample]) -> Burst {
    let duration = spec.arrivals.duration + WARM_UP;
    let (start, end) = Scene::burst_window(duration);
    let counted_from = start + BURST_SETTLE;
    let during = own.iter().filter(|s| s.is_answered());
    let during = during.filter(|s| (counted_from..end).contains(&(s.at + s.latency))).count();
    let p99 = |from: Duration, to: Duration| {
        let within = own.iter().copied().filter(|s| (from..to).contains(&s.at));
        sample::summary(within).p99_ms
    };
    Burst {
        goodput_per_second: during as f64 / (end - counted_from).as_secs_f64(),
        allowed_per_second: service.capacity(),
        p99_before_ms: p99(WARM_UP, start),
        p99_after_ms: p99(end + RECOVERY_TIME, duration),
    }
}
