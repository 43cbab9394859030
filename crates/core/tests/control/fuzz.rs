//! Random requests and faults at random times. An oracle that knows only the
//! documents written to the platform's service checks the answers to operators.

use std::{collections::BTreeMap, env, time::Duration};

use laburnum_core::{
    control::{Answer, Codec, Record, Request, RequestId, request::Token},
    name::Name,
    profile::Revision,
};
use proptest::{
    prelude::*,
    test_runner::{Config, RngAlgorithm, TestRng, TestRunner},
};

use crate::{
    fixture::{Json, team, vm},
    platform::Mode,
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
    ]
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
    }
}

/// The records that were written as the document in force, in order.
/// Repetitions, which fences write, are left out.
fn written(world: &World) -> Vec<Record> {
    let values = world.platform.written.iter();
    let mut records: Vec<Record> = values.map(|value| Json.decode(value).unwrap()).collect();
    records.dedup();
    records
}

/// Checks that no answer so far contradicts what was written.
fn check_answers(world: &World, operators: &Operators) {
    let records = written(world);
    for (id, who) in &operators.publications {
        if let Some(answer) = world.answers.get(id) {
            check_answer(&records, who, answer);
        }
    }
    for (id, (_, who)) in &operators.settlements {
        if let Some(answer) = world.answers.get(id) {
            check_answer(&records, who, answer);
        }
    }
}

fn check_answer(records: &[Record], who: &str, answer: &Answer) {
    let found: Vec<&Record> = records.iter().filter(|record| record.who == who).collect();
    assert!(found.len() <= 1, "{who} was written {} times", found.len());
    match answer {
        Answer::Accepted { revision, .. } => {
            let found = found.first().map(|record| record.document.revision);
            assert_eq!(found, Some(*revision), "{who} was told {answer:?}");
        }
        Answer::Unsettled { .. } => {}
        Answer::Conflict { .. } | Answer::NotPublished { .. } | Answer::Failed(_) => {
            assert!(found.is_empty(), "{who} was told {answer:?} but was written");
        }
        answer => panic!("{who} was told {answer:?}"),
    }
}

/// Checks that the revisions written to the service only go up.
fn check_ascending(records: &[Record]) {
    for pair in records.windows(2) {
        let [before, after] = pair else { continue };
        assert!(before.document.revision < after.document.revision, "{before:?} {after:?}");
    }
}

fn run_actions(actions: Vec<(u64, Action)>) {
    let mut world = World::new(VM_COUNT, 1);
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
    let records = written(&world);
    check_ascending(&records);
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
    let actions = prop::collection::vec((1..2500u64, action()), 1..25);
    let result = runner.run(&actions, |actions| {
        run_actions(actions);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("seed {}: {e}", seed[0]));
}

cases! {
    no_operator_gets_a_wrong_answer_and_no_revision_goes_down_seed_1 => fuzz([1; 32], 60);
    no_operator_gets_a_wrong_answer_and_no_revision_goes_down_seed_2 => fuzz([2; 32], 60);
    no_operator_gets_a_wrong_answer_and_no_revision_goes_down_seed_3 => fuzz([3; 32], 60);
    longer_on_new_seeds_when_asked_for => {
        let runs = env::var(RUNS_VARIABLE).ok().and_then(|runs| runs.parse().ok()).unwrap_or(0u32);
        if runs > 0 {
            let config = Config { cases: runs, failure_persistence: None, ..Config::default() };
            let actions = prop::collection::vec((1..2500u64, action()), 1..40);
            let run = |actions| { run_actions(actions); Ok(()) };
            TestRunner::new(config).run(&actions, run).unwrap();
        }
    };
}
