//! Several VMs under any faults.

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{
    target::Version,
    traffic::{Body, Call},
    view::State,
};
use proptest_state_machine::StateMachineTest;

use crate::{
    reference::{self, Act, REPLICAS, Reference, SHARDS, Step, VMS},
    runner,
    world::{ANY_COVERAGE, FULL_COVERAGE, World, name, platform::Mode, targets},
};

const MS: Duration = Duration::from_millis(1);

/// The time within which every request is answered whole after the last fault.
const SETTLE: Duration = Duration::from_secs(4);

/// As [`SETTLE`], with the control threads: they have to find each other again.
const SETTLE_WHOLE: Duration = Duration::from_secs(10);

/// The time within which every VM knows that a target has started again.
const KNOWN: Duration = Duration::from_secs(3);

/// The time within which every VM knows which requests are held back.
const SPREAD: Duration = Duration::from_millis(500);

/// The text that crashes the targets of one shard.
const POISON: &str = "poison";

/// The shard whose targets the text crashes.
const POISONED: u64 = 1;

/// The deployment and what was sent to it.
pub struct Fleet {
    pub world: World,
    texts: u64,
    poison: Option<Call>,
    operations: Vec<u64>,
}

fn vm(number: usize) -> String {
    format!("vm-{}", number + 1)
}

/// A test of the traffic threads.
pub struct Traffic;

/// A test of whole VMs.
pub struct Whole;

impl StateMachineTest for Traffic {
    type SystemUnderTest = Fleet;
    type Reference = reference::Traffic;

    fn init_test(_: &Reference) -> Fleet {
        let mut world = World::new(VMS, SHARDS, REPLICAS);
        world.shares_suspects = true;
        world.exits_when_idle = true;
        Fleet::new(world)
    }

    fn apply(fleet: Fleet, reference: &Reference, step: Step) -> Fleet {
        fleet.apply(reference, step)
    }

    fn teardown(mut fleet: Fleet, reference: Reference) {
        fleet.heal(reference.version);
        fleet.world.run(SETTLE);
        fleet.check_liveness();
    }
}

impl StateMachineTest for Whole {
    type SystemUnderTest = Fleet;
    type Reference = reference::Whole;

    fn init_test(_: &Reference) -> Fleet {
        Fleet::new(World::with_control(VMS, SHARDS, REPLICAS))
    }

    fn apply(fleet: Fleet, reference: &Reference, step: Step) -> Fleet {
        fleet.apply(reference, step)
    }

    fn teardown(mut fleet: Fleet, reference: Reference) {
        fleet.heal(reference.version);
        fleet.world.run(SETTLE_WHOLE);
        fleet.check_liveness();
        fleet.check_revisions();
    }
}

impl Fleet {
    fn new(mut world: World) -> Fleet {
        for replica in 0..REPLICAS {
            world.targets.get(POISONED, replica).poison = Some(POISON.to_owned());
        }
        Fleet { world, texts: 0, poison: None, operations: Vec::new() }
    }

    fn apply(mut self, reference: &Reference, (act, gap): Step) -> Fleet {
        self.act(act, reference);
        self.world.run(Duration::from_micros(gap));
        self
    }

    fn act(&mut self, act: Act, reference: &Reference) {
        let world = &mut self.world;
        match act {
            Act::Search { vm: at, whole } => {
                self.texts += 1;
                let text = format!(" for {}", self.texts);
                world.search(&vm(at), if whole { FULL_COVERAGE } else { ANY_COVERAGE }, &text);
            }
            Act::Operate { vm: at, subject } => {
                self.operations.push(subject);
                self.operate(at, self.operations.len() - 1);
            }
            Act::Resend { vm: at, operation } => {
                // Shrinking may have taken the operation away.
                if operation < self.operations.len() {
                    self.operate(at, operation);
                }
            }
            Act::Poison { vm: at } => {
                // Its caller sends it again once it was answered.
                let is_over = self.poison.is_none_or(|call| world.answers.contains_key(&call));
                if is_over && world.is_stable() {
                    self.poison = Some(world.search(&vm(at), ANY_COVERAGE, POISON));
                }
            }
            Act::Kill { .. }
            | Act::Start { .. }
            | Act::Pause { .. }
            | Act::Leave { .. }
            | Act::Cut { .. }
            | Act::Slow { .. }
            | Act::Break { .. }
            | Act::Mend => self.change_vm(&act),
            Act::NextVersion => world.change_version(Version(reference.version)),
            Act::LoadVersion((shard, replica)) => {
                let held = &mut world.targets.get(shard, replica).status.holds;
                if let Some(range) = held.values().next_back().copied() {
                    held.insert(Version(reference.version), range);
                }
            }
            Act::Repartition { one, two } => world.swap_shards(one, two),
            Act::Claims { down } => world.claims_down = down,
            Act::Publish { .. }
            | Act::Settle { .. }
            | Act::Store(_)
            | Act::StoreSlow { .. }
            | Act::Skew { .. } => self.change_control(act),
            act => self.change_target(act),
        }
    }

    fn operate(&mut self, at: usize, operation: usize) {
        let subject = self.operations[operation];
        let detail = format!("operation {operation}");
        self.world.operate(&vm(at), operation as u128 + 1, subject, &detail);
    }

    fn change_vm(&mut self, act: &Act) {
        let world = &mut self.world;
        if let Some(call) = self.poison {
            // What a home learns of a request that crashes targets is lost with
            // it unless it was told to others; see docs/PROOF.md.
            world.run_until(2000 * MS, |world| world.answers.contains_key(&call));
            world.run(SPREAD);
        }
        match *act {
            Act::Kill { vm: at, noticed } => {
                world.kill_vm(&vm(at));
                if noticed {
                    world.report_lost_lane(&name(&vm(at)));
                }
            }
            Act::Start { vm: at } => {
                world.replace_vm(&vm(at));
            }
            Act::Pause { vm: at, span } => world.pause_vm(&vm(at), Duration::from_millis(span)),
            Act::Leave { vm: at } => world.leave_vm(&vm(at)),
            Act::Cut { from, to } => world.network.cut(&name(&vm(from)), &name(&vm(to))),
            Act::Slow { from, to, by } => {
                let by = Duration::from_millis(by);
                world.network.slow(&name(&vm(from)), &name(&vm(to)), by);
            }
            Act::Break { vm: at } => world.report_lost_lane(&name(&vm(at))),
            _ => world.network.heal(),
        }
    }

    fn change_control(&mut self, act: Act) {
        let world = &mut self.world;
        match act {
            Act::Publish { vm: at, expect } => {
                let view = world.vms[&name(&vm(at))].control.as_ref();
                let known = view.map(|row| row.engine.tables().in_force.document.revision);
                world.publish_profiles(&vm(at), known.filter(|_| expect));
            }
            Act::Settle { vm: at } => {
                if let Some((token, who)) = world.unsettled() {
                    world.settle(&vm(at), token, who);
                }
            }
            Act::Store(mode) => world.platform().mode = mode,
            Act::StoreSlow { by } => world.platform().delay = Duration::from_millis(by),
            Act::Skew { vm: at, by } => world.vms.get_mut(&name(&vm(at))).unwrap().skew_millis = by,
            act => panic!("{act:?} does not concern the control threads"),
        }
    }

    fn change_target(&mut self, act: Act) {
        let world = &mut self.world;
        match act {
            Act::Crash((shard, replica)) => world.crash_target(shard, replica),
            Act::Restart((shard, replica)) => world.restart_target(shard, replica),
            Act::Silence((shard, replica)) => world.targets.get(shard, replica).go_silent(),
            Act::Straggle { target: (shard, replica), span } => {
                world.targets.get(shard, replica).service = Duration::from_millis(span);
            }
            Act::Shed { target: (shard, replica), sheds } => {
                world.targets.get(shard, replica).sheds = sheds;
            }
            Act::Drain((shard, replica)) => {
                world.targets.get(shard, replica).status.draining = true;
            }
            Act::ListLeaving((shard, replica)) => {
                // The list does not tell the start of a target that it means.
                if world.now.since(world.targets.get(shard, replica).restarted) < KNOWN {
                    return;
                }
                world.targets.get(shard, replica).listed = Some(State::Leaving);
                world.publish();
            }
            Act::Reply { target: (shard, replica), fault } => {
                world.targets.get(shard, replica).fault = fault;
            }
            act => panic!("{act:?} does not concern a target"),
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
        for shard in 0..SHARDS {
            for replica in 0..REPLICAS {
                heal_target(world, shard, replica, version);
            }
        }
    }

    fn check_liveness(&mut self) {
        let mut calls = BTreeMap::new();
        for at in 0..VMS {
            self.texts += 1;
            let text = format!(" for {}", self.texts);
            calls.insert(self.world.search(&vm(at), FULL_COVERAGE, &text), at);
        }
        let first = self.operations.len();
        for at in 0..VMS {
            self.operations.push(u64::MAX / 7 * at as u64);
            self.operate(at, first + at);
        }
        self.world.run(1100 * MS);
        for (call, at) in calls {
            let found = self.world.found(call);
            assert!(found.missing.is_empty(), "vm-{at} missed {:?}", found.missing);
        }
        assert!(self.world.oracle.open.is_empty() || self.only_dead_wait(), "unanswered");
        for call in self.world.answers.iter().rev().take(VMS) {
            let done = matches!(call.1.body, Body::Done { replayed: false, .. });
            assert!(done, "{:?} after all faults had ended", call.1.body);
        }
    }

    /// Every VM has the revision that was published last.
    fn check_revisions(&self) {
        self.world.check_operators();
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

    fn only_dead_wait(&self) -> bool {
        self.world.oracle.open.values().all(|request| {
            let vm = &self.world.vms[&request.vm];
            !vm.alive || vm.start != request.start
        })
    }
}

fn heal_target(world: &mut World, shard: u64, replica: u64, version: u64) {
    let is_alive = world.targets.get(shard, replica).alive;
    let is_leaving = world.targets.get(shard, replica).leaving.is_some();
    if !is_alive || is_leaving || world.targets.get(shard, replica).status.draining {
        world.restart_target(shard, replica);
    }
    let target = world.targets.get(shard, replica);
    target.sheds = false;
    target.fault = None;
    target.cold_requests = 0;
    target.service = Duration::from_millis(4);
    target.status.holds = [(Version(version), targets::range_of(shard, SHARDS))].into();
}

cases! {
    traffic_keeps_the_promises_on_seed_1 => runner::run::<Traffic>(1, 150);
    traffic_keeps_the_promises_on_seed_2 => runner::run::<Traffic>(2, 150);
    traffic_keeps_the_promises_on_seed_3 => runner::run::<Traffic>(3, 150);
    whole_vms_keep_the_promises_on_seed_1 => runner::run::<Whole>(1, 50);
    whole_vms_keep_the_promises_on_seed_2 => runner::run::<Whole>(2, 50);
    whole_vms_keep_the_promises_on_seed_3 => runner::run::<Whole>(3, 50);
    whole_vms_keep_the_promises_on_new_seeds_when_asked_for => runner::run_longer::<Whole>();
    traffic_keeps_the_promises_on_new_seeds_when_asked_for => runner::run_longer::<Traffic>();
}
