//! A cell of the matrix: a process is brought to a step, the fault comes, and
//! the promises are checked while it lasts and after it ends.

use std::time::Duration;

use laburnum_core::{control::Answer, traffic::Body, view::State};

use crate::{
    fault::{self, Fault, POISON, Parties, REPLICAS, SHARDS},
    step::{self, Started, Step},
    world::{ANY_COVERAGE, FULL_COVERAGE, World, name, platform::Mode, targets},
};

const MS: Duration = Duration::from_millis(1);

/// The time for which the fault lasts.
const FAULT: Duration = Duration::from_secs(4);

/// The time within which all is as before after the fault.
const SETTLE: Duration = Duration::from_secs(10);

/// The number of searches that are served before the process starts.
const SERVED: u32 = 60;

/// The number of VMs.
const VMS: usize = 4;

/// Plays a cell. The oracle of the world checks the safety at every moment.
pub fn run(step: Step, fault: Fault) {
    let mut world = World::with_control(VMS, SHARDS, REPLICAS);
    for replica in 0..REPLICAS {
        world.targets.get(1, replica).poison = Some(POISON.to_owned());
    }
    let parties = parties(&world, step);
    serve(&mut world, &parties.actor);
    let started = step::reach(&mut world, step, &parties.actor);
    fault::inject(&mut world, fault, &parties);
    world.run(FAULT / 2);
    if fault == Fault::Poison {
        world.search(&parties.actor, ANY_COVERAGE, POISON);
    }
    world.run(FAULT / 2);
    heal(&mut world);
    world.run(SETTLE);
    check_started(&mut world, (step, fault), &parties, started);
    check_after(&mut world);
}

/// Serves some searches first: hedges are allowed as a part of the legs that a
/// home has served, so that one which has served none does not hedge.
fn serve(world: &mut World, actor: &str) {
    for number in 0..SERVED {
        world.search(actor, FULL_COVERAGE, &format!(" served {number}"));
        world.run(20 * MS);
    }
}

/// The entry of requests is not the home of the first shard, which a fault
/// strikes; other processes are struck at the VM that acts.
fn parties(world: &World, step: Step) -> Parties {
    let home = world.home_of(0).to_string();
    let entry = world.other_than_home_of(0).to_string();
    if step <= Step::OperationRecorded {
        return Parties { actor: entry, struck: home.clone(), other: home };
    }
    Parties { actor: home.clone(), struck: home, other: entry }
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
            // It leaves, and may take as long as it was stopped.
            world.run(20 * FAULT / 4);
        }
        world.replace_vm(&vm);
    }
    for shard in 0..SHARDS {
        for replica in 0..REPLICAS {
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
        *range = targets::range_of(shard, SHARDS);
    }
}

/// Checks what became of the process itself.
fn check_started(world: &mut World, cell: (Step, Fault), parties: &Parties, started: Started) {
    let (_, fault) = cell;
    match started {
        Started::Call(call) | Started::Leave(call) => {
            let is_lost = !world.answers.contains_key(&call);
            let actor_died = matches!(started, Started::Leave(_))
                && matches!(fault, Fault::VmKilled | Fault::VmReplaced);
            assert!(!is_lost || actor_died, "{call:?} has no answer");
            if let Some(answer) = world.answers.get(&call).cloned() {
                check_answer(world, cell, parties, &answer.body);
            }
        }
        Started::Publication(id) => {
            let died = matches!(fault, Fault::VmKilled | Fault::VmReplaced);
            let answer = world.operators.answers.get(&id);
            assert!(answer.is_some() || died, "the operator has no answer");
            let is_told =
                matches!(answer, Some(Answer::Accepted { .. } | Answer::Unsettled { .. }));
            let may_fail = died
                || matches!(fault, Fault::OperatorsRacing | Fault::StoreDown | Fault::LeaseLapsed);
            assert!(is_told || may_fail, "the operator was told {answer:?}");
        }
        Started::Join => {}
    }
}

/// A search is whole in spite of any one fault; an operation ran at most once,
/// and a resend gets what was recorded, or that it is not known.
fn check_answer(world: &mut World, cell: (Step, Fault), parties: &Parties, body: &Body) {
    if world.oracle.tokens.is_empty() {
        assert!(may_be_partial(cell) || step::is_whole(body), "the search got {body:?}");
        return;
    }
    let again = world.operate(&parties.other, 1, 1, "one");
    world.run(1100 * MS);
    let ran = world.targets.executions.get("one").copied().unwrap_or(0);
    match (&world.answer(again).body, body) {
        (Body::Done { replayed, .. }, Body::Done { .. }) => assert!(*replayed),
        (Body::Done { .. }, _) => assert_eq!(ran, 1),
        (Body::Refused(fault), Body::Refused(_)) => assert_ne!(fault.ran.as_str(), "no"),
        (again, first) => panic!("{first:?} and then {again:?}"),
    }
}

/// Whether a search may be refused or partial: its own VM was stopped until
/// after the deadline, or every slot is taken by legs of a home that is gone, so
/// that the budget of retries is used up.
fn may_be_partial((step, fault): (Step, Fault)) -> bool {
    let is_home_gone = matches!(fault, Fault::VmKilled | Fault::VmReplaced);
    fault == Fault::LeaseLapsed || (step == Step::SearchWaiting && is_home_gone)
}

/// Every VM answers wholly, runs operations and has the last revision.
fn check_after(world: &mut World) {
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
