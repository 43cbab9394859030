//! An entry that takes changes of the view and of the holdings of shards.

use std::time::Duration;

use laburnum_core::{
    message::Message,
    traffic::{Engine, Event},
    view::View,
};

use super::{
    Part, Slope,
    fixture::{self, Size},
    meter::{self, Sample},
};

/// The measured sizes. VMs, shards and targets vary in turn, while the others stay
/// the same.
const SIZES: [Size; 10] = [
    Size { vms: 19, shards: 1100, targets: 10_000 },
    Size { vms: 137, shards: 1100, targets: 10_000 },
    Size { vms: 600, shards: 1100, targets: 10_000 },
    Size { vms: 2600, shards: 1100, targets: 10_000 },
    Size { vms: 137, shards: 100, targets: 10_000 },
    Size { vms: 137, shards: 4000, targets: 10_000 },
    Size { vms: 137, shards: 100, targets: 1000 },
    Size { vms: 137, shards: 1100, targets: 1100 },
    Size { vms: 137, shards: 1100, targets: 75_000 },
    Size { vms: 2600, shards: 1100, targets: 75_000 },
];

/// Measures changes of holdings and of the view.
pub fn measure() -> Vec<Slope> {
    let mut slopes = Vec::new();
    // The views and engines are kept, so that a later one reuses no memory of an
    // earlier one.
    let mut views = Vec::new();
    for targets in [1000, 10_000, 75_000] {
        let size = Size { vms: 0, shards: 1100, targets };
        let (sample, view) =
            meter::memory_growth(targets, || fixture::view(&fixture::unlisted_vm(), size));
        slopes.push(slope("memory of a target in the view", size, "bytes", sample));
        views.push(view);
    }
    for vms in [600, 2600, 10_000] {
        let size = Size { vms, shards: 1, targets: 0 };
        let (sample, view) =
            meter::memory_growth(vms, || fixture::view(&fixture::unlisted_vm(), size));
        slopes.push(slope("memory of a VM in the view", size, "bytes", sample));
        views.push(view);
    }
    let mut engines = Vec::new();
    for targets in [1000, 10_000, 75_000] {
        let size = Size { vms: 19, shards: 1100, targets };
        let (sample, engine) = meter::memory_growth(targets, || fixture::entry(size));
        slopes.push(slope(
            "memory of a target at a VM that is not its home",
            size,
            "bytes",
            sample,
        ));
        engines.push(engine);
    }
    drop((views, engines));
    SIZES.into_iter().for_each(|size| slopes.extend(measure_changes(size)));
    slopes
}

fn slope(figure: &'static str, size: Size, unit: &'static str, sample: Sample) -> Slope {
    let size = format!("{} VMs, {} shards, {} targets", size.vms, size.shards, size.targets);
    Slope { part: Part::Holding, figure, size, unit, sample }
}

fn measure_changes(size: Size) -> Vec<Slope> {
    let mut engine = fixture::entry(size);
    let view = fixture::view(&fixture::unlisted_vm(), size);
    let mut revision = 1;
    let copy =
        meter::micros_per_unit(1, || meter::timed(|| std::hint::black_box(view.clone()).ready).0);
    let profile_change = meter::micros_per_unit(1, || {
        revision += 1;
        apply_view(&mut engine, View { document: fixture::document(revision), ..view.clone() })
    });
    let mut is_listed = true;
    let vm_change = meter::micros_per_unit(1, || {
        let mut view = view.clone();
        is_listed = !is_listed;
        if !is_listed {
            view.vms.remove(&fixture::vm_name(size.vms / 2));
        }
        apply_view(&mut engine, view)
    });
    apply_view(&mut engine, view.clone());
    let holding_change = measure_holding_change(&mut engine, size);
    vec![
        slope("copy the view", size, "us", copy),
        slope("take a view with a changed profile", size, "us", profile_change),
        slope("take a view with a VM more or less", size, "us", vm_change),
        slope("take a changed holding and plan again", size, "us", holding_change),
    ]
}

/// The CPU time that the engine takes to apply a view.
fn apply_view(engine: &mut Engine, view: View) -> Duration {
    let event = fixture::view_event(view);
    meter::timed(|| fixture::step(engine, vec![event])).0
}

/// Measures a change of one shard's number of replicas, which alternates between 2
/// and 3.
fn measure_holding_change(engine: &mut Engine, size: Size) -> Sample {
    let mut replicas = 2;
    meter::micros_per_unit(1, || {
        replicas = 5 - replicas;
        let mut holding = fixture::holdings(size.shards).swap_remove(0);
        holding.ranges.iter_mut().for_each(|held| held.replicas = replicas);
        let message = Message::Holdings(vec![holding]);
        let event = Event::Message { from: fixture::lane(0), message };
        meter::timed(|| fixture::step(engine, vec![event])).0
    })
}
