//! Adds what the threads count to the metrics of the VM.
//!
//! The gauges of a thread need walks over its tables, so they are updated at
//! most once in [`GAUGE_INTERVAL`] and not in each tick.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use laburnum_core::{
    border::Clock,
    control,
    count::{Count, Counts, Sample},
    fault::Kind,
    profile::WHOLE_PPM,
    traffic::{Answer, Body, Engine, Tables},
    view::State,
};

use crate::{
    clock::System,
    control::Meter as ControlMeter,
    front,
    log::Writer,
    memory::Ledger,
    metric::{
        Metrics,
        call::Call,
        gauge::{Gauge, Part},
    },
    traffic::Meter,
};

/// The least time between two updates of the gauges of a thread.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Tracks when the gauges of a thread are due for an update.
#[derive(Default)]
struct Schedule {
    last: Option<Instant>,
}

impl Schedule {
    /// Returns whether an update is due now, and if so records it as made.
    fn is_due(&mut self) -> bool {
        let now = Instant::now();
        let is_due = self.last.is_none_or(|last| now.duration_since(last) >= GAUGE_INTERVAL);
        if is_due {
            self.last = Some(now);
        }
        is_due
    }
}

/// Adds what a traffic thread counts to the metrics of the VM.
pub struct Thread {
    part: Part,
    metrics: Arc<Metrics>,
    schedule: Schedule,
}

impl Thread {
    /// Makes the meter of the traffic thread with this number.
    pub fn new(number: u16, metrics: Arc<Metrics>) -> Thread {
        Thread { part: Part::Traffic(number), metrics, schedule: Schedule::default() }
    }

    fn set(&self, gauge: Gauge, value: usize) {
        self.metrics.set(gauge, self.part, to_i64(value));
    }
}

impl Meter for Thread {
    fn count(&mut self, counts: &Counts) {
        self.metrics.add(counts);
    }

    fn answered(&mut self, answer: &Answer) {
        let coverage = match &answer.body {
            Body::Found(found) => Some(found.coverage),
            Body::Done { .. } | Body::Refused(_) => None,
        };
        let mut counts = Counts::default();
        counts.sample(Sample { profile: answer.profile.clone(), took: answer.took, coverage });
        self.metrics.add(&counts);
    }

    fn observe(&mut self, engine: &Engine) {
        if !self.schedule.is_due() {
            return;
        }
        let tables = engine.tables();
        self.set(Gauge::OpenRequests, tables.queries.len());
        self.set(Gauge::AttemptsInFlight, tables.attempts.len());
        self.set(Gauge::TargetConnections, tables.connections.len());
        self.set(Gauge::QueuedLegs, queued_legs(tables));
        self.set(Gauge::Homes, tables.shards.values().filter(|shard| shard.home).count());
        self.set(Gauge::FreeSlots, free_slots(tables));
        self.set(Gauge::RetryBudget, retry_budget(tables));
        self.set(Gauge::Ready, usize::from(engine.is_ready()));
    }
}

fn queued_legs(tables: &Tables) -> usize {
    tables.shards.values().map(|shard| shard.queue.len()).sum()
}

/// Sums the free slots of the targets that take work.
fn free_slots(tables: &Tables) -> usize {
    let targets = tables.targets.values().filter(|target| !target.is_draining());
    let free = targets.map(|target| target.slots.saturating_sub(target.in_use));
    free.map(|slots| usize::try_from(slots).unwrap_or_default()).sum()
}

/// Sums the extra attempts that the profiles have saved up, in whole attempts.
fn retry_budget(tables: &Tables) -> usize {
    let saved: u64 = tables.usages.values().map(|usage| usage.saved_millionths).sum();
    usize::try_from(saved / u64::from(WHOLE_PPM)).unwrap_or(usize::MAX)
}

/// Adds what the control thread counts to the metrics of the VM.
pub struct Control {
    metrics: Arc<Metrics>,
    writer: Writer,
    clock: System,
    schedule: Schedule,
}

impl Control {
    /// Makes the meter of the control thread.
    pub fn new(metrics: Arc<Metrics>, writer: Writer, clock: System) -> Control {
        Control { metrics, writer, clock, schedule: Schedule::default() }
    }

    fn set(&self, gauge: Gauge, value: usize) {
        self.metrics.set(gauge, Part::Control, to_i64(value));
    }
}

impl ControlMeter for Control {
    fn count(&mut self, out: &control::Outbox) {
        for (_, call) in &out.calls {
            self.metrics.count_call(Call::from(call));
        }
        self.metrics.add_claims(&out.claims);
    }

    fn observe(&mut self, engine: &control::Engine) {
        if !self.schedule.is_due() {
            return;
        }
        let now = self.clock.now();
        self.writer.report_suppressed(now);
        let tables = engine.tables();
        let view = &tables.view;
        let live = |state: State| state == State::Live;
        let revision = usize::try_from(view.document.revision.0).unwrap_or(usize::MAX);
        self.set(Gauge::Revision, revision);
        let era = tables.calls.epoch.era().unwrap_or_default().0;
        self.set(Gauge::StoreEra, usize::try_from(era).unwrap_or(usize::MAX));
        self.set(Gauge::LiveVms, view.vms.values().filter(|vm| live(vm.state)).count());
        let targets = view.targets.values().filter(|target| live(target.state));
        self.set(Gauge::LiveTargets, targets.count());
        self.set(Gauge::Quarantined, view.quarantine.len());
        self.set(Gauge::Ready, usize::from(view.ready && !view.leaving));
        if let Some(age) = tables.in_force.confirmed {
            let age = usize::try_from(age.at(now).as_millis()).unwrap_or(usize::MAX);
            self.set(Gauge::ViewAge, age);
        }
    }
}

fn to_i64(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

/// Encodes the metrics of the VM for the fronts.
pub struct Exporter {
    pub metrics: Arc<Metrics>,
    /// The writer of the log, which counts the lines that it lost.
    pub writer: Writer,
    pub ledger: Ledger,
}

impl front::probe::Metrics for Exporter {
    fn encode(&self) -> String {
        let lost = i64::try_from(self.writer.lost()).unwrap_or(i64::MAX);
        self.metrics.set(Gauge::LogLost, Part::Log, lost);
        self.metrics.set(Gauge::HeldBytes, Part::Process, to_i64(self.ledger.bytes()));
        self.metrics.set(Gauge::HeldPeak, Part::Process, to_i64(self.ledger.peak()));
        self.metrics.text()
    }

    fn refused(&self, kind: Kind) {
        let mut counts = Counts::default();
        counts.add(Count::Refused(kind));
        self.metrics.add(&counts);
    }
}
