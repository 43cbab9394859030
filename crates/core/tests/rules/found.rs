//! Regression tests for faults that fuzzing found, each with the seed that
//! showed the fault. Each doc comment gives the sequence of events that led to
//! it.

use std::time::Duration;

use laburnum_core::{
    fault::{Kind, Ran},
    traffic::{Body, Call},
};

use crate::world::{ANY_COVERAGE, FULL_COVERAGE, World, targets::Fault};

const MS: Duration = Duration::from_millis(1);

/// The text of a search that crashes the targets of shard one.
const POISON: &str = "poison";

fn refusal(world: &World, call: Call) -> (Kind, Ran) {
    match &world.answer(call).body {
        Body::Refused(fault) => (fault.kind, fault.ran),
        other => panic!("not refused: {other:?}"),
    }
}

fn poisoned_world(vms: usize, replicas: u64) -> World {
    let mut world = World::new(vms, 3, replicas);
    for replica in 0..replicas {
        world.targets.get(1, replica).poison = Some(POISON.into());
    }
    world
}

fn crashed_targets(world: &World) -> usize {
    world.targets.crashes.get(POISON).map_or(0, |targets| targets.len())
}

/// Seed 3: legs of other shards ran while the leg of shard one was quarantined,
/// so the search must not be reported as not run.
fn quarantined_with_legs_that_ran() {
    let mut world = poisoned_world(4, 4);
    for vm in ["vm-1", "vm-2"] {
        let call = world.search(vm, ANY_COVERAGE, POISON);
        world.run(1100 * MS);
        assert_ne!(refusal(&world, call).1, Ran::No, "through {vm}");
    }
}

/// Seed 1: two copies of a search, sent a millisecond apart, each crashed
/// targets.
fn copies_in_flight() {
    let mut world = poisoned_world(4, 3);
    world.search("vm-3", ANY_COVERAGE, POISON);
    world.run(Duration::from_micros(1108));
    world.search("vm-2", ANY_COVERAGE, POISON);
    world.run(1100 * MS);
    assert_eq!(crashed_targets(&world), 2);
}

/// Seed 11: a VM that became home did not know that a target was lost at the
/// previous home.
fn next_home_knows_the_loss() {
    let mut world = poisoned_world(4, 3);
    world.shares_suspects = true;
    world.targets.get(1, 0).sheds = true;
    world.targets.get(1, 1).sheds = true;
    world.search("vm-1", ANY_COVERAGE, POISON);
    world.run(1100 * MS);
    assert_eq!(crashed_targets(&world), 1);
    let home = world.home_of(1);
    world.kill_vm(home.as_str());
    world.unlist_vm(home.as_str());
    world.targets.get(1, 0).sheds = false;
    world.targets.get(1, 1).sheds = false;
    let next = world.home_of(1);
    world.run(100 * MS);
    world.search(next.as_str(), ANY_COVERAGE, POISON);
    world.run(1100 * MS);
    assert_eq!(crashed_targets(&world), 2);
}

/// Seed 3: a target that was lost and restarted is lost again, which must count
/// as a second lost target.
fn lost_twice_counts_twice() {
    let mut world = poisoned_world(3, 1);
    for _ in 0..2 {
        world.search("vm-1", ANY_COVERAGE, POISON);
        world.run(500 * MS);
        world.restart_target(1, 0);
        world.run(1100 * MS);
    }
    let call = world.search("vm-2", ANY_COVERAGE, POISON);
    world.run(1100 * MS);
    assert_eq!(refusal(&world, call).0, Kind::Quarantined);
    assert!(world.targets.get(1, 0).alive);
}

/// Seed 1: the only home that ran the leg was lost before it replied.
fn home_lost_with_the_reply() {
    let mut world = World::new(3, 1, 2);
    let home = world.home_of(0);
    let entry = world.other_than_home_of(0);
    let call = world.search(entry.as_str(), FULL_COVERAGE, " for one");
    world.run(MS);
    for replica in 0..2 {
        world.targets.get(0, replica).status.draining = true;
    }
    world.kill_vm(home.as_str());
    world.unlist_vm(home.as_str());
    world.run(1100 * MS);
    assert!(world.targets.started.contains_key(" for one"));
    assert_ne!(refusal(&world, call).1, Ran::No);
}

/// Seed 1: the only target ran the leg, sent an invalid reply and drained.
fn invalid_replies_ran(fault: Fault) {
    let mut world = World::new(3, 1, 1);
    world.targets.get(0, 0).fault = Some(fault);
    let call = world.search("vm-1", FULL_COVERAGE, " for one");
    world.run(3 * MS);
    world.targets.get(0, 0).status.draining = true;
    world.run(1100 * MS);
    assert!(world.targets.started.contains_key(" for one"));
    assert_ne!(refusal(&world, call).1, Ran::No);
}

/// Seed 16: a target began to drain while its home was paused, and the home
/// sent it work from an old status.
fn paused_home_asks_first() {
    let mut world = World::new(3, 3, 2);
    let home = world.home_of(1);
    world.pause_vm(home.as_str(), 5000 * MS);
    world.targets.get(1, 0).status.draining = true;
    world.run(4999 * MS);
    let entry = world.other_than_home_of(1);
    world.search(entry.as_str(), FULL_COVERAGE, " for one");
    world.run(1100 * MS);
    assert_eq!(world.targets.late_work, []);
}

/// Seed 15: a home that was paused ran a leg that the next home had run
/// already.
fn slow_home_drops_the_leg() {
    let mut world = World::new(3, 1, 2);
    let home = world.home_of(0);
    let entry = world.other_than_home_of(0);
    world.pause_vm(home.as_str(), 600 * MS);
    let call = world.search(entry.as_str(), FULL_COVERAGE, " for one");
    world.run(1100 * MS);
    assert!(world.found(call).missing.is_empty());
    assert_eq!(world.targets.started[" for one"], 1);
}

/// Seed 23 of the fuzzing with control threads: a home that has just started
/// knows no targets yet.
fn search_beside_a_new_home() {
    let mut world = World::with_control(3, 3, 2);
    let home = world.home_of(1);
    let entry = world.other_than_home_of(1);
    world.replace_vm(home.as_str());
    let call = world.search(entry.as_str(), FULL_COVERAGE, " for one");
    world.run(1100 * MS);
    assert!(world.found(call).missing.is_empty());
}

/// Seed 2 of the fuzzing with control threads: a home that was restarted did
/// not know of the quarantine and crashed a third target.
fn restarted_home_knows_the_quarantine() {
    let mut world = World::with_control(4, 3, 3);
    for replica in 0..3 {
        world.targets.get(1, replica).poison = Some(POISON.into());
    }
    world.search("vm-1", ANY_COVERAGE, POISON);
    world.run(2000 * MS);
    assert_eq!(crashed_targets(&world), 2);
    let home = world.home_of(1);
    world.kill_vm(home.as_str());
    world.run(4000 * MS);
    world.replace_vm(home.as_str());
    world.run(1000 * MS);
    let call = world.search(home.as_str(), ANY_COVERAGE, POISON);
    world.run(1100 * MS);
    assert_eq!(refusal(&world, call), (Kind::Quarantined, Ran::No));
    assert_eq!(crashed_targets(&world), 2);
}

/// Seed 82: after its connection was closed because of a crossed reply, the
/// status of a target was never read again.
fn crossed_target_is_connected_again() {
    let mut world = World::new(3, 1, 1);
    world.targets.get(0, 0).fault = Some(Fault::Crossed);
    world.search("vm-1", ANY_COVERAGE, " for one");
    world.run(3000 * MS);
    world.targets.get(0, 0).fault = None;
    assert!(!world.targets.get(0, 0).connections.is_empty());
}

/// A straggler at a home that has served nothing yet, so that the budget allows
/// no hedge.
fn straggler_at_a_new_home() {
    let mut world = World::new(3, 3, 2);
    for shard in 0..3 {
        world.targets.get(shard, 0).service = 5000 * MS;
    }
    let found = world.find("vm-1", FULL_COVERAGE, "");
    world.check(&found);
    assert!(found.missing.is_empty());
}

cases! {
    a_straggler_at_a_new_home_costs_no_answer => straggler_at_a_new_home();
    a_target_that_crossed_a_reply_is_connected_again => crossed_target_is_connected_again();
    a_search_beside_a_home_that_just_started_is_whole => search_beside_a_new_home();
    a_home_that_just_started_knows_the_quarantine => restarted_home_knows_the_quarantine();
    a_quarantined_search_with_legs_that_ran_is_not_reported_as_not_run => quarantined_with_legs_that_ran();
    copies_of_a_poison_request_in_flight_stop_after_two_targets => copies_in_flight();
    a_new_home_knows_of_targets_that_others_lost => next_home_knows_the_loss();
    a_target_that_is_lost_twice_counts_twice => lost_twice_counts_twice();
    a_search_that_ran_at_a_lost_home_is_not_reported_as_not_run => home_lost_with_the_reply();
    a_search_whose_replies_are_cut_is_not_reported_as_not_run => invalid_replies_ran(Fault::Cut);
    a_search_whose_replies_are_doubled_is_not_reported_as_not_run => invalid_replies_ran(Fault::Doubled);
    a_search_whose_replies_are_crossed_is_not_reported_as_not_run => invalid_replies_ran(Fault::Crossed);
    a_home_that_was_stopped_asks_before_it_sends => paused_home_asks_first();
    a_home_that_was_stopped_drops_legs_that_moved => slow_home_drops_the_leg();
}
