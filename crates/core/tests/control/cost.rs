//! What control costs: calls of the platform's service must not grow with the
//! number of VMs, and neither must the messages of a VM.

use std::time::Duration;

use laburnum_core::control::Answer;

use crate::world::{World, vm};

/// The numbers of VMs at which costs are measured.
const SIZES: [usize; 4] = [5, 19, 60, 200];

/// The time over which a cost is measured.
const SPAN: Duration = Duration::from_secs(20);

/// The bytes that control may send a second for each VM.
const MAX_BYTES: f64 = 4096.0;

/// What was measured at one number of VMs.
#[derive(Clone, Copy, Debug)]
struct Cost {
    vms: usize,
    messages: f64,
    bytes: f64,
    calls: f64,
    watches: usize,
}

fn quiet(count: usize) -> World {
    let mut world = World::new(count, 1);
    assert!(world.until(Duration::from_secs(10), World::settled).is_some());
    world.run(Duration::from_secs(20));
    world
}

fn sent(world: &World) -> (u64, u64) {
    let each = world.nodes.values().map(|node| node.sent);
    each.fold((0, 0), |sum, sent| (sum.0 + sent.0, sum.1 + sent.1))
}

/// Measures the messages and bytes that each VM sends a second and the calls
/// of the service a second, while `change` is done once a second.
fn measure(count: usize, change: impl Fn(&mut World, u32)) -> Cost {
    let mut world = quiet(count);
    let (before, calls) = (sent(&world), world.platform.calls);
    let mut watches = 0;
    for second in 0..SPAN.as_secs() {
        change(&mut world, u32::try_from(second).unwrap() + 1);
        world.run(Duration::from_secs(1));
        watches = watches.max(world.platform.watches());
    }
    let after = sent(&world);
    let rate = |count: u64, of: usize| count as f64 / SPAN.as_secs_f64() / of as f64;
    let cost = Cost {
        vms: count,
        messages: rate(after.0 - before.0, count),
        bytes: rate(after.1 - before.1, count),
        calls: rate(world.platform.calls - calls, 1),
        watches,
    };
    println!("{cost:?}");
    cost
}

fn still(_: &mut World, _: u32) {}

fn publish(world: &mut World, mark: u32) {
    let id = world.publish(&vm(0), mark, None);
    let answer = world.answer(id);
    assert!(matches!(answer, Answer::Accepted { .. }), "{answer:?}");
}

cases! {
    calls_and_watches_of_the_platform_do_not_grow_with_the_number_of_vms => {
        for cost in SIZES.map(|count| measure(count, still)) {
            assert!(cost.watches <= 3, "{cost:?}");
            assert!(cost.calls < 10.0, "{cost:?}");
        }
    };
    the_messages_of_a_quiet_vm_do_not_grow_with_the_number_of_vms => {
        let costs = SIZES.map(|count| measure(count, still));
        for cost in costs {
            assert!(cost.messages < 1.25 * costs[1].messages.max(1.0), "{costs:?}");
            assert!(cost.bytes < 1.25 * costs[1].bytes, "{costs:?}");
        }
    };
    a_publication_a_second_keeps_within_the_bytes_of_control => {
        for cost in SIZES.map(|count| measure(count, publish)) {
            assert!(cost.bytes < MAX_BYTES, "{cost:?}");
        }
    };
    a_revision_is_in_force_everywhere_in_time_at_each_size => {
        for count in SIZES {
            let mut world = quiet(count);
            let id = world.publish(&vm(1), 7, None);
            let Answer::Accepted { revision, .. } = world.answer(id) else { panic!() };
            let took = world.until(Duration::from_secs(3), |world| {
                world.all(|view| view.document.revision == revision)
            });
            println!("{count} VMs: in force everywhere after {took:?}");
            assert!(took.is_some());
        }
    };
}
