//! One measurement: a scheme under a scene.

use std::time::{Duration, Instant};

use error_stack::Report;
use serde_json::json;

use super::{
    Error, arrival,
    bed::{self, Bed, Counters},
    driver, processor,
    report::{Burst, Row},
    sample::{self, Sample},
    scenario::{Scenario, Service},
    scene::{Fault, RECOVERY, STRAGGLER_FACTOR, STRAGGLER_IN, Scene},
    scheme::Scheme,
};

/// The time at the start of a run that is not counted, in which connections
/// open and estimates form.
pub const WARM: Duration = Duration::from_secs(3);

/// The time after the start of a burst from which its goodput counts.
const BURST_SETTLE: Duration = Duration::from_millis(500);

/// The first letters of the names of the traffic threads.
const TRAFFIC_THREADS: &str = "traffic-";

/// What is measured.
#[derive(Clone, Copy, Debug)]
pub struct Spec<'a> {
    /// What is started.
    pub scenario: &'a Scenario,
    /// The policies.
    pub scheme: Scheme,
    /// The load and the fault.
    pub scene: Scene,
    /// The arrivals; the length is without the warm-up.
    pub arrivals: arrival::Params,
}

/// The counters and the processor time at a point of a run.
struct Mark {
    counters: Counters,
    processor: Duration,
    tier: Duration,
    at: Instant,
}

impl Mark {
    async fn take(bed: &Bed) -> Result<Mark, Report<Error>> {
        let counters = bed.counters().await?;
        let tier = processor::used_by(TRAFFIC_THREADS);
        Ok(Mark { counters, processor: processor::used(), tier, at: Instant::now() })
    }
}

/// Starts a deployment, measures and stops it; one row for each service.
pub async fn run(spec: Spec<'_>) -> Result<Vec<Row>, Report<Error>> {
    let mut bed = Bed::start(spec.scenario, &spec.scheme).await?;
    prepare(&bed, &spec).await?;
    let whole = arrival::Params { duration: spec.arrivals.duration + WARM, ..spec.arrivals };
    let arrivals = arrival::draw(spec.scenario, &spec.scene, whole);
    let profiles: Vec<_> = spec.scenario.services.iter().map(|s| s.index.clone()).collect();
    let (caller, entries) = (bed.caller.clone(), bed.entries.clone());
    let start = Instant::now();
    let (samples, first) = tokio::join!(
        driver::send_all(arrivals, &profiles, &entries, &caller, start),
        act(&mut bed, &spec, start)
    );
    let first = first?;
    let last = Mark::take(&bed).await?;
    bed.deployment.stop().await;
    let rows = spec.scenario.services.iter().enumerate();
    Ok(rows
        .map(|(number, service)| row(&spec, service, number, &samples, (&first, &last)))
        .collect())
}

/// Switches the faults that hold from the start.
async fn prepare(bed: &Bed, spec: &Spec<'_>) -> Result<(), Report<Error>> {
    for service in &spec.scenario.services {
        let index = service.index.as_str();
        match spec.scene.fault {
            Fault::Straggler => {
                let faults = json!({ "slow_factor": STRAGGLER_FACTOR });
                bed.set_faults(index, |number| number % STRAGGLER_IN == 0, &faults).await?;
            }
            Fault::Liar => {
                let load = json!({ "running": 0, "waiting": 0, "slots": 1000 });
                bed.set_faults(index, |number| number == 0, &json!({ "load": load })).await?;
            }
            Fault::None | Fault::Burst | Fault::Lost | Fault::Replaced => {}
        }
    }
    Ok(())
}

/// Takes the first mark after the warm-up and carries out what happens later.
async fn act(bed: &mut Bed, spec: &Spec<'_>, start: Instant) -> Result<Mark, Report<Error>> {
    driver::until(start, WARM).await;
    let mark = Mark::take(bed).await?;
    driver::until(start, WARM + spec.arrivals.duration / 4).await;
    match spec.scene.fault {
        Fault::Lost => {
            for service in &spec.scenario.services {
                let is_first = |number| number == 0;
                bed.set_faults(service.index.as_str(), is_first, &bed::lost()).await?;
            }
        }
        Fault::Replaced => {
            bed.replace_vm().await?;
            driver::until(start, WARM + spec.arrivals.duration / 2).await;
            bed.replace_vm().await?;
        }
        Fault::None | Fault::Burst | Fault::Straggler | Fault::Liar => {}
    }
    Ok(mark)
}

fn row(
    spec: &Spec<'_>,
    service: &Service,
    number: usize,
    samples: &[Sample],
    (first, last): (&Mark, &Mark),
) -> Row {
    let index = service.index.as_str();
    let own: Vec<&Sample> =
        samples.iter().filter(|s| s.service == number && s.at >= WARM).collect();
    let summary = sample::summary(own.iter().copied());
    let seconds = spec.arrivals.duration.as_secs_f64();
    let span = last.at.duration_since(first.at).as_secs_f64();
    let attempts = last.counters.attempts(index) - first.counters.attempts(index);
    let least = summary.answered * u64::from(service.shards);
    let grown = |name: &str| last.counters.vm(name) - first.counters.vm(name);
    let is_whole = spec.scene.fault != Fault::Replaced;
    Row {
        scheme: spec.scheme.name.to_owned(),
        scene: spec.scene.name.to_owned(),
        service: index.to_owned(),
        sent_per_second: summary.sent as f64 / seconds,
        goodput_per_second: summary.answered as f64 / seconds,
        capacity_per_second: service.capacity(),
        extra_load: ratio(attempts as f64, least as f64),
        attempts_per_first: is_whole
            .then(|| ratio(grown("attempts"), grown("first_attempts")))
            .flatten(),
        hedges: grown("hedges"),
        retries: grown("retries"),
        denied: grown("extra_attempts_denied"),
        connections: last.counters.connections(index),
        connection_limit: service.connections,
        platform_calls_per_second: (last.counters.platform - first.counters.platform) as f64 / span,
        processor_cores: (last.processor - first.processor).as_secs_f64() / span,
        tier_micros_per_attempt: is_whole
            .then(|| {
                let micros = last.tier.saturating_sub(first.tier).as_secs_f64() * 1e6;
                ratio(micros, grown("attempts"))
            })
            .flatten(),
        burst: (spec.scene.fault == Fault::Burst).then(|| burst(spec, service, &own)),
        summary,
    }
}

/// The quotient, or none over nothing.
fn ratio(part: f64, whole: f64) -> Option<f64> {
    (whole > 0.0).then(|| part / whole)
}

fn burst(spec: &Spec<'_>, service: &Service, own: &[&Sample]) -> Burst {
    let length = spec.arrivals.duration + WARM;
    let (start, end) = Scene::burst(length);
    let settled = start + BURST_SETTLE;
    let during = own.iter().filter(|s| s.is_answered());
    let during = during.filter(|s| (settled..end).contains(&(s.at + s.took))).count();
    let p99 = |from: Duration, to: Duration| {
        let within = own.iter().copied().filter(|s| (from..to).contains(&s.at));
        sample::summary(within).p99_ms
    };
    Burst {
        goodput_per_second: during as f64 / (end - settled).as_secs_f64(),
        allowed_per_second: service.capacity(),
        p99_before_ms: p99(WARM, start),
        p99_after_ms: p99(end + RECOVERY, length),
    }
}
