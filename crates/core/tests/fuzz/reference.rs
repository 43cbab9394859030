//! The reference state machine: what was sent and which faults are on.

use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;

use crate::world::{platform::Mode, targets::Fault};

/// The number of VMs.
pub const VMS: usize = 4;

/// The number of shards.
pub const SHARDS: u64 = 3;

/// The number of replicas of each shard.
pub const REPLICAS: u64 = 3;

/// The longest time between two steps, in microseconds.
const LONG_GAP: u64 = 400_000;

/// A gap within which the platform's list and the membership change, in
/// microseconds.
const LONGEST_GAP: u64 = 5_000_000;

/// A gap within which a request moves by a step or two, in microseconds.
const SHORT_GAP: u64 = 4_000;

/// A target by shard and replica.
pub type Target = (u64, u64);

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Act {
    /// A caller searches.
    Search { vm: usize, whole: bool },
    /// A caller sends a new operation.
    Operate { vm: usize, subject: u64 },
    /// A caller sends an earlier operation again.
    Resend { vm: usize, operation: usize },
    /// A caller sends the request that crashes the targets of one shard.
    Poison { vm: usize },
    /// A VM ends; others may or may not notice their lost connections at once.
    Kill { vm: usize, noticed: bool },
    /// A VM starts, in place of the old one if that still runs.
    Start { vm: usize },
    /// A VM is stopped for some milliseconds.
    Pause { vm: usize, span: u64 },
    /// A VM shuts down.
    Leave { vm: usize },
    /// Nothing passes from one VM to another.
    Cut { from: usize, to: usize },
    /// Messages from one VM to another take some milliseconds.
    Slow { from: usize, to: usize, by: u64 },
    /// Connections to a VM break.
    Break { vm: usize },
    /// Every way between VMs is whole again.
    Mend,
    /// A target ends.
    Crash(Target),
    /// A target starts, cold.
    Restart(Target),
    /// The connections of a target go silent.
    Silence(Target),
    /// A target takes some milliseconds for a request.
    Straggle { target: Target, span: u64 },
    /// A target sheds all work, or takes it again.
    Shed { target: Target, sheds: bool },
    /// A target says that it is leaving.
    Drain(Target),
    /// The list says that a target is leaving.
    ListLeaving(Target),
    /// A target's replies are wrong, or right again.
    Reply { target: Target, fault: Option<Fault> },
    /// Every target moves to the next version.
    NextVersion,
    /// One target takes the next version beside what it holds.
    LoadVersion(Target),
    /// Two shards change their ranges.
    Repartition { one: u64, two: u64 },
    /// Claims are answered or not.
    Claims { down: bool },
    /// An operator publishes, as a replacement of what the VM knows or not.
    Publish { vm: usize, expect: bool },
    /// An operator asks what became of a publication.
    Settle { vm: usize },
    /// The platform's service answers in another way.
    Store(Mode),
    /// The platform's service takes some milliseconds.
    StoreSlow { by: u64 },
    /// The clock of a VM is off by some milliseconds.
    Skew { vm: usize, by: i64 },
}

/// An act and the time that passes after it, in microseconds.
pub type Step = (Act, u64);

/// What was sent and which faults are on.
#[derive(Clone, Debug)]
pub struct Reference {
    /// Whether each VM takes requests.
    pub serving: Vec<bool>,
    /// The operations that were sent, by their subjects.
    pub operations: Vec<u64>,
    /// The newest version that a target holds.
    pub version: u64,
}

/// Steps of traffic threads, with a stand-in for the control threads.
#[derive(Debug)]
pub struct Traffic;

/// Steps of whole VMs.
#[derive(Debug)]
pub struct Whole;

impl ReferenceStateMachine for Traffic {
    type State = Reference;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference::new()).boxed()
    }

    fn transitions(state: &Reference) -> BoxedStrategy<Step> {
        let gap = prop_oneof![4 => 0..SHORT_GAP, 3 => 0..LONG_GAP];
        let claims = any::<bool>().prop_map(|down| Act::Claims { down });
        (prop_oneof![30 => act(state), 1 => claims], gap).boxed()
    }

    fn apply(state: Reference, step: &Step) -> Reference {
        state.apply(step)
    }

    fn preconditions(state: &Reference, step: &Step) -> bool {
        state.allows(step)
    }
}

impl ReferenceStateMachine for Whole {
    type State = Reference;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Reference> {
        Just(Reference::new()).boxed()
    }

    fn transitions(state: &Reference) -> BoxedStrategy<Step> {
        let gap = prop_oneof![4 => 0..SHORT_GAP, 3 => 0..LONG_GAP, 1 => 0..LONGEST_GAP];
        (prop_oneof![3 => act(state), 1 => of_control()], gap).boxed()
    }

    fn apply(state: Reference, step: &Step) -> Reference {
        state.apply(step)
    }

    fn preconditions(state: &Reference, step: &Step) -> bool {
        state.allows(step)
    }
}

fn act(state: &Reference) -> BoxedStrategy<Act> {
    let operations = state.operations.len();
    prop_oneof![10 => request(operations), 4 => of_vm(), 6 => of_target(), 2 => of_index()].boxed()
}

impl Reference {
    fn new() -> Reference {
        Reference { serving: vec![true; VMS], operations: Vec::new(), version: 1 }
    }

    fn apply(mut self, (act, _): &Step) -> Reference {
        match act {
            Act::Operate { subject, .. } => self.operations.push(*subject),
            Act::Kill { vm, .. } | Act::Leave { vm } => self.serving[*vm] = false,
            Act::Start { vm } => self.serving[*vm] = true,
            Act::NextVersion | Act::LoadVersion(_) => self.version += 1,
            _ => {}
        }
        self
    }

    fn allows(&self, (act, _): &Step) -> bool {
        match act {
            Act::Search { vm, .. } | Act::Operate { vm, .. } | Act::Poison { vm } => {
                self.serving[*vm]
            }
            Act::Resend { vm, operation } => {
                self.serving[*vm] && *operation < self.operations.len()
            }
            Act::Kill { vm, .. } | Act::Leave { vm } => {
                self.serving[*vm] && self.serving.iter().filter(|serves| **serves).count() > 1
            }
            Act::Pause { vm, .. } | Act::Publish { vm, .. } | Act::Settle { vm } => {
                self.serving[*vm]
            }
            Act::Cut { from, to } | Act::Slow { from, to, .. } => from != to,
            Act::Repartition { one, two } => one != two,
            _ => true,
        }
    }
}

fn request(operations: usize) -> BoxedStrategy<Act> {
    let vm = 0..VMS;
    let again = 0..operations.max(1);
    prop_oneof![
        5 => (vm.clone(), any::<bool>()).prop_map(|(vm, whole)| Act::Search { vm, whole }),
        3 => (vm.clone(), any::<u64>()).prop_map(|(vm, subject)| Act::Operate { vm, subject }),
        3 => (vm.clone(), again).prop_map(|(vm, operation)| Act::Resend { vm, operation }),
        1 => vm.prop_map(|vm| Act::Poison { vm }),
    ]
    .boxed()
}

fn of_vm() -> BoxedStrategy<Act> {
    let vm = 0..VMS;
    let pair = (0..VMS, 0..VMS);
    let span = prop_oneof![3 => 1..300u64, 1 => 300..6000u64];
    prop_oneof![
        2 => (vm.clone(), any::<bool>()).prop_map(|(vm, noticed)| Act::Kill { vm, noticed }),
        3 => vm.clone().prop_map(|vm| Act::Start { vm }),
        3 => (vm.clone(), span).prop_map(|(vm, span)| Act::Pause { vm, span }),
        1 => vm.clone().prop_map(|vm| Act::Leave { vm }),
        3 => pair.clone().prop_map(|(from, to)| Act::Cut { from, to }),
        1 => (pair, 1..400u64).prop_map(|((from, to), by)| Act::Slow { from, to, by }),
        2 => vm.prop_map(|vm| Act::Break { vm }),
        2 => Just(Act::Mend),
    ]
    .boxed()
}

fn of_target() -> BoxedStrategy<Act> {
    let target = (0..SHARDS, 0..REPLICAS);
    let fault = prop_oneof![
        3 => Just(None),
        1 => Just(Some(Fault::Cut)),
        1 => Just(Some(Fault::Doubled)),
        1 => Just(Some(Fault::Crossed)),
        1 => Just(Some(Fault::WrongVersion)),
        1 => Just(Some(Fault::Outside)),
    ];
    prop_oneof![
        3 => target.clone().prop_map(Act::Crash),
        3 => target.clone().prop_map(Act::Restart),
        2 => target.clone().prop_map(Act::Silence),
        2 => (target.clone(), 1..1500u64)
            .prop_map(|(target, span)| Act::Straggle { target, span }),
        2 => (target.clone(), any::<bool>())
            .prop_map(|(target, sheds)| Act::Shed { target, sheds }),
        2 => target.clone().prop_map(Act::Drain),
        1 => target.clone().prop_map(Act::ListLeaving),
        3 => (target, fault).prop_map(|(target, fault)| Act::Reply { target, fault }),
    ]
    .boxed()
}

fn of_index() -> BoxedStrategy<Act> {
    let target = (0..SHARDS, 0..REPLICAS);
    prop_oneof![
        2 => Just(Act::NextVersion),
        3 => target.prop_map(Act::LoadVersion),
        3 => (0..SHARDS, 0..SHARDS).prop_map(|(one, two)| Act::Repartition { one, two }),
    ]
    .boxed()
}

fn of_control() -> BoxedStrategy<Act> {
    let vm = 0..VMS;
    let mode = prop_oneof![
        4 => Just(Mode::Up),
        1 => Just(Mode::Down),
        1 => Just(Mode::Refusing),
        2 => Just(Mode::ReplyLost),
        2 => Just(Mode::Late),
    ];
    prop_oneof![
        3 => (vm.clone(), any::<bool>()).prop_map(|(vm, expect)| Act::Publish { vm, expect }),
        1 => vm.clone().prop_map(|vm| Act::Settle { vm }),
        4 => mode.prop_map(Act::Store),
        1 => (2..900u64).prop_map(|by| Act::StoreSlow { by }),
        1 => (vm, -4000..4000i64).prop_map(|(vm, by)| Act::Skew { vm, by }),
    ]
    .boxed()
}
