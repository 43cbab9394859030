//! The control thread: what a VM spends at rest, under changes and under churn.

use std::time::Duration;

use super::{
    Part, Slope,
    fleet::{Cost, Fleet},
    meter::{self, Sample},
};

/// The VMs of a fleet.
const VMS: [usize; 5] = [5, 19, 60, 200, 600];

/// The targets of a long list.
const TARGETS: [usize; 3] = [1000, 10_000, 75_000];

/// The VMs that read a long list; all but two of them are watchers.
const LIST_VMS: usize = 5;

/// The time for which each state is measured.
const SPAN: Duration = Duration::from_secs(20);

/// The time within which a fleet must settle.
const LIMIT: Duration = Duration::from_secs(1200);

/// The VMs of a rack.
const RACK: usize = 40;

/// The VMs of a failure domain.
const DOMAIN: usize = 137;

/// The time for which the loss of a rack or a failure domain is measured.
const LOSS: Duration = Duration::from_secs(60);

/// Measures the part, with fleets of at most `most` VMs.
pub fn measure(most: usize) -> Vec<Slope> {
    let mut slopes = Vec::new();
    let mut held = Vec::new();
    for vms in VMS.into_iter().filter(|&vms| vms <= most) {
        let (memory, mut fleet) = meter::growth(vms, || settle(vms, &mut slopes));
        slopes.push(slope("memory of a VM, views included", vms, "bytes", memory));
        states(&mut fleet, &mut slopes);
        held.push(fleet);
    }
    TARGETS.into_iter().for_each(|targets| listed(targets, &mut slopes));
    slopes
}

/// Measures a few VMs whose list holds many targets.
fn listed(targets: usize, slopes: &mut Vec<Slope>) {
    let mut fleet = Fleet::new(LIST_VMS, targets);
    fleet.publish(0);
    fleet.until(LIMIT, |fleet| fleet.settled() && fleet.quiet());
    fleet.cost = Cost::default();
    let rest = spend(&mut fleet, SPAN, |_, _| ());
    let changes = spend(&mut fleet, SPAN, |fleet, second| fleet.publish(second % LIST_VMS));
    let mut add = |figure, unit, value: f64| {
        let size = format!("{LIST_VMS} VMs, {targets} targets");
        let sample = Sample::exact(value);
        slopes.push(Slope { part: Part::Control, figure, size, unit, sample });
    };
    let each = |cost: Cost| millis(cost.used) / (LIST_VMS as f64 * SPAN.as_secs_f64());
    add("processor time of a VM a second at rest", "ms", each(rest));
    add("processor time of a VM a second with a change a second", "ms", each(changes));
    add("longest step", "ms", millis(rest.longest.max(changes.longest)));
}

fn slope(figure: &'static str, vms: usize, unit: &'static str, sample: Sample) -> Slope {
    Slope { part: Part::Control, figure, size: format!("{vms} VMs"), unit, sample }
}

/// Starts all VMs at once and waits until the news of it has been passed on.
fn settle(vms: usize, slopes: &mut Vec<Slope>) -> Fleet {
    let mut fleet = Fleet::new(vms, 2);
    fleet.publish(0);
    let took = fleet.until(LIMIT, |fleet| fleet.settled() && fleet.quiet());
    let start = std::mem::take(&mut fleet.cost);
    let exact = |value: f64| Sample::exact(value / vms as f64);
    slopes.extend([
        slope("start of all: time", vms, "s", Sample::exact(took.as_secs_f64())),
        slope("start of all: messages of a VM", vms, "messages", exact(start.messages as f64)),
        slope("start of all: bytes of a VM", vms, "bytes", exact(start.bytes as f64)),
        slope("start of all: processor time of a VM", vms, "ms", exact(millis(start.used))),
    ]);
    fleet
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

fn states(fleet: &mut Fleet, slopes: &mut Vec<Slope>) {
    let rest = spend(fleet, SPAN, |_, _| ());
    report(fleet, slopes, "at rest", SPAN, rest);
    let before = fleet.lowest();
    fleet.publish(1);
    let took = fleet.until(SPAN, |fleet| fleet.lowest() > before).as_secs_f64();
    let figure = "time until a change is in force everywhere";
    slopes.push(slope(figure, fleet.size(), "s", Sample::exact(took)));
    let changes = spend(fleet, SPAN, |fleet, second| fleet.publish(second % fleet.size()));
    report(fleet, slopes, "one change of profiles a second", SPAN, changes);
    let churn = spend(fleet, SPAN, |fleet, second| {
        if second.is_multiple_of(9) {
            fleet.start(second % fleet.size());
        }
    });
    report(fleet, slopes, "one VM restarted every 9 s", SPAN, churn);
    for (figure, lost) in [("a rack of 40 VMs lost", RACK), ("137 VMs lost", DOMAIN)] {
        if fleet.size() > 2 * lost {
            loss(fleet, slopes, figure, lost);
        }
    }
}

/// Runs for a time and does `change` each second.
fn spend(fleet: &mut Fleet, span: Duration, change: impl Fn(&mut Fleet, usize)) -> Cost {
    fleet.cost = Cost::default();
    for second in 0..span.as_secs() {
        change(fleet, usize::try_from(second).unwrap_or_default());
        fleet.run(Duration::from_secs(1));
    }
    std::mem::take(&mut fleet.cost)
}

fn report(fleet: &Fleet, slopes: &mut Vec<Slope>, state: &'static str, span: Duration, cost: Cost) {
    let each = fleet.size() as f64 * span.as_secs_f64();
    let size = format!("{} VMs, {state}", fleet.size());
    let mut add = |figure, unit, value| {
        let sample = Sample::exact(value);
        slopes.push(Slope { part: Part::Control, figure, size: size.clone(), unit, sample });
    };
    add("messages sent by a VM a second", "messages", cost.messages as f64 / each);
    add("bytes sent by a VM a second", "bytes", cost.bytes as f64 / each);
    add("processor time of a VM a second", "us", cost.used.as_secs_f64() * 1e6 / each);
    add("views of a VM a second", "views", cost.views as f64 / each);
    add("longest step", "us", cost.longest.as_secs_f64() * 1e6);
}

/// Ends VMs at once; they stay listed for half of the time.
fn loss(fleet: &mut Fleet, slopes: &mut Vec<Slope>, figure: &'static str, lost: usize) {
    let last = fleet.size();
    fleet.cost = Cost::default();
    (last - lost..last).for_each(|number| fleet.kill(number));
    let took = fleet.until(LOSS / 2, Fleet::settled);
    let size = format!("{last} VMs, {figure}");
    let sample = Sample::exact(took.as_secs_f64());
    let figure_time = "time until every VM knows";
    slopes.push(Slope { part: Part::Control, figure: figure_time, size, unit: "s", sample });
    fleet.run(LOSS / 2 - took.min(LOSS / 2));
    (last - lost..last).for_each(|number| fleet.unlist(number));
    fleet.run(LOSS / 2);
    let cost = std::mem::take(&mut fleet.cost);
    report(fleet, slopes, figure, LOSS, cost);
}
