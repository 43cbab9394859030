//! The steps of the processes and how the world is brought to them.

use std::time::Duration;

use laburnum_core::{
    claims::layout::FLOOR_KEY,
    control::RequestId,
    fault::Kind,
    traffic::{Body, Call},
    view::State,
};

use crate::{
    fault::SHARD_COUNT,
    world::{FULL_COVERAGE, World, name},
};

const MS: Duration = Duration::from_millis(1);

/// The time within which a step must be reached.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// The subject of the operation, a key of shard 0.
const SUBJECT_KEY: u64 = 1;

/// A step of a process, a column of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// The entry VM received a search.
    SearchTaken,
    /// The legs of the search were sent.
    SearchSent,
    /// A leg waits for a slot at its home.
    SearchWaiting,
    /// A target runs a leg.
    SearchRunning,
    /// A reply is on its way.
    SearchReplied,
    /// The search was answered.
    SearchMerged,
    /// The claim of an operation was sent.
    ClaimSent,
    /// The claim was written.
    ClaimWritten,
    /// The claim was granted and the entry VM sends the operation.
    Granted,
    /// The operation is at the home of its shard.
    OperationSent,
    /// A target runs the operation.
    OperationRunning,
    /// The operation ran and its outcome is on its way.
    OperationReplied,
    /// The caller was answered and the outcome is recorded.
    OperationRecorded,
    /// A VM received a publication.
    PublicationSent,
    /// The publication was written.
    PublicationWritten,
    /// The operator was answered.
    PublicationAnswered,
    /// The publication is in force on some VMs.
    PublicationSpreading,
    /// A VM starts.
    JoinStarted,
    /// The starting VM has read the list.
    ListRead,
    /// The starting VM has read the document.
    DocumentRead,
    /// The starting VM is ready.
    JoinReady,
    /// A VM was told to leave.
    LeaveAsked,
    /// Another VM knows that the VM is leaving.
    LeaveAnnounced,
    /// The leaving VM still has requests and legs in flight.
    LeaveDraining,
    /// The process of the leaving VM has ended.
    LeaveEnded,
}

/// A process that was started.
#[derive(Clone, Copy, Debug)]
pub enum Started {
    /// A caller's request.
    Call(Call),
    /// A publication of an operator.
    Publication(RequestId),
    /// The start of a VM.
    Join,
    /// The shutdown of a VM with a search in flight.
    Leave(Call),
}

/// Starts the process of a step at `actor` and runs until the step is reached.
pub fn reach(world: &mut World, step: Step, actor: &str) -> Started {
    let started = start(world, step, actor);
    let is_reached = world.run_until(STEP_TIMEOUT, |world| is_at(world, step, actor, started));
    assert!(is_reached, "{step:?} is not reached");
    started
}

fn start(world: &mut World, step: Step, actor: &str) -> Started {
    match step {
        Step::SearchWaiting => {
            fill_slots(world, actor);
            Started::Call(world.search(actor, FULL_COVERAGE, " for one"))
        }
        step if step <= Step::SearchMerged => {
            Started::Call(world.search(actor, FULL_COVERAGE, " for one"))
        }
        step if step <= Step::OperationRecorded => {
            Started::Call(world.operate(actor, 1, SUBJECT_KEY, "one"))
        }
        step if step <= Step::PublicationSpreading => {
            Started::Publication(world.publish_profiles(actor, None))
        }
        step if step <= Step::JoinReady => {
            world.replace_vm(actor);
            Started::Join
        }
        _ => {
            let call = world.search(actor, FULL_COVERAGE, " for one");
            world.run(MS / 2);
            world.leave_vm(actor);
            Started::Leave(call)
        }
    }
}

/// Fills every slot of every target.
fn fill_slots(world: &mut World, actor: &str) {
    for target in world.targets.rows.values_mut() {
        target.service = 60 * MS;
    }
    for number in 0..2 * crate::fault::REPLICA_COUNT {
        world.search(actor, FULL_COVERAGE, &format!(" before {number}"));
    }
    world.run(5 * MS);
    for target in world.targets.rows.values_mut() {
        target.service = 4 * MS;
    }
}

fn is_at(world: &World, step: Step, actor: &str, started: Started) -> bool {
    let vm = &world.vms[&name(actor)];
    let control = vm.control.as_ref().expect("whole VMs");
    let tables = vm.engine.tables();
    let was_started = |text: &str| world.targets.started.contains_key(text);
    let is_answered = match started {
        Started::Call(call) | Started::Leave(call) => world.answers.contains_key(&call),
        Started::Publication(id) => world.operators.answers.contains_key(&id),
        Started::Join => false,
    };
    let revision = control.engine.tables().in_force.document.revision;
    let has_claim = || world.platform.as_ref().unwrap().values.keys().any(|key| is_claim(key));
    match step {
        Step::SearchTaken | Step::PublicationSent | Step::JoinStarted | Step::LeaveAsked => true,
        Step::SearchSent => tables.legs.len() == SHARD_COUNT as usize,
        Step::SearchWaiting => world.vms.values().any(|vm| {
            let mut jobs = vm.engine.tables().jobs.values();
            jobs.any(|job| job.position.is_some())
        }),
        Step::SearchRunning => was_started(" for one"),
        Step::SearchReplied => was_started(" for one") && !is_running(world),
        Step::SearchMerged | Step::OperationRecorded | Step::PublicationAnswered => is_answered,
        Step::ClaimSent => !world.oracle.tokens.is_empty(),
        Step::ClaimWritten => has_claim(),
        Step::Granted => !tables.legs.is_empty(),
        Step::OperationSent => world.vms.values().any(|vm| !vm.engine.tables().jobs.is_empty()),
        Step::OperationRunning => was_started("one"),
        Step::OperationReplied => world.targets.executions.contains_key("one"),
        Step::PublicationWritten => world.written().len() > 1,
        Step::PublicationSpreading => {
            let last = world.written().last().unwrap().document.revision;
            let is_in_force = |vm: &crate::world::vm::Vm| {
                let tables = vm.control.as_ref().unwrap().engine.tables();
                tables.in_force.document.revision == last
            };
            world.written().len() > 1 && world.vms.values().any(is_in_force)
        }
        Step::ListRead => control.engine.tables().targets.list_age.is_some(),
        Step::DocumentRead => revision.0 > 0,
        Step::JoinReady => control.view.as_ref().is_some_and(|view| view.ready),
        Step::LeaveAnnounced => world.vms.values().any(|other| {
            let view = other.control.as_ref().and_then(|control| control.view.as_ref());
            let seen = view.and_then(|view| view.vms.get(&name(actor)));
            other.name != name(actor) && seen.is_some_and(|vm| vm.state == State::Leaving)
        }),
        Step::LeaveDraining => control.engine.leaving() && tables.in_flight() > 0,
        Step::LeaveEnded => !vm.alive,
    }
}

fn is_claim(key: &str) -> bool {
    key.starts_with("claims/") && key != FLOOR_KEY
}

fn is_running(world: &World) -> bool {
    world.targets.rows.values().any(|row| !row.running.is_empty())
}

/// Returns whether an answer is complete, or a refusal because of quarantine.
pub fn is_whole(body: &Body) -> bool {
    match body {
        Body::Found(found) => found.missing.is_empty(),
        Body::Done { .. } => true,
        Body::Refused(fault) => fault.kind == Kind::Quarantined,
    }
}
