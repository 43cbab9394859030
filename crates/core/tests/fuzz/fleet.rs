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
    world::{ANY_COVERAGE, FULL_COVERAGE, World, name, platform::Mode, targets},
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

cases! {
    traffic_keeps_the_promises_on_seed_1 => runner::run_cases::<Traffic>(1, 150);
    traffic_keeps_the_promises_on_seed_2 => runner::run_cases::<Traffic>(2, 150);
    traffic_keeps_the_promises_on_seed_3 => runner::run_cases::<Traffic>(3, 150);
    whole_vms_keep_the_promises_on_seed_1 => runner::run_cases::<WholeVm>(1, 50);
    whole_vms_keep_the_promises_on_seed_2 => runner::run_cases::<WholeVm>(2, 50);
    whole_vms_keep_the_promises_on_seed_3 => runner::run_cases::<WholeVm>(3, 50);
    whole_vms_keep_the_promises_on_new_seeds_when_asked_for => runner::run_from_env::<WholeVm>();
    traffic_keeps_the_promises_on_new_seeds_when_asked_for => runner::run_from_env::<Traffic>();
}
