//! Mutation tests: cases for faults that were put into the code on purpose and
//! that no other case caught at first. See `docs/PROOF.md`.

use std::time::Duration;

use laburnum_core::{
    fault::{Kind, Ran},
    target::Version,
    traffic::Body,
    view::State,
};

use crate::world::{ANY_COVERAGE, FULL_COVERAGE, World, name};

const MS: Duration = Duration::from_millis(1);

/// A target that the list marks as leaving stays marked after its connection
/// was lost and opened again.
fn listed_as_leaving_and_reconnected() {
    let mut world = World::new(3, 3, 2);
    world.targets.get(1, 0).listed = Some(State::Leaving);
    world.publish();
    world.run(MS);
    world.targets.get(1, 0).go_silent();
    world.run(3000 * MS);
    assert!(!world.targets.get(1, 0).connections.is_empty(), "no new connection");
    let before = world.targets.get(1, 0).attempts;
    for number in 0..4 {
        world.find("vm-1", FULL_COVERAGE, &format!(" for {number}"));
    }
    assert_eq!(world.targets.get(1, 0).attempts, before);
}

/// A leg waits for a slot until after its deadline, and its entry is cut off
/// and cannot withdraw it.
fn slot_frees_after_the_deadline() {
    let mut world = World::new(3, 1, 1);
    let home = world.home_of(0);
    let entry = world.other_than_home_of(0);
    // A target gets one leg at a time until it has answered some.
    for number in 0..8 {
        world.find(home.as_str(), FULL_COVERAGE, &format!(" first {number}"));
    }
    world.targets.get(0, 0).service = 1500 * MS;
    for number in 0..2 {
        world.operate(home.as_str(), number, 1, &format!("before {number}"));
    }
    world.run(50 * MS);
    assert_eq!(world.targets.get(0, 0).running.len(), 2, "both slots are taken");
    world.search(entry.as_str(), FULL_COVERAGE, " for one");
    world.run(10 * MS);
    world.network.cut(&entry, &home);
    world.run(3000 * MS);
    assert!(!world.targets.started.contains_key(" for one"));
}

/// A claim that is granted after its caller was refused is released, so that
/// the same key can be used again.
fn granted_after_the_deadline() {
    let mut world = World::new(3, 3, 2);
    world.claim_delay = 1500 * MS;
    let call = world.operate("vm-1", 1, 1, "one");
    world.run(2000 * MS);
    let Body::Refused(fault) = &world.answer(call).body else { panic!("it was not refused") };
    assert_eq!((fault.kind, fault.ran), (Kind::ClaimUnsettled, Ran::Unknown));
    assert!(!world.targets.executions.contains_key("one"));
    world.claim_delay = 5 * MS;
    let again = world.operate("vm-2", 1, 1, "one");
    world.run(1100 * MS);
    assert!(matches!(world.answer(again).body, Body::Done { replayed: false, .. }));
}

/// A search that has read most of one version when that is removed is restarted
/// at the next one, and keeps no rows of the first.
fn version_removed_when_most_is_read() {
    let mut world = World::new(3, 3, 2);
    let home = world.home_of(0);
    assert!(home != name("vm-1") && home != world.home_of(1), "the leg needs a lane of its own");
    world.network.slow(&name("vm-1"), &home, 30 * MS);
    // After this wait, the homes read the status of their targets soon after
    // the change.
    world.run(480 * MS);
    let call = world.search("vm-1", FULL_COVERAGE, " for one");
    world.run(20 * MS);
    world.change_version(Version(2));
    world.run(1100 * MS);
    let found = world.found(call);
    assert_eq!((found.version, found.missing.is_empty()), (Version(2), true));
}

/// A request that crashed a target waits until its next target is idle, so that
/// no other request fails with it.
fn suspect_waits_for_an_idle_target() {
    let mut world = World::new(3, 3, 2);
    // A target gets one leg at a time until it has answered some.
    for number in 0..40 {
        world.search("vm-1", FULL_COVERAGE, &format!(" first {number}"));
        world.run(if number % 2 == 0 { MS / 10 } else { 20 * MS });
    }
    for replica in 0..2 {
        world.targets.get(1, replica).poison = Some("poison".into());
    }
    world.targets.get(1, 1).service = 100 * MS;
    world.targets.get(1, 0).sheds = true;
    let call = world.search("vm-1", FULL_COVERAGE, " for one");
    world.run(30 * MS);
    assert_eq!(world.targets.get(1, 1).running.len(), 1, "the other request does not run");
    world.targets.get(1, 0).sheds = false;
    world.search("vm-2", ANY_COVERAGE, "poison");
    world.run(1100 * MS);
    assert_eq!(world.targets.crashes["poison"].len(), 2);
    assert!(world.found(call).missing.is_empty());
}

cases! {
    a_suspect_request_waits_for_an_idle_target => suspect_waits_for_an_idle_target();
    a_target_listed_as_leaving_gets_no_work_after_a_reconnect =>
        listed_as_leaving_and_reconnected();
    a_leg_that_waits_beyond_its_deadline_is_not_sent => slot_frees_after_the_deadline();
    a_claim_that_is_granted_too_late_is_given_back => granted_after_the_deadline();
    a_search_that_starts_over_keeps_nothing_of_the_first_version =>
        version_removed_when_most_is_read();
}
