//! Runs a cell of the matrix: brings a process to a step, injects a fault, and
//! checks the guarantees while the fault lasts and after it ends.

use std::time::Duration;

use laburnum_core::{control::Answer, traffic::Body, view::State};

use crate::{
    fault::{self, Fault, POISON, REPLICA_COUNT, Roles, SHARD_COUNT},
    step::{self, Started, Step},
    world::{ANY_COVERAGE, FULL_COVERAGE, World, name, platform::Mode, targets},
};

const MS: Duration = Duration::from_millis(1);

/// The time for which the fault lasts.
const FAULT_DURATION: Duration = Duration::from_secs(4);

/// The time within which the deployment recovers after the fault.
const RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// The number of searches that run before the process starts.
const WARM_UP_SEARCHES: u32 = 60;

const VM_COUNT: usize = 4;

/// Runs a cell. The oracle of the world checks safety throughout.
pub fn run_cell(step: Step, fault: Fault) {
    let mut world = World::with_control(VM_COUNT, SHARD_COUNT, REPLICA_COUNT);
    for replica in 0..REPLICA_COUNT {
        world.targets.get(1, replica).poison = Some(POISON.to_owned());
    }
    let roles = roles(&world, step);
    warm_up(&mut world, &roles.actor);
    let started = step::reach(&mut world, step, &roles.actor);
    fault::inject(&mut world, fault, &roles);
    world.run(FAULT_DURATION / 2);
    if fault == Fault::Poison {
        world.search(&roles.actor, ANY_COVERAGE, POISON);
    }
    world.run(FAULT_DURATION / 2);
    heal(&mut world);
    world.run(RECOVERY_LIMIT);
    check_process(&mut world, (step, fault), &roles, started);
    check_recovery(&mut world);
}

/// Runs some searches first, because the hedges of a home are limited to a fraction of
/// the legs that it has served: a home that has served none does not hedge.
fn warm_up(world: &mut World, actor: &str) {
    for number in 0..WARM_UP_SEARCHES {
        world.search(actor, FULL_COVERAGE, &format!(" served {number}"));
        world.run(20 * MS);
    }
}

/// Chooses the VMs. For searches and operations the faulty VM is the home of the first
/// shard and the request enters through another VM; for the other processes the faulty
/// VM is the acting one.
fn roles(world: &World, step: Step) -> Roles {
    let home = world.home_of(0).to_string();
    let entry = world.other_than_home_of(0).to_string();
    if step <= Step::OperationRecorded {
        return Roles { actor: entry, faulty: home.clone(), other: home };
    }
    Roles { actor: home.clone(), faulty: home, other: entry }
}

fn heal(world: &mut World) {
    world.network.heal();
    world.platform().mode = Mode::Up;
    world.platform().delay = 2 * MS;
    let gone: Vec<String> = world
        .vms
        .values()
        .filter(|vm| !vm.alive || vm.listed != Some(State::Live))
        .map(|vm| vm.name.to_string())
        .collect();
    for vm in gone {
        if world.vms[&name(&vm)].alive {
            // A VM that is leaving may take as long as it was paused.
            world.run(20 * FAULT_DURATION / 4);
        }
        world.replace_vm(&vm);
    }
    for shard in 0..SHARD_COUNT {
        for replica in 0..REPLICA_COUNT {
            heal_target(world, shard, replica);
        }
    }
}

fn heal_target(world: &mut World, shard: u64, replica: u64) {
    let target = world.targets.get(shard, replica);
    if !target.alive || target.status.draining {
        world.restart_target(shard, replica);
    }
    let target = world.targets.get(shard, replica);
    target.sheds = false;
    target.cold_requests = 0;
    target.service = 4 * MS;
    for range in target.status.holds.values_mut() {
        *range = targets::range_of(shard, SHARD_COUNT);
    }
}

/// Checks the outcome of the process.
fn check_process(world: &mut World, cell: (Step, Fault), roles: &Roles, started: Started) {
    let (_, fault) = cell;
    match started {
        Started::Call(call) | Started::Leave(call) => {
            let is_lost = !world.answers.contains_key(&call);
            let actor_died = matches!(started, Started::Leave(_))
                && matches!(fault, Fault::VmKilled | Fault::VmReplaced);
            assert!(!is_lost || actor_died, "{call:?} has no answer");
            if let Some(answer) = world.answers.get(&call).cloned() {
                check_answer(world, cell, roles, &answer.body);
            }
        }
        Started::Publication(id) => {
            let died = matches!(fault, Fault::VmKilled | Fault::VmReplaced);
            let answer = world.operators.answers.get(&id);
            assert!(answer.is_some() || died, "the operator has no answer");
            let is_accepted_or_unsettled =
                matches!(answer, Some(Answer::Accepted { .. } | Answer::Unsettled { .. }));
            let may_fail = died
                || matches!(fault, Fault::OperatorsRacing | Fault::StoreDown | Fault::LeaseLapsed);
            assert!(is_accepted_or_unsettled || may_fail, "the operator was told {answer:?}");
        }
        Started::Join => {}
    }
}

/// Checks that a search is answered completely in spite of the fault, or that an
/// operation ran at most once and a resend gets the recorded outcome or is told that
/// the outcome is unknown.
fn check_answer(world: &mut World, cell: (Step, Fault), roles: &Roles, body: &Body) {
    if world.oracle.tokens.is_empty() {
        assert!(may_be_partial(cell) || step::is_whole(body), "the search got {body:?}");
        return;
    }
    let again = world.operate(&roles.other, 1, 1, "one");
    world.run(1100 * MS);
    let ran = world.targets.executions.get("one").copied().unwrap_or(0);
    match (&world.answer(again).body, body) {
        (Body::Done { replayed, .. }, Body::Done { .. }) => assert!(*replayed),
        (Body::Done { .. }, _) => assert_eq!(ran, 1),
        (Body::Refused(fault), Body::Refused(_)) => assert_ne!(fault.ran.as_str(), "no"),
        (again, first) => panic!("{first:?} and then {again:?}"),
    }
}

/// Returns whether a search may be refused or answered partially: its entry VM was
/// paused until after the deadline, or the legs of a home that is gone occupy every slot,
/// so that the retry budget is used up.
fn may_be_partial((step, fault): (Step, Fault)) -> bool {
    let is_home_gone = matches!(fault, Fault::VmKilled | Fault::VmReplaced);
    fault == Fault::LeaseLapsed || (step == Step::SearchWaiting && is_home_gone)
}

/// Checks that every VM answers completely, runs operations and has the last published
/// revision in force.
fn check_recovery(world: &mut World) {
    let vms: Vec<String> = world.vms.keys().map(ToString::to_string).collect();
    let mut calls = Vec::new();
    for (number, vm) in vms.iter().enumerate() {
        calls.push(world.search(vm, FULL_COVERAGE, &format!(" after {number}")));
        let subject = u64::MAX / 5 * number as u64;
        calls.push(world.operate(vm, 100 + number as u128, subject, &format!("after {number}")));
    }
    world.run(1100 * MS);
    for call in calls {
        let body = &world.answer(call).body;
        let is_new = !matches!(body, Body::Done { replayed: true, .. } | Body::Refused(_));
        assert!(is_new && step::is_whole(body), "{body:?} after the fault");
    }
    world.check_operators();
    let last = world.written().last().unwrap().document.revision;
    for vm in world.vms.values() {
        let own = vm.control.as_ref().unwrap().engine.tables().in_force.document.revision;
        assert_eq!(own, last, "the revision in force on {}", vm.name);
    }
}
