//! Operations run at most once, and one that is reported as not run did not
//! run.

use std::time::Duration;

use laburnum_core::{
    claim::Outcome,
    fault::{Kind, Ran},
    traffic::{Body, Call},
};

use crate::world::World;

const MS: Duration = Duration::from_millis(1);

/// A key that shard zero holds.
const SUBJECT: u64 = 1;

fn refusal(world: &World, call: Call) -> (Kind, Ran) {
    match &world.answer(call).body {
        Body::Refused(fault) => (fault.kind, fault.ran),
        other => panic!("not refused: {other:?}"),
    }
}

fn result(world: &World, call: Call) -> (String, bool) {
    match &world.answer(call).body {
        Body::Done { result, replayed, .. } => (result.to_string(), *replayed),
        other => panic!("not done: {other:?}"),
    }
}

fn executions(world: &World, detail: &str) -> u32 {
    world.targets.executions.get(detail).copied().unwrap_or(0)
}

fn runs_once() {
    let mut world = World::new(3, 4, 2);
    let first = world.operate("vm-1", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(result(&world, first), ("granted a".to_owned(), false));
    let second = world.operate("vm-2", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(result(&world, second), ("granted a".to_owned(), true));
    assert_eq!(executions(&world, "a"), 1);
}

fn sent_three_times_at_once() {
    let mut world = World::new(3, 4, 2);
    let calls: Vec<Call> =
        ["vm-1", "vm-2", "vm-3"].map(|vm| world.operate(vm, 1, SUBJECT, "a")).to_vec();
    world.run(1100 * MS);
    let ran = calls
        .iter()
        .filter(|call| matches!(world.answer(**call).body, Body::Done { replayed: false, .. }))
        .count();
    assert_eq!(ran, 1);
    assert_eq!(executions(&world, "a"), 1);
}

fn claims_unanswered() {
    let mut world = World::new(3, 4, 2);
    world.claims_down = true;
    let call = world.operate("vm-1", 1, SUBJECT, "a");
    world.run(1100 * MS);
    // Whether an earlier request with the key ran is as little known as its claim.
    assert_eq!(refusal(&world, call), (Kind::ClaimUnsettled, Ran::Unknown));
    assert_eq!(executions(&world, "a"), 0);
}

/// Sends an operation that ran again through another VM, which learns nothing of its key.
fn sent_again_without_a_claim(without_claims: impl Fn(&mut World)) {
    let mut world = World::new(3, 4, 2);
    let first = world.operate("vm-1", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(result(&world, first), ("granted a".to_owned(), false));
    without_claims(&mut world);
    let again = world.operate("vm-3", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(refusal(&world, again), (Kind::ClaimUnsettled, Ran::Unknown));
    assert_eq!(executions(&world, "a"), 1);
}

/// Lets a claim be granted while no target has room until the deadline.
fn granted_without_a_target() {
    let mut world = World::new(3, 4, 2);
    for replica in 0..2 {
        world.targets.get(0, replica).service = 5000 * MS;
    }
    let operate = |number: u128| {
        // The lowest bytes of a key are those of its version.
        let key = number << u64::BITS;
        world.operate("vm-1", key, SUBJECT, &format!("a{number}"))
    };
    let calls: Vec<Call> = (1..60).map(operate).collect();
    world.run(1100 * MS);
    let last = *calls.last().unwrap();
    assert_eq!(refusal(&world, last), (Kind::DeadlinePassed, Ran::No));
    assert_eq!(executions(&world, "a59"), 0);
}

fn target_lost_while_it_runs() {
    let mut world = World::new(3, 4, 2);
    for replica in 0..2 {
        world.targets.get(0, replica).service = 100 * MS;
    }
    let call = world.operate("vm-1", 1, SUBJECT, "a");
    world.run(50 * MS);
    for replica in 0..2 {
        world.crash_target(0, replica);
    }
    world.run(1100 * MS);
    assert_eq!(refusal(&world, call), (Kind::TargetFailed, Ran::Unknown));
    world.targets.get(0, 0).restart();
    world.targets.get(0, 1).restart();
    world.run(1000 * MS);
    let again = world.operate("vm-2", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(refusal(&world, again), (Kind::OutcomeUnknown, Ran::Unknown));
    assert_eq!(executions(&world, "a"), 0);
}

fn shed_by_one_target() {
    let mut world = World::new(3, 4, 2);
    world.targets.get(0, 0).sheds = true;
    let call = world.operate("vm-1", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(result(&world, call).0, "granted a");
    assert_eq!(executions(&world, "a"), 1);
}

fn shed_by_all() {
    let mut world = World::new(3, 4, 2);
    for replica in 0..2 {
        world.targets.get(0, replica).sheds = true;
    }
    let call = world.operate("vm-1", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(refusal(&world, call).1, Ran::No);
    for replica in 0..2 {
        world.targets.get(0, replica).sheds = false;
    }
    let again = world.operate("vm-2", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(result(&world, again), ("granted a".to_owned(), false));
    assert_eq!(executions(&world, "a"), 1);
}

fn home_lost(pause: Option<Duration>) {
    let mut world = World::new(3, 4, 2);
    let home = world.home_of(0);
    let entry = world.other_than_home_of(0);
    let call = world.operate(entry.as_str(), 1, SUBJECT, "a");
    // The claim takes 5 ms and the leg 0.5 ms, so the leg is on its way.
    world.run(Duration::from_micros(5300));
    match pause {
        Some(span) => world.pause_vm(home.as_str(), span),
        None => world.kill_vm(home.as_str()),
    }
    world.run(1100 * MS);
    assert_eq!(refusal(&world, call).1, Ran::Unknown);
    let again = world.operate(entry.as_str(), 1, SUBJECT, "a");
    world.run(10_000 * MS);
    assert_eq!(refusal(&world, again), (Kind::OutcomeUnknown, Ran::Unknown));
    assert_eq!(executions(&world, "a"), 0, "the leg had waited for longer than its deadline");
}

fn slow_outcome_is_recorded() {
    let mut world = World::new(3, 4, 2);
    for replica in 0..2 {
        world.targets.get(0, replica).service = 1500 * MS;
    }
    let call = world.operate("vm-1", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(refusal(&world, call), (Kind::DeadlinePassed, Ran::Unknown));
    world.run(1000 * MS);
    let recorded = world.claims.values().next().unwrap().1.clone();
    assert_eq!(recorded, Some(Outcome::Done { result: "granted a".into() }));
    let again = world.operate("vm-2", 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(result(&world, again), ("granted a".to_owned(), true));
    assert_eq!(executions(&world, "a"), 1);
}

fn entry_killed_after_it_sent() {
    let mut world = World::new(3, 4, 2);
    let entry = world.other_than_home_of(0);
    let _ = world.operate(entry.as_str(), 1, SUBJECT, "a");
    world.run(Duration::from_micros(5300));
    world.kill_vm(entry.as_str());
    world.run(1100 * MS);
    let other = world.home_of(0);
    let again = world.operate(other.as_str(), 1, SUBJECT, "a");
    world.run(1100 * MS);
    assert_eq!(refusal(&world, again), (Kind::OutcomeUnknown, Ran::Unknown));
    assert!(executions(&world, "a") <= 1);
}

fn key_for_another_request() {
    let mut world = World::new(3, 4, 2);
    let first = world.operate("vm-1", 1, SUBJECT, "a");
    world.run(1100 * MS);
    let _ = result(&world, first);
    let second = world.operate("vm-1", 1, SUBJECT, "b");
    world.run(1100 * MS);
    assert_eq!(refusal(&world, second), (Kind::KeyReused, Ran::No));
    assert_eq!(executions(&world, "b"), 0);
}

cases! {
    an_operation_runs_once => runs_once();
    an_operation_that_is_sent_three_times_at_once_runs_once => sent_three_times_at_once();
    an_operation_without_a_claim_is_not_run => claims_unanswered();
    an_operation_that_ran_is_not_reported_as_not_run_without_an_answer_to_its_claim => {
        sent_again_without_a_claim(|world| world.claims_down = true);
    };
    an_operation_that_ran_is_not_reported_as_not_run_when_its_claim_is_unsettled => {
        sent_again_without_a_claim(|world| world.claims_unsettled = true);
    };
    an_operation_whose_claim_is_granted_but_not_sent_is_not_run => granted_without_a_target();
    an_operation_whose_target_is_lost_is_never_retried => target_lost_while_it_runs();
    an_operation_that_one_target_shed_goes_to_another => shed_by_one_target();
    an_operation_that_all_targets_shed_may_be_sent_again => shed_by_all();
    an_operation_whose_home_is_killed_is_unknown => home_lost(None);
    an_operation_whose_home_is_paused_is_unknown => home_lost(Some(8000 * MS));
    an_outcome_after_the_deadline_is_recorded => slow_outcome_is_recorded();
    an_operation_whose_entry_is_killed_is_unknown => entry_killed_after_it_sent();
    a_key_for_another_request_is_refused => key_for_another_request();
}
