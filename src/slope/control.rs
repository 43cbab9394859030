//! The control thread: the cost of a VM at rest, under configuration changes, under
//! churn and after the loss of many VMs.

use std::time::Duration;

use super::{
    Part, Slope,
    fleet::{Cost, Fleet},
    meter::{self, Sample},
};

/// The numbers of VMs in the fleets.
const FLEET_SIZES: [usize; 5] = [5, 19, 60, 200, 600];

/// The numbers of targets in the long lists.
const LIST_SIZES: [usize; 3] = [1000, 10_000, 75_000];

/// The number of VMs that read a long list; all but two of them are watchers.
const LIST_VMS: usize = 5;

/// The time for which each state is measured.
const STATE_DURATION: Duration = Duration::from_secs(20);

/// The time within which a fleet must converge.
const CONVERGENCE_LIMIT: Duration = Duration::from_secs(1200);

/// The number of VMs in a rack.
const RACK_VMS: usize = 40;

/// The number of VMs in a failure domain.
const DOMAIN_VMS: usize = 137;

/// The time for which the loss of a rack or a failure domain is measured.
const LOSS_DURATION: Duration = Duration::from_secs(60);

/// Measures the control thread with fleets of at most `max_vms` VMs.
pub fn measure(max_vms: usize) -> Vec<Slope> {
    let mut slopes = Vec::new();
    // The fleets are kept, so that a later one reuses no memory of an earlier one.
    let mut fleets = Vec::new();
    for vms in FLEET_SIZES.into_iter().filter(|&vms| vms <= max_vms) {
        let (memory, mut fleet) = meter::memory_growth(vms, || start_fleet(vms, &mut slopes));
        slopes.push(slope("memory of a VM, views included", vms, "bytes", memory));
        measure_states(&mut fleet, &mut slopes);
        fleets.push(fleet);
    }
    LIST_SIZES.into_iter().for_each(|targets| measure_list(targets, &mut slopes));
    slopes
}

/// Measures a few VMs with a list of many targets.
fn measure_list(targets: usize, slopes: &mut Vec<Slope>) {
    let mut fleet = Fleet::new(LIST_VMS, targets);
    fleet.publish(0);
    fleet.run_until(CONVERGENCE_LIMIT, |fleet| fleet.is_converged() && fleet.is_gossip_done());
    fleet.cost = Cost::default();
    let rest = run_with_changes(&mut fleet, STATE_DURATION, |_, _| ());
    let changes = run_with_changes(&mut fleet, STATE_DURATION, |fleet, second| {
        fleet.publish(second % LIST_VMS)
    });
    let mut add = |figure, unit, value: f64| {
        let size = format!("{LIST_VMS} VMs, {targets} targets");
        let sample = Sample::exact(value);
        slopes.push(Slope { part: Part::Control, figure, size, unit, sample });
    };
    let per_vm_second =
        |cost: Cost| millis(cost.cpu_time) / (LIST_VMS as f64 * STATE_DURATION.as_secs_f64());
    add("processor time of a VM a second at rest", "ms", per_vm_second(rest));
    add("processor time of a VM a second with a change a second", "ms", per_vm_second(changes));
    add("longest step", "ms", millis(rest.longest_step.max(changes.longest_step)));
}

fn slope(figure: &'static str, vms: usize, unit: &'static str, sample: Sample) -> Slope {
    Slope { part: Part::Control, figure, size: format!("{vms} VMs"), unit, sample }
}

/// Starts all VMs at once and waits until gossip about them has reached every VM.
fn start_fleet(vms: usize, slopes: &mut Vec<Slope>) -> Fleet {
    let mut fleet = Fleet::new(vms, 2);
    fleet.publish(0);
    let took =
        fleet.run_until(CONVERGENCE_LIMIT, |fleet| fleet.is_converged() && fleet.is_gossip_done());
    let start = std::mem::take(&mut fleet.cost);
    let per_vm = |value: f64| Sample::exact(value / vms as f64);
    slopes.extend([
        slope("start of all: time", vms, "s", Sample::exact(took.as_secs_f64())),
        slope("start of all: messages of a VM", vms, "messages", per_vm(start.messages as f64)),
        slope("start of all: bytes of a VM", vms, "bytes", per_vm(start.bytes as f64)),
        slope("start of all: processor time of a VM", vms, "ms", per_vm(millis(start.cpu_time))),
    ]);
    fleet
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// Measures a fleet at rest, under changes, under churn and, if it is large enough,
/// after the loss of a rack and of a failure domain.
fn measure_states(fleet: &mut Fleet, slopes: &mut Vec<Slope>) {
    let rest = run_with_changes(fleet, STATE_DURATION, |_, _| ());
    push_cost(fleet, slopes, "at rest", STATE_DURATION, rest);
    let before = fleet.lowest_revision();
    fleet.publish(1);
    let took =
        fleet.run_until(STATE_DURATION, |fleet| fleet.lowest_revision() > before).as_secs_f64();
    let figure = "time until a change is in force everywhere";
    slopes.push(slope(figure, fleet.size(), "s", Sample::exact(took)));
    let changes = run_with_changes(fleet, STATE_DURATION, |fleet, second| {
        fleet.publish(second % fleet.size())
    });
    push_cost(fleet, slopes, "one change of profiles a second", STATE_DURATION, changes);
    let churn = run_with_changes(fleet, STATE_DURATION, |fleet, second| {
        if second.is_multiple_of(9) {
            fleet.start(second % fleet.size());
        }
    });
    push_cost(fleet, slopes, "one VM restarted every 9 s", STATE_DURATION, churn);
    for (figure, lost) in [("a rack of 40 VMs lost", RACK_VMS), ("137 VMs lost", DOMAIN_VMS)] {
        if fleet.size() > 2 * lost {
            measure_loss(fleet, slopes, figure, lost);
        }
    }
}

/// Runs for `span`, calls `change` at the start of each second and returns the cost.
fn run_with_changes(fleet: &mut Fleet, span: Duration, change: impl Fn(&mut Fleet, usize)) -> Cost {
    fleet.cost = Cost::default();
    for second in 0..span.as_secs() {
        change(fleet, usize::try_from(second).unwrap_or_default());
        fleet.run_for(Duration::from_secs(1));
    }
    std::mem::take(&mut fleet.cost)
}

/// Adds the cost of a VM per second over `span`.
fn push_cost(
    fleet: &Fleet,
    slopes: &mut Vec<Slope>,
    state: &'static str,
    span: Duration,
    cost: Cost,
) {
    let vm_seconds = fleet.size() as f64 * span.as_secs_f64();
    let size = format!("{} VMs, {state}", fleet.size());
    let mut add = |figure, unit, value| {
        let sample = Sample::exact(value);
        slopes.push(Slope { part: Part::Control, figure, size: size.clone(), unit, sample });
    };
    add("messages sent by a VM a second", "messages", cost.messages as f64 / vm_seconds);
    add("bytes sent by a VM a second", "bytes", cost.bytes as f64 / vm_seconds);
    add("processor time of a VM a second", "us", cost.cpu_time.as_secs_f64() * 1e6 / vm_seconds);
    add("views of a VM a second", "views", cost.views as f64 / vm_seconds);
    add("longest step", "us", cost.longest_step.as_secs_f64() * 1e6);
}

/// Kills the last `lost` VMs at once and measures the fleet. They stay on the
/// platform's list for the first half of the time.
fn measure_loss(fleet: &mut Fleet, slopes: &mut Vec<Slope>, figure: &'static str, lost: usize) {
    let size_before = fleet.size();
    fleet.cost = Cost::default();
    (size_before - lost..size_before).for_each(|number| fleet.kill(number));
    let took = fleet.run_until(LOSS_DURATION / 2, Fleet::is_converged);
    let size = format!("{size_before} VMs, {figure}");
    let sample = Sample::exact(took.as_secs_f64());
    let figure_time = "time until every VM knows";
    slopes.push(Slope { part: Part::Control, figure: figure_time, size, unit: "s", sample });
    fleet.run_for(LOSS_DURATION / 2 - took.min(LOSS_DURATION / 2));
    (size_before - lost..size_before).for_each(|number| fleet.remove_from_list(number));
    fleet.run_for(LOSS_DURATION / 2);
    let cost = std::mem::take(&mut fleet.cost);
    push_cost(fleet, slopes, figure, LOSS_DURATION, cost);
}
