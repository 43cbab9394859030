//! Random requests and faults at random times. An oracle that knows only the
//! documents written to the platform's service checks the answers to operators.

use std::{collections::BTreeMap, env, time::Duration};

use laburnum_core::{
    control::{Answer, Request, RequestId, request::Token},
    name::Name,
    profile::Revision,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::{
    fixture::{Json, team, vm},
    history::History,
    platform::{Drill, Mode, Numbering, Open},
    world::World,
};

const VM_COUNT: usize = 5;

/// The time within which all VMs agree after the last fault has ended.
const RECOVERY_LIMIT: Duration = Duration::from_secs(60);

/// The environment variable with the number of runs on new seeds.
const RUNS_VARIABLE: &str = "LABURNUM_FUZZ_RUNS";

/// A request of an operator, or a fault.
#[derive(Clone, Copy, Debug)]
enum Action {
    Publish { at: usize, expect: bool },
    Rollback { at: usize, to: u64 },
    Settle { at: usize },
    Platform(Mode),
    Restart(usize),
    Pause(usize, u64),
    Cut(usize, usize),
    Isolate(usize),
    Heal,
    Drill(Drill),
}

fn action() -> impl Strategy<Value = Action> {
    let at = 0..VM_COUNT;
    let mode = prop_oneof![
        3 => Just(Mode::Up),
        1 => Just(Mode::Down),
        1 => Just(Mode::Refusing),
        2 => Just(Mode::ReplyLost),
        2 => Just(Mode::Late),
    ];
    prop_oneof![
        6 => (at.clone(), any::<bool>()).prop_map(|(at, expect)| Action::Publish { at, expect }),
        1 => (at.clone(), 1..4u64).prop_map(|(at, to)| Action::Rollback { at, to }),
        2 => at.clone().prop_map(|at| Action::Settle { at }),
        4 => mode.prop_map(Action::Platform),
        1 => at.clone().prop_map(Action::Restart),
        2 => (at.clone(), 100..9000u64).prop_map(|(at, span)| Action::Pause(at, span)),
        2 => (at.clone(), at.clone()).prop_map(|(from, to)| Action::Cut(from, to)),
        1 => at.prop_map(Action::Isolate),
        2 => Just(Action::Heal),
        2 => drill().prop_map(Action::Drill),
    ]
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

/// The requests of operators whose answers are checked.
#[derive(Default)]
struct Operators {
    publications: BTreeMap<RequestId, String>,
    settlements: BTreeMap<RequestId, (Token, String)>,
    marks: u32,
}

impl Operators {
    fn who(&mut self) -> String {
        self.marks += 1;
        format!("operator-{}", self.marks)
    }

    fn unsettled(&self, world: &World) -> Option<(Token, String)> {
        let mut asked = self.publications.iter().rev();
        asked.find_map(|(id, who)| match world.answers.get(id) {
            Some(Answer::Unsettled { token }) => Some((*token, who.clone())),
            _ => None,
        })
    }
}

fn apply(world: &mut World, operators: &mut Operators, action: Action) {
    match action {
        Action::Publish { at, expect } => {
            let who = operators.who();
            let expect = expect.then(|| world.revision(&vm(at)));
            let id = world.publish(&vm(at), operators.marks, expect);
            operators.publications.insert(id, who);
        }
        Action::Rollback { at, to } => {
            let who = operators.who();
            let to = Revision(to);
            let request = Request::Rollback { to, expect: None, who: who.clone(), team: team() };
            let id = world.submit(&vm(at), request);
            operators.publications.insert(id, who);
        }
        Action::Settle { at } => {
            if let Some((token, who)) = operators.unsettled(world) {
                let id = world.submit(&vm(at), Request::Settle { token });
                operators.settlements.insert(id, (token, who));
            }
        }
        Action::Platform(mode) => world.platform.mode = mode,
        Action::Restart(at) => world.start(&vm(at)),
        Action::Pause(at, span) => world.pause(&vm(at), Duration::from_millis(span)),
        Action::Cut(from, to) => world.network.cut(&vm(from), &vm(to)),
        Action::Isolate(at) => world.isolate(&vm(at)),
        Action::Heal => world.network.heal(),
        Action::Drill(drill) => world.drill(drill),
    }
}

/// Checks that no answer so far contradicts what was written.
fn check_answers(world: &World, operators: &Operators) {
    let history = History::new(&world.platform, &Json);
    history.check();
    for (id, who) in &operators.publications {
        if let Some(answer) = world.answers.get(id) {
            history.check_answer(who, answer);
        }
    }
    for (id, (_, who)) in &operators.settlements {
        if let Some(answer) = world.answers.get(id) {
            history.check_answer(who, answer);
        }
    }
}

fn run_actions(numbering: Numbering, actions: Vec<(u64, Action)>) {
    let mut world = World::new(VM_COUNT, 1);
    world.platform.numbering = numbering;
    let mut operators = Operators::default();
    world.run_for(Duration::from_secs(3));
    for (pause, action) in actions {
        apply(&mut world, &mut operators, action);
        world.run_for(Duration::from_millis(pause));
        check_answers(&world, &operators);
    }
    world.network.heal();
    world.platform.mode = Mode::Up;
    world.run_for(RECOVERY_LIMIT);
    check_answers(&world, &operators);
    let records = History::new(&world.platform, &Json).kept;
    let highest = records.last().map(|record| &record.document);
    let revision = highest.map_or(Revision(0), |document| document.revision);
    assert!(world.settled(), "not settled");
    let names: Vec<Name> = world.nodes.keys().cloned().collect();
    for name in names {
        assert_eq!(world.revision(&name), revision, "{name}");
        assert!(highest.is_none_or(|document| document == world.document(&name)), "{name}");
    }
    check_all_answered(&world, &operators);
}

/// Checks that every request was answered unless its VM was restarted.
fn check_all_answered(world: &World, operators: &Operators) {
    for id in operators.publications.keys().chain(operators.settlements.keys()) {
        assert!(world.answers.contains_key(id) || world.restarted(*id), "{id:?} has no answer");
    }
}

fn fuzz(seed: [u8; 32], runs: u32) {
    let config = Config { cases: runs, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&case(25), |(numbering, actions)| {
        run_actions(numbering, actions);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("seed {}: {e}", seed[0]));
}

/// A case with fewer than `limit` actions.
fn case(limit: usize) -> impl Strategy<Value = (Numbering, Vec<(u64, Action)>)> {
    let numbering = prop_oneof![Just(Numbering::Key), Just(Numbering::Change)];
    (numbering, prop::collection::vec((1..2500u64, action()), 1..limit))
}

/// A loss of the second revision whose first tries to write it again come into an outage.
fn failing_restore() -> Vec<(u64, Action)> {
    let publish = |expect| Action::Publish { at: 0, expect };
    let age = Duration::from_millis(4100);
    let (away, rewrite) = (Duration::ZERO, Duration::ZERO);
    let drill = Drill { open: Open::Silent, away, age, rewrite };
    vec![
        (1940, publish(false)),
        (1246, publish(false)),
        (1798, Action::Heal),
        (1060, Action::Pause(2, 616)),
        (451, Action::Drill(drill)),
        (1429, publish(true)),
        (1194, publish(true)),
        (2392, Action::Settle { at: 0 }),
        (464, Action::Platform(Mode::Down)),
    ]
}

/// A VM that starts after the loss of the third revision and publishes at once.
fn publication_by_a_new_vm() -> Vec<(u64, Action)> {
    let publish = |at| Action::Publish { at, expect: false };
    let age = Duration::from_millis(2000);
    let (away, rewrite) = (Duration::ZERO, Duration::ZERO);
    let drill = Drill { open: Open::Silent, away, age, rewrite };
    vec![
        (1000, publish(0)),
        (1500, publish(0)),
        (1500, publish(0)),
        (2, Action::Drill(drill)),
        (2, Action::Restart(4)),
        (1, publish(4)),
    ]
}

cases! {
    a_vm_that_starts_after_a_loss_gives_no_revision_out_again => {
        run_actions(Numbering::Key, publication_by_a_new_vm());
    };
    a_lost_revision_is_written_again_although_the_first_tries_fail => {
        run_actions(Numbering::Key, failing_restore());
    };
    no_operator_gets_a_wrong_answer_and_no_revision_goes_down_seed_1 => fuzz([1; 32], 60);
    no_operator_gets_a_wrong_answer_and_no_revision_goes_down_seed_2 => fuzz([2; 32], 60);
    no_operator_gets_a_wrong_answer_and_no_revision_goes_down_seed_3 => fuzz([3; 32], 60);
    longer_on_new_seeds_when_asked_for => {
        let runs = env::var(RUNS_VARIABLE).ok().and_then(|runs| runs.parse().ok()).unwrap_or(0u32);
        if runs > 0 {
            let config = Config { cases: runs, failure_persistence: None, ..Config::default() };
            let run = |(numbering, actions)| { run_actions(numbering, actions); Ok(()) };
            TestRunner::new(config).run(&case(40), run).unwrap();
        }
    };
}
