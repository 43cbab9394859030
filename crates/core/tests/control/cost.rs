//! What control costs: calls of the platform's service must not grow with the
//! number of VMs, and neither must the messages of a VM.

use std::time::Duration;

use laburnum_core::control::Answer;

use crate::fixture::vm;
use crate::world::World;

/// The time over which a cost is measured.
const SPAN: Duration = Duration::from_secs(20);

/// The time within which an accepted revision is in force on every VM.
const IN_FORCE: Duration = Duration::from_secs(3);

/// What was measured.
#[derive(Clone, Copy, Debug)]
struct Cost {
    messages: f64,
    bytes: f64,
    calls: f64,
    claim_calls: f64,
    watches: usize,
}

/// The most that may be measured, at whatever number of VMs.
const QUIET: Cost = Cost { messages: 4.5, bytes: 600.0, calls: 9.0, claim_calls: 2.5, watches: 3 };

/// The same while profiles are published once a second.
const BUSY: Cost =
    Cost { messages: 12.0, bytes: 1500.0, calls: 14.0, claim_calls: 2.5, watches: 3 };

fn quiet(count: usize) -> World {
    let mut world = World::new(count, 1);
    assert!(world.until(Duration::from_secs(10), World::settled).is_some());
    // The news that every VM has started is passed on for a while.
    let told =
        |world: &World| world.nodes.values().all(|node| node.engine.tables().gossip.is_empty());
    let took = world.until(Duration::from_secs(600), told).unwrap();
    let (messages, bytes) = sent(&world);
    let count = count as u64;
    let (messages, bytes) = (messages / count, bytes / count);
    println!("{count} VMs: start of all told in {took:?}, {messages} messages, {bytes} bytes each");
    world.run(Duration::from_secs(20));
    world
}

fn sent(world: &World) -> (u64, u64) {
    let each = world.nodes.values().map(|node| node.sent);
    each.fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1))
}

/// Measures the messages and bytes that each VM sends a second and the calls
/// of the service a second, while `change` is done once a second.
fn measure(world: &mut World, change: impl Fn(&mut World, u32)) -> Cost {
    let (before, calls, claims) = (sent(world), world.platform.calls, world.claim_calls);
    let mut watches = 0;
    let start = world.now;
    for second in 0..SPAN.as_secs() {
        change(world, u32::try_from(second).unwrap() + 1);
        world.run(Duration::from_secs(1));
        watches = watches.max(world.platform.watches());
    }
    let after = sent(world);
    let seconds = world.now.since(start).as_secs_f64();
    let each = seconds * world.nodes.len() as f64;
    let cost = Cost {
        messages: (after.0 - before.0) as f64 / each,
        bytes: (after.1 - before.1) as f64 / each,
        calls: (world.platform.calls - calls - (world.claim_calls - claims)) as f64 / seconds,
        claim_calls: (world.claim_calls - claims) as f64 / seconds,
        watches,
    };
    println!("{} VMs: {cost:.1?}", world.nodes.len());
    cost
}

fn within(found: Cost, most: Cost) {
    assert!(found.messages <= most.messages, "{found:?} is above {most:?}");
    assert!(found.bytes <= most.bytes, "{found:?} is above {most:?}");
    assert!(found.calls <= most.calls, "{found:?} is above {most:?}");
    assert!(found.claim_calls <= most.claim_calls, "{found:?} is above {most:?}");
    assert!(found.watches <= most.watches, "{found:?} is above {most:?}");
}

fn publish(world: &mut World, mark: u32) {
    let id = world.publish(&vm(1), mark, None);
    let Answer::Accepted { revision, .. } = world.answer(id) else { panic!() };
    let took = world.until(IN_FORCE, |world| world.all(|view| view.document.revision == revision));
    println!("{} VMs: in force everywhere after {:?}", world.nodes.len(), took.unwrap());
}

fn check(count: usize) {
    let mut world = quiet(count);
    within(measure(&mut world, |_, _| ()), QUIET);
    within(measure(&mut world, publish), BUSY);
}

cases! {
    control_of_5_vms_keeps_within_its_cost => check(5);
    control_of_19_vms_keeps_within_its_cost => check(19);
    control_of_60_vms_keeps_within_its_cost => check(60);
    control_of_200_vms_keeps_within_its_cost => check(200);
}
