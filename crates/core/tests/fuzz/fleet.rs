//! The tests, which apply the steps to a simulated deployment.

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{
    store::Era,
    target::Version,
    traffic::{Body, Call},
    view::State,
};
use proptest_state_machine::StateMachineTest;

use crate::{
    reference::{self, Action, REPLICA_COUNT, Reference, SHARD_COUNT, Step, VM_COUNT},
    runner,
    world::{
        ANY_COVERAGE, FULL_COVERAGE, World, name,
        platform::{Drill, Mode, Numbering, Open},
        targets,
    },
};

const MS: Duration = Duration::from_millis(1);

/// The time after the last fault from which every search must be answered
/// completely, for VMs with traffic threads only.
const TRAFFIC_RECOVERY_LIMIT: Duration = Duration::from_secs(4);

/// Like [`TRAFFIC_RECOVERY_LIMIT`] for VMs with control threads, which must first
/// find each other again.
const WHOLE_VM_RECOVERY_LIMIT: Duration = Duration::from_secs(10);

/// The time beyond [`WHOLE_VM_RECOVERY_LIMIT`], within which VMs see that the platform's
/// service came back from an older copy, in which a home may refuse keys that may have been
/// lost: the skew of keys, by a clock that is four seconds ahead, and a slot. See
/// `docs/design/claims.md`.
const DOUBT_LIMIT: Duration = Duration::from_secs(15);

/// The time after the faults in which an operator publishes again what was lost for good.
const OPERATOR_DELAY: Duration = Duration::from_secs(10);

/// The era of a service that was never away.
const FIRST_ERA: Era = Era(0);

/// The time within which every VM learns that a target has restarted.
const RESTART_KNOWN_LIMIT: Duration = Duration::from_secs(3);

/// The time within which every VM learns which requests are in quarantine.
const QUARANTINE_KNOWN_LIMIT: Duration = Duration::from_millis(500);

/// The text that crashes the targets of one shard.
const POISON: &str = "poison";

/// The shard whose targets [`POISON`] crashes.
const POISONED_SHARD: u64 = 1;

/// The deployment and the requests sent to it.
pub struct Fleet {
    pub world: World,
    /// The number of texts searched for.
    text_count: u64,
    /// The latest search that crashes targets.
    poison: Option<Call>,
    /// The subjects of the operations sent.
    operations: Vec<u64>,
}

fn vm_name(index: usize) -> String {
    format!("vm-{}", index + 1)
}

/// The test of VMs with traffic threads only.
pub struct Traffic;

/// The test of VMs with traffic and control threads.
pub struct WholeVm;

impl StateMachineTest for Traffic {
    type SystemUnderTest = Fleet;
    type Reference = reference::Traffic;

    fn init_test(_: &Reference) -> Fleet {
        let mut world = World::new(VM_COUNT, SHARD_COUNT, REPLICA_COUNT);
        world.shares_suspects = true;
        world.exits_when_idle = true;
        Fleet::new(world)
    }

    fn apply(fleet: Fleet, reference: &Reference, step: Step) -> Fleet {
        fleet.apply(reference, step)
    }

    fn teardown(mut fleet: Fleet, reference: Reference) {
        fleet.heal(reference.version);
        fleet.world.run(TRAFFIC_RECOVERY_LIMIT);
        fleet.check_searches();
        fleet.check_operations();
    }
}

impl StateMachineTest for WholeVm {
    type SystemUnderTest = Fleet;
    type Reference = reference::WholeVm;

    fn init_test(reference: &Reference) -> Fleet {
        let mut world = World::with_control(VM_COUNT, SHARD_COUNT, REPLICA_COUNT);
        world.platform().numbering = reference.numbering;
        Fleet::new(world)
    }

    fn apply(fleet: Fleet, reference: &Reference, step: Step) -> Fleet {
        fleet.apply(reference, step)
    }

    fn teardown(mut fleet: Fleet, reference: Reference) {
        fleet.heal(reference.version);
        if fleet.world.operators.has_lost_revision {
            // An operator publishes the profiles again.
            fleet.world.run(OPERATOR_DELAY);
            fleet.world.publish_profiles(&vm_name(0), None);
        }
        fleet.world.run(WHOLE_VM_RECOVERY_LIMIT);
        fleet.check_searches();
        fleet.check_revisions();
        if fleet.world.platform().era > FIRST_ERA {
            fleet.world.run(DOUBT_LIMIT);
        }
        fleet.check_operations();
    }
}

impl Fleet {
    fn new(mut world: World) -> Fleet {
        for replica in 0..REPLICA_COUNT {
            world.targets.get(POISONED_SHARD, replica).poison = Some(POISON.to_owned());
        }
        Fleet { world, text_count: 0, poison: None, operations: Vec::new() }
    }

    fn apply(mut self, reference: &Reference, (action, gap): Step) -> Fleet {
        self.apply_action(action, reference);
        self.world.run(Duration::from_micros(gap));
        self
    }

    fn apply_action(&mut self, action: Action, reference: &Reference) {
        let world = &mut self.world;
        match action {
            Action::Search { vm: at, is_full_coverage } => {
                self.text_count += 1;
                let text = format!(" for {}", self.text_count);
                world.search(
                    &vm_name(at),
                    if is_full_coverage { FULL_COVERAGE } else { ANY_COVERAGE },
                    &text,
                );
            }
            Action::Operate { vm: at, subject } => {
                self.operations.push(subject);
                self.operate(at, self.operations.len() - 1);
            }
            Action::Resend { vm: at, operation } => {
                // Shrinking may have removed the operation.
                if operation < self.operations.len() {
                    self.operate(at, operation);
                }
            }
            Action::Poison { vm: at } => {
                // The caller resends the request only after it was answered.
                let is_over = self.poison.is_none_or(|call| world.answers.contains_key(&call));
                if is_over && world.is_stable() {
                    self.poison = Some(world.search(&vm_name(at), ANY_COVERAGE, POISON));
                }
            }
            Action::Kill { .. }
            | Action::Start { .. }
            | Action::Pause { .. }
            | Action::Leave { .. }
            | Action::Cut { .. }
            | Action::Slow { .. }
            | Action::LoseConnections { .. }
            | Action::HealLinks => self.change_vm(&action),
            Action::NextVersion => world.change_version(Version(reference.version)),
            Action::LoadVersion((shard, replica)) => {
                let held = &mut world.targets.get(shard, replica).status.holds;
                if let Some(range) = held.values().next_back().copied() {
                    held.insert(Version(reference.version), range);
                }
            }
            Action::Repartition { one, two } => world.swap_shards(one, two),
            Action::Claims { down } => world.claims_down = down,
            Action::Publish { .. }
            | Action::Settle { .. }
            | Action::Store(_)
            | Action::StoreSlow { .. }
            | Action::Drill(_)
            | Action::Skew { .. } => self.change_control(action),
            action => self.change_target(action),
        }
    }

    fn operate(&mut self, at: usize, operation: usize) {
        let subject = self.operations[operation];
        let detail = format!("operation {operation}");
        self.world.operate(&vm_name(at), operation as u128 + 1, subject, &detail);
    }

    fn change_vm(&mut self, action: &Action) {
        let world = &mut self.world;
        if let Some(call) = self.poison {
            // What a home knows of a request that crashes targets is lost with the
            // home unless it has already told the others; see docs/PROOF.md.
            world.run_until(2000 * MS, |world| world.answers.contains_key(&call));
            world.run(QUARANTINE_KNOWN_LIMIT);
        }
        match *action {
            Action::Kill { vm: at, noticed } => {
                world.kill_vm(&vm_name(at));
                if noticed {
                    world.report_lost_lane(&name(&vm_name(at)));
                }
            }
            Action::Start { vm: at } => {
                world.replace_vm(&vm_name(at));
            }
            Action::Pause { vm: at, span_millis } => {
                world.pause_vm(&vm_name(at), Duration::from_millis(span_millis))
            }
            Action::Leave { vm: at } => world.leave_vm(&vm_name(at)),
            Action::Cut { from, to } => {
                world.network.cut(&name(&vm_name(from)), &name(&vm_name(to)))
            }
            Action::Slow { from, to, delay_millis } => {
                let delay = Duration::from_millis(delay_millis);
                world.network.slow(&name(&vm_name(from)), &name(&vm_name(to)), delay);
            }
            Action::LoseConnections { vm: at } => world.report_lost_lane(&name(&vm_name(at))),
            _ => world.network.heal(),
        }
    }

    fn change_control(&mut self, action: Action) {
        let world = &mut self.world;
        match action {
            Action::Publish { vm: at, expect } => {
                let view = world.vms[&name(&vm_name(at))].control.as_ref();
                let known = view.map(|row| row.engine.tables().in_force.document.revision);
                world.publish_profiles(&vm_name(at), known.filter(|_| expect));
            }
            Action::Settle { vm: at } => {
                if let Some((token, who)) = world.unsettled() {
                    world.settle(&vm_name(at), token, who);
                }
            }
            Action::Store(mode) => world.platform().mode = mode,
            Action::StoreSlow { delay_millis } => {
                world.platform().delay = Duration::from_millis(delay_millis)
            }
            Action::Drill(drill) => world.drill(drill),
            Action::Skew { vm: at, skew_millis } => {
                world.vms.get_mut(&name(&vm_name(at))).unwrap().skew_millis = skew_millis
            }
            action => panic!("{action:?} does not concern the control threads"),
        }
    }

    fn change_target(&mut self, action: Action) {
        let world = &mut self.world;
        match action {
            Action::Crash((shard, replica)) => world.crash_target(shard, replica),
            Action::Restart((shard, replica)) => world.restart_target(shard, replica),
            Action::Silence((shard, replica)) => world.targets.get(shard, replica).go_silent(),
            Action::Straggle { target: (shard, replica), service_millis } => {
                world.targets.get(shard, replica).service = Duration::from_millis(service_millis);
            }
            Action::Shed { target: (shard, replica), sheds } => {
                world.targets.get(shard, replica).sheds = sheds;
            }
            Action::Drain((shard, replica)) => {
                world.targets.get(shard, replica).status.draining = true;
            }
            Action::ListLeaving((shard, replica)) => {
                // The list does not state the incarnation of a target: shortly after
                // a restart, the entry could mean the previous one.
                if world.now.since(world.targets.get(shard, replica).restarted)
                    < RESTART_KNOWN_LIMIT
                {
                    return;
                }
                world.targets.get(shard, replica).listed = Some(State::Leaving);
                world.publish();
            }
            Action::Reply { target: (shard, replica), fault } => {
                world.targets.get(shard, replica).fault = fault;
            }
            action => panic!("{action:?} does not concern a target"),
        }
    }

    /// Ends every fault.
    fn heal(&mut self, version: u64) {
        let world = &mut self.world;
        world.network.heal();
        world.claims_down = false;
        if let Some(platform) = &mut world.platform {
            platform.mode = Mode::Up;
            platform.delay = 2 * MS;
        }
        let gone: Vec<String> = world
            .vms
            .values()
            .filter(|vm| !vm.alive || vm.listed != Some(State::Live))
            .map(|vm| vm.name.to_string())
            .collect();
        for vm in gone {
            world.replace_vm(&vm);
        }
        for vm in world.vms.values_mut() {
            vm.paused_until = vm.paused_until.min(world.now);
            vm.skew_millis = 0;
        }
        world.change_version(Version(version));
        for shard in 0..SHARD_COUNT {
            for replica in 0..REPLICA_COUNT {
                heal_target(world, shard, replica, version);
            }
        }
    }

    /// Checks that every VM answers searches with all rows.
    fn check_searches(&mut self) {
        let mut calls = BTreeMap::new();
        for at in 0..VM_COUNT {
            self.text_count += 1;
            let text = format!(" for {}", self.text_count);
            calls.insert(self.world.search(&vm_name(at), FULL_COVERAGE, &text), at);
        }
        self.world.run(1100 * MS);
        for (call, at) in calls {
            let found = self.world.found(call);
            assert!(found.missing.is_empty(), "vm-{at} missed {:?}", found.missing);
        }
    }

    /// Checks that every VM runs operations.
    fn check_operations(&mut self) {
        let first_operation = self.operations.len();
        for at in 0..VM_COUNT {
            self.operations.push(u64::MAX / 7 * at as u64);
            self.operate(at, first_operation + at);
        }
        self.world.run(1100 * MS);
        assert!(
            self.world.oracle.open.is_empty() || self.only_lost_requests_are_open(),
            "unanswered"
        );
        for call in self.world.answers.iter().rev().take(VM_COUNT) {
            let done = matches!(call.1.body, Body::Done { replayed: false, .. });
            assert!(done, "{:?} after all faults had ended", call.1.body);
        }
    }

    /// Checks that the last published revision is in force on every VM, and that each
    /// operator was answered unless the VM has restarted.
    fn check_revisions(&self) {
        self.world.check_operators();
        self.world.check_accepted();
        let last = self.world.written().last().map(|record| record.document.revision);
        for vm in self.world.vms.values() {
            let control = vm.control.as_ref().unwrap();
            let own = control.engine.tables().in_force.document.revision;
            assert_eq!(Some(own), last, "the revision in force on {}", vm.name);
        }
        for (id, (who, vm, start)) in &self.world.operators.requests {
            let is_answered = self.world.operators.answers.contains_key(id);
            assert!(is_answered || self.world.vms[vm].start != *start, "{who} got no answer");
        }
    }

    /// Returns whether all open requests were sent to a VM that has ended since.
    fn only_lost_requests_are_open(&self) -> bool {
        self.world.oracle.open.values().all(|request| {
            let vm = &self.world.vms[&request.vm];
            !vm.alive || vm.start != request.start
        })
    }
}

fn heal_target(world: &mut World, shard: u64, replica: u64, version: u64) {
    let is_alive = world.targets.get(shard, replica).alive;
    let target = world.targets.get(shard, replica);
    // VMs may read the list later than the end of the faults.
    let is_leaving = target.leaving.is_some() || target.listed == Some(State::Leaving);
    if !is_alive || is_leaving || world.targets.get(shard, replica).status.draining {
        world.restart_target(shard, replica);
    }
    let target = world.targets.get(shard, replica);
    target.sheds = false;
    target.fault = None;
    target.cold_requests = 0;
    target.service = Duration::from_millis(4);
    target.status.holds = [(Version(version), targets::range_of(shard, SHARD_COUNT))].into();
}

/// Plays the steps to a fleet of whole VMs, as the fuzzing does.
fn play(numbering: Numbering, steps: Vec<Step>) {
    let mut reference = Reference { numbering, ..Reference::new() };
    let mut fleet = WholeVm::init_test(&reference);
    for step in steps {
        reference = reference.apply(&step);
        fleet = fleet.apply(&reference, step);
    }
    WholeVm::teardown(fleet, reference);
}

/// Returns of the platform's service at once, from a copy of this age.
fn drill(open: Open, age: Duration) -> Action {
    Action::Drill(Drill { open, away: Duration::ZERO, age, rewrite: Duration::ZERO })
}

/// Two VMs start after a return of the service, one of them before the service answers.
fn homes_that_start_after_a_return() -> Vec<Step> {
    vec![
        (Action::Store(Mode::Down), 2_220),
        (Action::Start { vm: 1 }, 174_772),
        (drill(Open::Ends, Duration::ZERO), 0),
        (Action::Cut { from: 1, to: 0 }, 4_173_858),
        (Action::Start { vm: 3 }, 10_000_000),
    ]
}

/// A home learns that another VM wrote a bucket while its own write of it is under way.
fn home_told_of_a_write_during_its_own() -> Vec<Step> {
    let search = Action::Search { vm: 0, is_full_coverage: false };
    vec![
        (Action::StoreSlow { delay_millis: 347 }, 0),
        (Action::Store(Mode::Late), 3_000),
        (Action::Operate { vm: 0, subject: 0 }, 2_703),
        (search.clone(), 2_524_038),
        (search.clone(), 187_880),
        (Action::Start { vm: 2 }, 2_985),
        (search, 382_394),
        (Action::Resend { vm: 0, operation: 0 }, 500),
    ]
}

/// Two publications through one VM, of which the service loses the first as it answers it;
/// the second is written in the next era.
fn publications_across_a_return() -> Vec<Step> {
    vec![
        (Action::StoreSlow { delay_millis: 61 }, 0),
        (Action::Publish { vm: 0, expect: false }, 101),
        (Action::Publish { vm: 0, expect: false }, 3_974),
        (Action::HealLinks, 117_925),
        (drill(Open::Outdated, Duration::ZERO), 0),
    ]
}

/// A request that crashes its targets, after a VM left and another lost its connections.
fn poison_after_a_vm_left() -> Vec<Step> {
    let search = |vm| Action::Search { vm, is_full_coverage: false };
    vec![
        (Action::Straggle { target: (1, 1), service_millis: 232 }, 0),
        (Action::Operate { vm: 0, subject: 0 }, 359_244),
        (search(0), 0),
        (Action::Crash((1, 0)), 0),
        (search(0), 0),
        (Action::Leave { vm: 1 }, 24),
        (Action::Settle { vm: 2 }, 191_529),
        (Action::Resend { vm: 2, operation: 0 }, 2_082),
        (search(2), 939),
        (Action::LoseConnections { vm: 3 }, 236_942),
        (Action::Poison { vm: 0 }, 37_211),
    ]
}

/// A target drains while a VM is paused that others reach late, or not at all.
fn drain_during_a_pause() -> Vec<Step> {
    let search = |vm| Action::Search { vm, is_full_coverage: false };
    vec![
        (search(0), 500),
        (Action::Pause { vm: 1, span_millis: 2700 }, 0),
        (Action::Slow { from: 2, to: 1, delay_millis: 94 }, 194_023),
        (Action::Slow { from: 3, to: 1, delay_millis: 86 }, 395_939),
        (search(1), 0),
        (Action::Drain((1, 0)), 0),
        (Action::Cut { from: 0, to: 1 }, 3_030_519),
        (search(0), 0),
    ]
}

/// Publications across a return of the service, of which one gets the next revision before
/// its operator is answered.
fn publication_that_gets_the_next_revision() -> Vec<Step> {
    let publish = |expect| Action::Publish { vm: 0, expect };
    vec![
        (Action::StoreSlow { delay_millis: 5 }, 0),
        (publish(false), 0),
        (Action::Poison { vm: 0 }, 2_771),
        (Action::StoreSlow { delay_millis: 617 }, 0),
        (Action::Slow { from: 1, to: 0, delay_millis: 169 }, 116_042),
        (publish(false), 26_093),
        (Action::Cut { from: 3, to: 1 }, 3_963),
        (publish(false), 2_821),
        (Action::Crash((0, 0)), 112_654),
        (Action::Crash((0, 0)), 0),
        (Action::Skew { vm: 0, skew_millis: -1943 }, 0),
        (drill(Open::Ends, 643 * MS), 0),
        (Action::Crash((0, 0)), 2_538),
        (publish(true), 354_118),
    ]
}

/// Publications across a return of the service, of which one is replaced before its operator
/// is answered, while the history has another one of its revision.
fn publication_beside_another_of_its_revision() -> Vec<Step> {
    let publish = || Action::Publish { vm: 0, expect: false };
    vec![
        (Action::StoreSlow { delay_millis: 5 }, 0),
        (publish(), 0),
        (Action::Poison { vm: 0 }, 2_771),
        (Action::StoreSlow { delay_millis: 674 }, 0),
        (Action::Slow { from: 1, to: 0, delay_millis: 169 }, 116_042),
        (publish(), 54_562),
        (Action::Cut { from: 3, to: 1 }, 3_963),
        (publish(), 2_821),
        (Action::Crash((0, 0)), 112_654),
        (drill(Open::Ends, Duration::from_millis(1288)), 0),
        (Action::Start { vm: 1 }, 3_523_728),
    ]
}

cases! {
    an_operator_whose_revision_was_given_out_twice_is_not_told_of_a_conflict => {
        play(Numbering::Key, publication_beside_another_of_its_revision());
    };
    an_operator_whose_publication_gets_the_next_revision_is_not_told_of_a_conflict => {
        play(Numbering::Key, publication_that_gets_the_next_revision());
    };
    a_target_that_drains_gets_no_late_work_of_a_vm_that_was_paused => {
        play(Numbering::Key, drain_during_a_pause());
    };
    nothing_is_lost_beside_a_suspect_after_a_vm_left => {
        play(Numbering::Key, poison_after_a_vm_left());
    };
    targets_that_the_list_calls_leaving_when_the_faults_end_are_replaced => {
        let leaving = |replica| Action::ListLeaving((0, replica));
        let kill = Action::Kill { vm: 0, noticed: false };
        let steps = vec![(leaving(1), 0), (kill, 254_109), (leaving(0), 0), (leaving(2), 0)];
        play(Numbering::Key, steps);
    };
    publications_across_the_return_of_the_store_get_no_revision_twice => {
        play(Numbering::Key, publications_across_a_return());
    };
    a_home_that_is_told_of_a_write_during_its_own_does_not_spin => {
        play(Numbering::Key, home_told_of_a_write_during_its_own());
    };
    new_keys_are_granted_by_homes_that_start_after_the_return_of_the_store => {
        play(Numbering::Key, homes_that_start_after_a_return());
    };
    traffic_keeps_the_promises_on_seed_1 => runner::run_cases::<Traffic>(1, 150);
    traffic_keeps_the_promises_on_seed_2 => runner::run_cases::<Traffic>(2, 150);
    traffic_keeps_the_promises_on_seed_3 => runner::run_cases::<Traffic>(3, 150);
    whole_vms_keep_the_promises_on_seed_1 => runner::run_cases::<WholeVm>(1, 50);
    whole_vms_keep_the_promises_on_seed_2 => runner::run_cases::<WholeVm>(2, 50);
    whole_vms_keep_the_promises_on_seed_3 => runner::run_cases::<WholeVm>(3, 50);
    whole_vms_keep_the_promises_on_new_seeds_when_asked_for => runner::run_from_env::<WholeVm>();
    traffic_keeps_the_promises_on_new_seeds_when_asked_for => runner::run_from_env::<Traffic>();
}
