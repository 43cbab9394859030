//! The reference state machine, which generates the steps.

use std::time::Duration;

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use crate::world::{
    platform::{Drill, Mode, Numbering, Open},
    targets::Fault,
};

pub const VM_COUNT: usize = 4;

pub const SHARD_COUNT: u64 = 3;

/// The number of replicas of each shard.
pub const REPLICA_COUNT: u64 = 3;

/// The upper bound of a long gap between steps.
const LONG_GAP_MICROS: u64 = 400_000;

/// The upper bound of a gap between steps in which the platform's list and the
/// membership may change.
const LONGEST_GAP_MICROS: u64 = 5_000_000;

/// The upper bound of a gap between steps in which a request advances by one or two
/// of its own steps.
const SHORT_GAP_MICROS: u64 = 4_000;

/// A target, identified by its shard and replica.
pub type Target = (u64, u64);

/// A request, a fault or the end of a fault.
#[derive(Clone, Debug)]
pub enum Action {
    /// A caller sends a search for the whole index or for any part of it.
    Search { vm: usize, is_full_coverage: bool },
    /// A caller sends a new operation.
    Operate { vm: usize, subject: u64 },
    /// A caller sends an earlier operation again.
    Resend { vm: usize, operation: usize },
    /// A caller sends the request that crashes the targets of one shard.
    Poison { vm: usize },
    /// A VM is killed; the others may or may not notice the lost connections at
    /// once.
    Kill { vm: usize, noticed: bool },
    /// A VM starts and replaces the old one if that still runs.
    Start { vm: usize },
    /// A VM is paused.
    Pause { vm: usize, span_millis: u64 },
    /// A VM shuts down.
    Leave { vm: usize },
    /// The link from one VM to another is cut, in this direction only.
    Cut { from: usize, to: usize },
    /// The link from one VM to another gets a delay.
    Slow { from: usize, to: usize, delay_millis: u64 },
    /// The connections of the other VMs to a VM are lost.
    LoseConnections { vm: usize },
    /// The faults of all links end.
    HealLinks,
    /// A target crashes.
    Crash(Target),
    /// A target restarts with a cold cache.
    Restart(Target),
    /// A target stops responding on its open connections.
    Silence(Target),
    /// The service time of a target changes.
    Straggle { target: Target, service_millis: u64 },
    /// A target starts or stops shedding all work.
    Shed { target: Target, sheds: bool },
    /// A target reports that it is leaving.
    Drain(Target),
    /// The list states that a target is leaving.
    ListLeaving(Target),
    /// A fault in the replies of a target starts or ends.
    Reply { target: Target, fault: Option<Fault> },
    /// Every target replaces its version by the next one.
    NextVersion,
    /// One target loads the next version and keeps those that it holds.
    LoadVersion(Target),
    /// Two shards exchange their ranges.
    Repartition { one: u64, two: u64 },
    /// Claims stop or resume being answered.
    Claims { down: bool },
    /// An operator publishes profiles, with or without the VM's revision as the
    /// expected one.
    Publish { vm: usize, expect: bool },
    /// An operator asks for the outcome of a publication.
    Settle { vm: usize },
    /// The platform's service changes how it answers.
    Store(Mode),
    /// The delay of the platform's service changes.
    StoreSlow { delay_millis: u64 },
    /// The platform's service goes away and comes back from an older copy.
    Drill(Drill),
    /// The wall clock of a VM changes its skew.
    Skew { vm: usize, skew_millis: i64 },
}

/// An action and the time in microseconds that passes after it.
pub type Step = (Action, u64);

/// The state on which the possible steps depend.
#[derive(Clone, Debug)]
pub struct Reference {
    /// Whether each VM accepts requests.
    pub serving: Vec<bool>,
    /// The subjects of the operations so far.
    pub operations: Vec<u64>,
    /// The newest version of the index.
    pub version: u64,
    /// How the platform's service numbers the versions of its keys.
    pub numbering: Numbering,
}

/// Steps for VMs with traffic threads only.
#[derive(Debug)]
pub struct Traffic;

/// Steps for VMs with traffic and control threads.
#[derive(Debug)]
pub struct WholeVm;

impl ReferenceStateMachine for Traffic {
    type State = Reference;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference::new()).boxed()
    }

    fn transitions(state: &Reference) -> BoxedStrategy<Step> {
        let gap = prop_oneof![4 => 0..SHORT_GAP_MICROS, 3 => 0..LONG_GAP_MICROS];
        let claims = any::<bool>().prop_map(|down| Action::Claims { down });
        (prop_oneof![30 => any_action(state), 1 => claims], gap).boxed()
    }

    fn apply(state: Reference, step: &Step) -> Reference {
        state.apply(step)
    }

    fn preconditions(state: &Reference, step: &Step) -> bool {
        state.allows(step)
    }
}

impl ReferenceStateMachine for WholeVm {
    type State = Reference;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Reference> {
        let numbering = prop_oneof![Just(Numbering::Key), Just(Numbering::Change)];
        numbering.prop_map(|numbering| Reference { numbering, ..Reference::new() }).boxed()
    }

    fn transitions(state: &Reference) -> BoxedStrategy<Step> {
        let gap = prop_oneof![
            4 => 0..SHORT_GAP_MICROS,
            3 => 0..LONG_GAP_MICROS,
            1 => 0..LONGEST_GAP_MICROS,
        ];
        (prop_oneof![3 => any_action(state), 1 => control_action()], gap).boxed()
    }

    fn apply(state: Reference, step: &Step) -> Reference {
        state.apply(step)
    }

    fn preconditions(state: &Reference, step: &Step) -> bool {
        state.allows(step)
    }
}

fn any_action(state: &Reference) -> BoxedStrategy<Action> {
    let operations = state.operations.len();
    prop_oneof![
        10 => request_action(operations),
        4 => vm_action(),
        6 => target_action(),
        2 => index_action(),
    ]
    .boxed()
}

impl Reference {
    /// The state before the first step.
    pub fn new() -> Reference {
        Reference {
            serving: vec![true; VM_COUNT],
            operations: Vec::new(),
            version: 1,
            numbering: Numbering::Key,
        }
    }

    /// The state after a step.
    pub fn apply(mut self, (action, _): &Step) -> Reference {
        match action {
            Action::Operate { subject, .. } => self.operations.push(*subject),
            Action::Kill { vm, .. } | Action::Leave { vm } => self.serving[*vm] = false,
            Action::Start { vm } => self.serving[*vm] = true,
            Action::NextVersion | Action::LoadVersion(_) => self.version += 1,
            _ => {}
        }
        self
    }

    fn allows(&self, (action, _): &Step) -> bool {
        match action {
            Action::Search { vm, .. } | Action::Operate { vm, .. } | Action::Poison { vm } => {
                self.serving[*vm]
            }
            Action::Resend { vm, operation } => {
                self.serving[*vm] && *operation < self.operations.len()
            }
            Action::Kill { vm, .. } | Action::Leave { vm } => {
                self.serving[*vm] && self.serving.iter().filter(|serves| **serves).count() > 1
            }
            Action::Pause { vm, .. } | Action::Publish { vm, .. } | Action::Settle { vm } => {
                self.serving[*vm]
            }
            Action::Cut { from, to } | Action::Slow { from, to, .. } => from != to,
            Action::Repartition { one, two } => one != two,
            _ => true,
        }
    }
}

fn request_action(operations: usize) -> BoxedStrategy<Action> {
    let vm = 0..VM_COUNT;
    let resent = 0..operations.max(1);
    prop_oneof![
        5 => (vm.clone(), any::<bool>())
            .prop_map(|(vm, is_full_coverage)| Action::Search { vm, is_full_coverage }),
        3 => (vm.clone(), any::<u64>()).prop_map(|(vm, subject)| Action::Operate { vm, subject }),
        3 => (vm.clone(), resent).prop_map(|(vm, operation)| Action::Resend { vm, operation }),
        1 => vm.prop_map(|vm| Action::Poison { vm }),
    ]
    .boxed()
}

fn vm_action() -> BoxedStrategy<Action> {
    let vm = 0..VM_COUNT;
    let pair = (0..VM_COUNT, 0..VM_COUNT);
    let span_millis = prop_oneof![3 => 1..300u64, 1 => 300..6000u64];
    prop_oneof![
        2 => (vm.clone(), any::<bool>()).prop_map(|(vm, noticed)| Action::Kill { vm, noticed }),
        3 => vm.clone().prop_map(|vm| Action::Start { vm }),
        3 => (vm.clone(), span_millis)
            .prop_map(|(vm, span_millis)| Action::Pause { vm, span_millis }),
        1 => vm.clone().prop_map(|vm| Action::Leave { vm }),
        3 => pair.clone().prop_map(|(from, to)| Action::Cut { from, to }),
        1 => (pair, 1..400u64)
            .prop_map(|((from, to), delay_millis)| Action::Slow { from, to, delay_millis }),
        2 => vm.prop_map(|vm| Action::LoseConnections { vm }),
        2 => Just(Action::HealLinks),
    ]
    .boxed()
}

fn target_action() -> BoxedStrategy<Action> {
    let target = (0..SHARD_COUNT, 0..REPLICA_COUNT);
    let fault = prop_oneof![
        3 => Just(None),
        1 => Just(Some(Fault::Cut)),
        1 => Just(Some(Fault::Doubled)),
        1 => Just(Some(Fault::Crossed)),
        1 => Just(Some(Fault::WrongVersion)),
        1 => Just(Some(Fault::Outside)),
    ];
    prop_oneof![
        3 => target.clone().prop_map(Action::Crash),
        3 => target.clone().prop_map(Action::Restart),
        2 => target.clone().prop_map(Action::Silence),
        2 => (target.clone(), 1..1500u64)
            .prop_map(|(target, service_millis)| Action::Straggle { target, service_millis }),
        2 => (target.clone(), any::<bool>())
            .prop_map(|(target, sheds)| Action::Shed { target, sheds }),
        2 => target.clone().prop_map(Action::Drain),
        1 => target.clone().prop_map(Action::ListLeaving),
        3 => (target, fault).prop_map(|(target, fault)| Action::Reply { target, fault }),
    ]
    .boxed()
}

fn index_action() -> BoxedStrategy<Action> {
    let target = (0..SHARD_COUNT, 0..REPLICA_COUNT);
    prop_oneof![
        2 => Just(Action::NextVersion),
        3 => target.prop_map(Action::LoadVersion),
        3 => (0..SHARD_COUNT, 0..SHARD_COUNT)
            .prop_map(|(one, two)| Action::Repartition { one, two }),
    ]
    .boxed()
}

fn control_action() -> BoxedStrategy<Action> {
    let vm = 0..VM_COUNT;
    let mode = prop_oneof![
        4 => Just(Mode::Up),
        1 => Just(Mode::Down),
        1 => Just(Mode::Refusing),
        2 => Just(Mode::ReplyLost),
        2 => Just(Mode::Late),
    ];
    prop_oneof![
        3 => (vm.clone(), any::<bool>()).prop_map(|(vm, expect)| Action::Publish { vm, expect }),
        1 => vm.clone().prop_map(|vm| Action::Settle { vm }),
        4 => mode.prop_map(Action::Store),
        1 => (2..900u64).prop_map(|delay_millis| Action::StoreSlow { delay_millis }),
        2 => drill().prop_map(Action::Drill),
        1 => (vm, -4000..4000i64).prop_map(|(vm, skew_millis)| Action::Skew { vm, skew_millis }),
    ]
    .boxed()
}

fn drill() -> impl Strategy<Value = Drill> {
    let open = prop_oneof![Just(Open::Ends), Just(Open::Silent), Just(Open::Outdated)];
    let away_millis = prop_oneof![1 => Just(0), 2 => 1..1500u64];
    let age_millis = prop_oneof![1 => 0..500u64, 2 => 500..10_000u64];
    (open, away_millis, age_millis, 0..5000u64).prop_map(|(open, away, age, rewrite)| Drill {
        open,
        away: Duration::from_millis(away),
        age: Duration::from_millis(age),
        rewrite: Duration::from_millis(rewrite),
    })
}
