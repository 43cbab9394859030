//! Stateful fuzzing of several engines against the oracle.
//!
//! The seed is fixed, so that every run gives the same result. If
//! `CLAIMS_FUZZ_CASES` is set, it gives the number of cases and the seed is
//! random.

use std::time::Duration;

use laburnum_core::{
    claim::Key,
    claims::{Limits, layout::FLOOR_KEY},
    store::Era,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use crate::{
    store::{Handling, Mode, Values},
    world::{Network, Plan, World},
};

const VMS: usize = 4;
/// How long claims are kept; short, so that a case can outlast it.
const WINDOW: Duration = Duration::from_secs(4);
const DEFAULT_CASES: u32 = 400;
const SEED: u64 = 20_261_204;
const MAX_TRANSITIONS: usize = 60;
/// The store counts its eras anew if it comes back at a multiple of so many microseconds.
const ANEW_EVERY: u64 = 2;
/// The era at the start. Each new count starts lower, at an era that was not stated before.
const START_ERA: Era = Era(1_000_000);
/// The number of eras for each count.
const ERAS_PER_COUNT: u64 = 1_000;

/// One transition: an action of a caller, the passing of time, or a fault that
/// begins or ends.
#[derive(Clone, Debug)]
enum Transition {
    /// A caller sends an operation with a new key.
    Operate {
        vm: usize,
        remaining: u64,
        plan: Plan,
    },
    /// A caller sends the operation of an earlier key again.
    Resend {
        vm: usize,
        key: usize,
        remaining: u64,
        plan: Plan,
    },
    /// Time passes.
    Run {
        micros: u64,
    },
    /// Time passes until all earlier claims have expired.
    PassWindow,
    Pause {
        vm: usize,
    },
    Resume {
        vm: usize,
    },
    Replace {
        vm: usize,
    },
    Store {
        mode: Mode,
    },
    NextWrite {
        handling: Handling,
    },
    NextRead {
        handling: Handling,
    },
    Split {
        a: usize,
        b: usize,
    },
    Cut {
        from: usize,
        to: usize,
    },
    Network {
        network: Network,
    },
    Skew {
        vm: usize,
        seconds: i64,
    },
    Heal,
    /// The store makes a copy of its values.
    Copy,
    /// The store comes back from its copy, unless that is too old.
    Restore,
}

fn vm() -> impl Strategy<Value = usize> {
    0..VMS
}

fn plan() -> impl Strategy<Value = Plan> {
    prop_oneof![
        6 => (0..50_000u64, 0..100_000u64)
            .prop_map(|(delay, duration)| Plan::Run { delay, duration }),
        1 => (0..50_000u64).prop_map(|delay| Plan::Silent { delay }),
        2 => Just(Plan::Withdraw),
    ]
}

fn handling() -> impl Strategy<Value = Handling> {
    prop_oneof![
        1 => Just(Handling::Refused),
        1 => Just(Handling::Dropped),
        3 => Just(Handling::AnswerLost),
        2 => (0..3_000_000u64).prop_map(Handling::EffectLater),
    ]
}

fn mode() -> impl Strategy<Value = Mode> {
    prop_oneof![
        4 => Just(Mode::Up),
        1 => Just(Mode::Refusing),
        1 => Just(Mode::Silent),
        1 => Just(Mode::LosingAnswers),
        1 => (0..800_000u64).prop_map(Mode::Slow),
    ]
}

fn remaining() -> impl Strategy<Value = u64> {
    prop_oneof![1 => 1_000..20_000u64, 3 => 50_000..800_000u64]
}

fn network() -> impl Strategy<Value = Network> {
    (0..60u64, 0..60u64, 0..400_000u64).prop_map(
        |(loss_percent, duplicate_percent, jitter_micros)| Network {
            loss_percent,
            duplicate_percent,
            jitter_micros,
        },
    )
}

fn fault() -> impl Strategy<Value = Transition> {
    prop_oneof![
        1 => vm().prop_map(|vm| Transition::Pause { vm }),
        2 => vm().prop_map(|vm| Transition::Resume { vm }),
        1 => vm().prop_map(|vm| Transition::Replace { vm }),
        1 => mode().prop_map(|mode| Transition::Store { mode }),
        2 => handling().prop_map(|handling| Transition::NextWrite { handling }),
        1 => handling().prop_map(|handling| Transition::NextRead { handling }),
        1 => (vm(), vm()).prop_map(|(a, b)| Transition::Split { a, b }),
        1 => (vm(), vm()).prop_map(|(from, to)| Transition::Cut { from, to }),
        1 => network().prop_map(|network| Transition::Network { network }),
        1 => (vm(), -20..20i64).prop_map(|(vm, seconds)| Transition::Skew { vm, seconds }),
        1 => Just(Transition::Heal),
        2 => Just(Transition::Copy),
        2 => Just(Transition::Restore),
    ]
}

/// The reference state: the number of keys that callers have made.
struct Model;

impl ReferenceStateMachine for Model {
    type State = usize;
    type Transition = Transition;

    fn init_state() -> BoxedStrategy<usize> {
        Just(0).boxed()
    }

    fn transitions(_: &usize) -> BoxedStrategy<Transition> {
        prop_oneof![
            3 => (vm(), remaining(), plan())
                .prop_map(|(vm, remaining, plan)| Transition::Operate { vm, remaining, plan }),
            5 => (vm(), 0..4usize, remaining(), plan()).prop_map(|(vm, key, remaining, plan)| {
                Transition::Resend { vm, key, remaining, plan }
            }),
            6 => (100..40_000u64).prop_map(|micros| Transition::Run { micros }),
            2 => (40_000..2_000_000u64).prop_map(|micros| Transition::Run { micros }),
            1 => Just(Transition::PassWindow),
            6 => fault(),
        ]
        .boxed()
    }

    fn apply(keys: usize, transition: &Transition) -> usize {
        keys + usize::from(matches!(transition, Transition::Operate { .. }))
    }
}

/// The engines under test, and the keys that callers have made.
struct Fleet {
    world: World,
    keys: Vec<Key>,
    /// Whether more than one clock was wrong at the same time. The floor may then
    /// rise above current keys, so that new keys may be refused. Operations must
    /// still run at most once.
    several_wrong_clocks: bool,
    /// The most seconds by which a clock was ahead.
    max_ahead: u64,
    /// The first era of the store's present count.
    count: Era,
    /// The last copy of the store's values, and when it was made.
    copy: Option<(u64, Values)>,
    /// Whether a clock was wrong, two VMs did not see each other, or messages were lost.
    /// Claims that the store loses then may be granted again, see
    /// `docs/design/claims.md`.
    not_covered: bool,
}

impl Fleet {
    fn restore(&mut self) {
        let Some((at, values)) = &self.copy else { return };
        let age = Duration::from_micros(self.world.now - at);
        let has_floor = values.contains_key(FLOOR_KEY);
        if age > Limits::default().copy_age || !has_floor || self.not_covered {
            return;
        }
        if self.world.now.is_multiple_of(ANEW_EVERY) {
            self.count.0 -= ERAS_PER_COUNT;
            self.world.store.restore_in(values.clone(), self.count);
        } else {
            self.world.store.restore(values.clone());
        }
    }

    fn operate(&mut self, vm: usize, key: Key, remaining: u64, plan: Plan) {
        self.world.submit(vm, key, Duration::from_micros(remaining), plan);
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Fleet;
    type Reference = Model;

    fn init_test(_: &usize) -> Fleet {
        let limits = Limits {
            window: WINDOW,
            sweep_interval: Duration::from_millis(500),
            call_timeout: Duration::from_millis(500),
            report_timeout: Duration::from_secs(10),
            ..Limits::default()
        };
        let mut world = World::new(VMS, limits, 1);
        world.store.era = START_ERA;
        Fleet {
            world,
            max_ahead: 0,
            count: START_ERA,
            keys: Vec::new(),
            several_wrong_clocks: false,
            copy: None,
            not_covered: false,
        }
    }

    fn apply(mut fleet: Fleet, _: &usize, transition: Transition) -> Fleet {
        let world = &mut fleet.world;
        match transition {
            Transition::Operate { vm, remaining, plan } => {
                let key = world.key();
                fleet.keys.push(key);
                fleet.operate(vm, key, remaining, plan);
            }
            Transition::Resend { vm, key, remaining, plan } => {
                if let Some(index) = fleet.keys.len().checked_sub(key + 1) {
                    fleet.operate(vm, fleet.keys[index], remaining, plan);
                }
            }
            Transition::Run { micros } => world.run(Duration::from_micros(micros)),
            Transition::PassWindow => world.run(WINDOW + Duration::from_secs(3)),
            Transition::Pause { vm } => world.pause(vm),
            Transition::Resume { vm } => world.resume(vm),
            Transition::Replace { vm } => world.replace(vm),
            Transition::Store { mode } => world.store.mode = mode,
            Transition::NextWrite { handling } => world.store.next_writes.push_back(handling),
            Transition::NextRead { handling } => world.store.next_reads.push_back(handling),
            Transition::Split { a, b } => {
                world.split(a, b);
                fleet.not_covered = true;
            }
            Transition::Cut { from, to } => {
                world.blocked_links.push((from, to));
                fleet.not_covered = true;
            }
            Transition::Network { network } => {
                world.network = network;
                fleet.not_covered |= network.loss_percent > 0;
            }
            Transition::Skew { vm, seconds } => {
                world.machines[vm].skew_secs = seconds;
                fleet.max_ahead = fleet.max_ahead.max(u64::try_from(seconds).unwrap_or(0));
                fleet.not_covered = true;
                let wrong = world.machines.iter().filter(|machine| machine.skew_secs != 0).count();
                fleet.several_wrong_clocks |= wrong > 1;
            }
            Transition::Heal => world.heal(),
            Transition::Copy => fleet.copy = Some((world.now, world.store.values.clone())),
            Transition::Restore => fleet.restore(),
        }
        fleet
    }

    /// Checks that after the end of all faults every operation is answered and a
    /// new key is granted.
    fn teardown(mut fleet: Fleet, _: usize) {
        let world = &mut fleet.world;
        world.heal();
        world.run(Duration::from_secs(3));
        world.assert_answered();
        for index in 0..fleet.keys.len() {
            fleet.operate(
                index % VMS,
                fleet.keys[index],
                500_000,
                Plan::Run { delay: 10, duration: 10 },
            );
        }
        let world = &mut fleet.world;
        world.run(Duration::from_secs(1));
        world.assert_answered();
        if world.store.era != START_ERA {
            // A home that does not know all claims that were lost refuses keys that may
            // be among them. The clock that dated the loss may have been ahead.
            let ahead = Duration::from_secs(fleet.max_ahead);
            world.run(Limits::default().skew + ahead + Duration::from_secs(2));
        }
        let key = world.key();
        let plan = Plan::Run { delay: 10, duration: 10 };
        world.submit(0, key, Duration::from_millis(500), plan);
        world.run(Duration::from_secs(1));
        assert!(
            fleet.several_wrong_clocks || world.oracle.ran(key),
            "a new key does not run once the faults have ended"
        );
    }
}

fn config() -> Config {
    let cases = std::env::var("CLAIMS_FUZZ_CASES").ok().and_then(|text| text.parse().ok());
    let seed = if cases.is_some() { RngSeed::Random } else { RngSeed::Fixed(SEED) };
    Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        rng_seed: seed,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    }
}

prop_state_machine! {
    #![proptest_config(config())]

    #[test]
    fn operations_run_at_most_once(sequential 1..MAX_TRANSITIONS => Fleet);
}
