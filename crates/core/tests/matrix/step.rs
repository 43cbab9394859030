//! The steps: how each is reached, by watching the world.

use std::time::Duration;

use laburnum_core::{
    claims::layout::FLOOR,
    control::RequestId,
    fault::Kind,
    traffic::{Body, Call},
    view::State,
};

use crate::{
    fault::SHARDS,
    world::{FULL_COVERAGE, World, name},
};

const MS: Duration = Duration::from_millis(1);

/// The time within which a step is reached.
const REACH: Duration = Duration::from_secs(5);

/// A key that the shard with the number zero holds.
const SUBJECT: u64 = 1;

/// A step of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// The entry was handed a search.
    SearchTaken,
    /// Its legs were sent.
    SearchSent,
    /// A leg waits at its home.
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
    /// The claim was granted and the operation leaves the entry.
    Granted,
    /// The operation is at the home of its shard.
    OperationSent,
    /// A target runs it.
    OperationRunning,
    /// It ran and its outcome is on its way.
    OperationReplied,
    /// Its caller was answered and the outcome is recorded.
    OperationRecorded,
    /// A VM was handed a publication.
    PublicationSent,
    /// It was written.
    PublicationWritten,
    /// Its operator was answered.
    PublicationAnswered,
    /// Some VMs have it in force.
    PublicationSpreading,
    /// A VM starts.
    JoinStarted,
    /// It has read the list.
    ListRead,
    /// It has the document.
    DocumentRead,
    /// It is ready.
    JoinReady,
    /// A VM was asked to leave.
    LeaveAsked,
    /// Another VM knows that it leaves.
    LeaveAnnounced,
    /// It has requests and legs in flight.
    LeaveDraining,
    /// It has ended.
    LeaveEnded,
}

/// What was started.
#[derive(Clone, Copy, Debug)]
pub enum Started {
    /// A request of a caller.
    Call(Call),
    /// A publication.
    Publication(RequestId),
    /// A VM joins.
    Join,
    /// A VM leaves with a search in flight.
    Leave(Call),
}

/// Starts the process of a step through `actor` and runs until it is reached.
pub fn reach(world: &mut World, step: Step, actor: &str) -> Started {
    let started = start(world, step, actor);
    let is_reached = world.run_until(REACH, |world| is_at(world, step, actor, started));
    assert!(is_reached, "{step:?} is not reached");
    started
}

fn start(world: &mut World, step: Step, actor: &str) -> Started {
    match step {
        Step::SearchWaiting => {
            occupy(world, actor);
            Started::Call(world.search(actor, FULL_COVERAGE, " for one"))
        }
        step if step <= Step::SearchMerged => {
            Started::Call(world.search(actor, FULL_COVERAGE, " for one"))
        }
        step if step <= Step::OperationRecorded => {
            Started::Call(world.operate(actor, 1, SUBJECT, "one"))
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
fn occupy(world: &mut World, actor: &str) {
    for target in world.targets.rows.values_mut() {
        target.service = 60 * MS;
    }
    for number in 0..2 * crate::fault::REPLICAS {
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
    let runs = |text: &str| world.targets.started.contains_key(text);
    let is_answered = match started {
        Started::Call(call) | Started::Leave(call) => world.answers.contains_key(&call),
        Started::Publication(id) => world.operators.answers.contains_key(&id),
        Started::Join => false,
    };
    let revision = control.engine.tables().in_force.document.revision;
    let claims = || world.platform.as_ref().unwrap().values.keys().any(|key| is_claim(key));
    match step {
        Step::SearchTaken | Step::PublicationSent | Step::JoinStarted | Step::LeaveAsked => true,
        Step::SearchSent => tables.legs.len() == SHARDS as usize,
        Step::SearchWaiting => world.vms.values().any(|vm| {
            let mut jobs = vm.engine.tables().jobs.values();
            jobs.any(|job| job.place.is_some())
        }),
        Step::SearchRunning => runs(" for one"),
        Step::SearchReplied => runs(" for one") && !is_running(world),
        Step::SearchMerged | Step::OperationRecorded | Step::PublicationAnswered => is_answered,
        Step::ClaimSent => !world.oracle.tokens.is_empty(),
        Step::ClaimWritten => claims(),
        Step::Granted => !tables.legs.is_empty(),
        Step::OperationSent => world.vms.values().any(|vm| !vm.engine.tables().jobs.is_empty()),
        Step::OperationRunning => runs("one"),
        Step::OperationReplied => world.targets.executions.contains_key("one"),
        Step::PublicationWritten => world.written().len() > 1,
        Step::PublicationSpreading => {
            let last = world.written().last().unwrap().document.revision;
            let has = |vm: &crate::world::vm::Vm| {
                let tables = vm.control.as_ref().unwrap().engine.tables();
                tables.in_force.document.revision == last
            };
            world.written().len() > 1 && world.vms.values().any(has)
        }
        Step::ListRead => control.engine.tables().targets.read.is_some(),
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
    key.starts_with("claims/") && key != FLOOR
}

fn is_running(world: &World) -> bool {
    world.targets.rows.values().any(|row| !row.running.is_empty())
}

/// Whether an answer says that nothing ran, or holds all that was asked.
pub fn is_whole(body: &Body) -> bool {
    match body {
        Body::Found(found) => found.missing.is_empty(),
        Body::Done { .. } => true,
        Body::Refused(fault) => fault.kind == Kind::Quarantined,
    }
}
