//! Equal searches in flight at a home share one attempt.

use std::time::Duration;

use laburnum_core::{
    fault::Ran,
    traffic::{Body, Call, Event},
};

use crate::world::{FULL_COVERAGE, World, name};

const MS: Duration = Duration::from_millis(1);

/// Two VMs and one shard of one target, which takes 100 ms after some faster
/// answers.
fn slow_world() -> World {
    let mut world = World::new(2, 1, 1);
    world.document.profiles.get_mut(&name(FULL_COVERAGE)).unwrap().canary = false;
    world.publish();
    for number in 0..10 {
        world.search("vm-1", FULL_COVERAGE, &format!("warm {number}"));
        world.run(20 * MS);
    }
    world.targets.get(0, 0).service = 100 * MS;
    world.targets.get(0, 0).attempts = 0;
    world
}

/// Sends equal searches to `vms`, 10 ms apart.
fn equal_searches(world: &mut World, vms: &[&str]) -> Vec<Call> {
    let mut calls = vec![world.search(vms[0], FULL_COVERAGE, "same")];
    for vm in &vms[1..] {
        world.run(10 * MS);
        calls.push(world.search(vm, FULL_COVERAGE, "same"));
    }
    calls
}

fn searches_share() {
    let mut world = slow_world();
    let calls = equal_searches(&mut world, &["vm-1", "vm-2", "vm-1"]);
    world.run(200 * MS);
    for call in calls {
        let found = world.found(call).clone();
        world.check(&found);
        assert!(world.answer(call).took <= 110 * MS);
    }
    assert_eq!(world.targets.get(0, 0).attempts, 1);
}

fn other_searches_do_not() {
    let mut world = slow_world();
    world.search("vm-1", FULL_COVERAGE, "one");
    world.search("vm-2", FULL_COVERAGE, "other");
    world.run(200 * MS);
    assert_eq!(world.targets.get(0, 0).attempts, 2);
}

fn one_that_leaves_cancels_nothing() {
    let mut world = slow_world();
    let calls = equal_searches(&mut world, &["vm-1", "vm-2", "vm-1"]);
    world.run(10 * MS);
    let call = calls[0];
    world.deliver(&name("vm-1"), Duration::ZERO, Event::Abandoned { call });
    world.run(200 * MS);
    for &call in &calls[1..] {
        world.found(call);
    }
    assert_eq!(world.targets.get(0, 0).attempts, 1);
}

fn each_keeps_its_deadline() {
    let mut world = slow_world();
    world.targets.get(0, 0).service = 1050 * MS;
    let mut calls = equal_searches(&mut world, &["vm-1", "vm-2"]);
    world.run(500 * MS);
    calls.push(world.search("vm-2", FULL_COVERAGE, "same"));
    world.run(1600 * MS);
    for &call in &calls[..2] {
        let answer = world.answer(call);
        assert!(matches!(&answer.body, Body::Refused(fault) if fault.ran == Ran::Unknown));
        assert!(answer.took <= 1001 * MS);
    }
    world.found(calls[2]);
    assert_eq!(world.targets.get(0, 0).attempts, 1);
}

cases! {
    equal_searches_in_flight_share_one_attempt => searches_share();
    other_searches_have_attempts_of_their_own => other_searches_do_not();
    a_sharer_that_leaves_cancels_nothing_for_others => one_that_leaves_cancels_nothing();
    each_sharer_keeps_its_own_deadline => each_keeps_its_deadline();
}
