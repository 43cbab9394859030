//! The cost of the control thread: neither the calls of the platform's service
//! nor the messages of a VM may grow with the number of VMs.

use std::time::Duration;

use laburnum_core::control::Answer;

use crate::fixture::vm;
use crate::world::World;

const MEASUREMENT_PERIOD: Duration = Duration::from_secs(20);

/// The time within which an accepted revision is in force on every VM.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// The messages and bytes that each VM sends a second, the calls that all VMs
/// make a second, and the highest number of watches.
#[derive(Clone, Copy, Debug)]
struct Cost {
    messages: f64,
    bytes: f64,
    calls: f64,
    claim_calls: f64,
    watches: usize,
}

/// The highest cost allowed without changes, for any number of VMs.
const IDLE_LIMITS: Cost =
    Cost { messages: 4.5, bytes: 600.0, calls: 9.0, claim_calls: 2.5, watches: 3 };

/// The highest cost allowed while profiles are published once a second.
const PUBLISHING_LIMITS: Cost =
    Cost { messages: 12.0, bytes: 1500.0, calls: 14.0, claim_calls: 2.5, watches: 3 };

fn idle_world(count: usize) -> World {
    let mut world = World::new(count, 1);
    assert!(world.run_until(Duration::from_secs(10), World::settled).is_some());
    // The VMs gossip about the start of every VM for a while.
    let is_passed_on =
        |world: &World| world.nodes.values().all(|node| node.engine.tables().gossip.is_empty());
    let took = world.run_until(Duration::from_secs(600), is_passed_on).unwrap();
    let (messages, bytes) = sent(&world);
    let count = count as u64;
    let (messages, bytes) = (messages / count, bytes / count);
    println!("{count} VMs: starts gossiped for {took:?}, {messages} messages, {bytes} bytes each");
    world.run_for(Duration::from_secs(20));
    world
}

fn sent(world: &World) -> (u64, u64) {
    let each = world.nodes.values().map(|node| node.sent);
    each.fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1))
}

/// Measures the cost while `change` is applied once a second.
fn measure(world: &mut World, change: impl Fn(&mut World, u32)) -> Cost {
    let (before, calls, claims) = (sent(world), world.platform.calls, world.claim_calls);
    let mut watches = 0;
    let start = world.now;
    for second in 0..MEASUREMENT_PERIOD.as_secs() {
        change(world, u32::try_from(second).unwrap() + 1);
        world.run_for(Duration::from_secs(1));
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

fn assert_within(found: Cost, most: Cost) {
    assert!(found.messages <= most.messages, "{found:?} is above {most:?}");
    assert!(found.bytes <= most.bytes, "{found:?} is above {most:?}");
    assert!(found.calls <= most.calls, "{found:?} is above {most:?}");
    assert!(found.claim_calls <= most.claim_calls, "{found:?} is above {most:?}");
    assert!(found.watches <= most.watches, "{found:?} is above {most:?}");
}

fn publish(world: &mut World, mark: u32) {
    let id = world.publish(&vm(1), mark, None);
    let Answer::Accepted { revision, .. } = world.answer(id) else { panic!() };
    let took = world
        .run_until(IN_FORCE_LIMIT, |world| world.all(|view| view.document.revision == revision));
    println!("{} VMs: in force everywhere after {:?}", world.nodes.len(), took.unwrap());
}

fn check_cost(count: usize) {
    let mut world = idle_world(count);
    assert_within(measure(&mut world, |_, _| ()), IDLE_LIMITS);
    assert_within(measure(&mut world, publish), PUBLISHING_LIMITS);
}

cases! {
    control_of_5_vms_keeps_within_its_cost => check_cost(5);
    control_of_19_vms_keeps_within_its_cost => check_cost(19);
    control_of_60_vms_keeps_within_its_cost => check_cost(60);
    control_of_200_vms_keeps_within_its_cost => check_cost(200);
}
