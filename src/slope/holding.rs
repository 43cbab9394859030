//! Changes of the view and of what shards hold, at an entry.

use std::time::Duration;

use laburnum_core::{
    message::Message,
    traffic::{Engine, Event},
    view::View,
};

use super::{
    Part, Slope,
    bed::{self, Size},
    meter::{self, Sample},
};

/// The sizes that are measured: one grows while the others stand.
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

/// Measures the part.
pub fn measure() -> Vec<Slope> {
    let mut slopes = Vec::new();
    let mut held = Vec::new();
    for targets in [1000, 10_000, 75_000] {
        let size = Size { vms: 0, shards: 1100, targets };
        let (sample, view) = meter::growth(targets, || bed::view(&bed::stranger(), size));
        slopes.push(slope("memory of a target in the view", size, "bytes", sample));
        held.push(view);
    }
    for vms in [600, 2600, 10_000] {
        let size = Size { vms, shards: 1, targets: 0 };
        let (sample, view) = meter::growth(vms, || bed::view(&bed::stranger(), size));
        slopes.push(slope("memory of a VM in the view", size, "bytes", sample));
        held.push(view);
    }
    let mut engines = Vec::new();
    for targets in [1000, 10_000, 75_000] {
        let size = Size { vms: 19, shards: 1100, targets };
        let (sample, engine) = meter::growth(targets, || bed::entry(size));
        slopes.push(slope(
            "memory of a target at a VM that is not its home",
            size,
            "bytes",
            sample,
        ));
        engines.push(engine);
    }
    drop((held, engines));
    SIZES.into_iter().for_each(|size| slopes.extend(changes(size)));
    slopes
}

fn slope(figure: &'static str, size: Size, unit: &'static str, sample: Sample) -> Slope {
    let size = format!("{} VMs, {} shards, {} targets", size.vms, size.shards, size.targets);
    Slope { part: Part::Holding, figure, size, unit, sample }
}

fn changes(size: Size) -> Vec<Slope> {
    let mut engine = bed::entry(size);
    let view = bed::view(&bed::stranger(), size);
    let mut revision = 1;
    let copy = meter::micros(1, || meter::timed(|| std::hint::black_box(view.clone()).ready).0);
    let profiles = meter::micros(1, || {
        revision += 1;
        put(&mut engine, View { document: bed::document(revision), ..view.clone() })
    });
    let mut is_listed = true;
    let vm = meter::micros(1, || {
        let mut view = view.clone();
        is_listed = !is_listed;
        if !is_listed {
            view.vms.remove(&bed::vm_name(size.vms / 2));
        }
        put(&mut engine, view)
    });
    put(&mut engine, view.clone());
    let holding = holding_change(&mut engine, size);
    vec![
        slope("copy the view", size, "us", copy),
        slope("take a view with a changed profile", size, "us", profiles),
        slope("take a view with a VM more or less", size, "us", vm),
        slope("take a changed holding and plan again", size, "us", holding),
    ]
}

fn put(engine: &mut Engine, view: View) -> Duration {
    let event = bed::viewed(view);
    meter::timed(|| bed::step(engine, vec![event])).0
}

/// Changes how many targets hold the range of one shard, to and fro.
fn holding_change(engine: &mut Engine, size: Size) -> Sample {
    let mut replicas = 2;
    meter::micros(1, || {
        replicas = 5 - replicas;
        let mut holding = bed::holdings(size.shards).swap_remove(0);
        holding.ranges.iter_mut().for_each(|held| held.replicas = replicas);
        let message = Message::Holdings(vec![holding]);
        let event = Event::Message { from: bed::lane(0), message };
        meter::timed(|| bed::step(engine, vec![event])).0
    })
}
