//! Random faults at random times against an oracle that knows only what was
//! written to the platform's service and what operators were told.

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

/// The number of VMs.
const VMS: usize = 5;

/// The time within which everything agrees after the last fault.
const RECOVERY: Duration = Duration::from_secs(60);

/// The variable that holds a number of runs on new seeds.
const RUNS: &str = "LABURNUM_FUZZ_RUNS";

/// One thing that happens.
#[derive(Clone, Copy, Debug)]
enum Act {
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

fn act() -> impl Strategy<Value = Act> {
    let at = 0..VMS;
    let mode = prop_oneof![
        3 => Just(Mode::Up),
        1 => Just(Mode::Down),
        1 => Just(Mode::Refusing),
        2 => Just(Mode::ReplyLost),
        2 => Just(Mode::Late),
    ];
    prop_oneof![
        6 => (at.clone(), any::<bool>()).prop_map(|(at, expect)| Act::Publish { at, expect }),
        1 => (at.clone(), 1..4u64).prop_map(|(at, to)| Act::Rollback { at, to }),
        2 => at.clone().prop_map(|at| Act::Settle { at }),
        4 => mode.prop_map(Act::Platform),
        1 => at.clone().prop_map(Act::Restart),
        2 => (at.clone(), 100..9000u64).prop_map(|(at, span)| Act::Pause(at, span)),
        2 => (at.clone(), at.clone()).prop_map(|(from, to)| Act::Cut(from, to)),
        1 => at.prop_map(Act::Isolate),
        2 => Just(Act::Heal),
    ]
}

/// What operators asked and were told.
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

fn apply(world: &mut World, operators: &mut Operators, act: Act) {
    match act {
        Act::Publish { at, expect } => {
            let who = operators.who();
            let expect = expect.then(|| world.revision(&vm(at)));
            let id = world.publish(&vm(at), operators.marks, expect);
            operators.publications.insert(id, who);
        }
        Act::Rollback { at, to } => {
            let who = operators.who();
            let to = Revision(to);
            let request = Request::Rollback { to, expect: None, who: who.clone(), team: team() };
            let id = world.ask(&vm(at), request);
            operators.publications.insert(id, who);
        }
        Act::Settle { at } => {
            if let Some((token, who)) = operators.unsettled(world) {
                let id = world.ask(&vm(at), Request::Settle { token });
                operators.settlements.insert(id, (token, who));
            }
        }
        Act::Platform(mode) => world.platform.mode = mode,
        Act::Restart(at) => world.start(&vm(at)),
        Act::Pause(at, span) => world.pause(&vm(at), Duration::from_millis(span)),
        Act::Cut(from, to) => world.network.cut(&vm(from), &vm(to)),
        Act::Isolate(at) => world.isolate(&vm(at)),
        Act::Heal => world.network.heal(),
    }
}

/// What was written as the document in force, in order, without repetitions.
fn written(world: &World) -> Vec<Record> {
    let values = world.platform.written.iter();
    let mut records: Vec<Record> = values.map(|value| Json.decode(value).unwrap()).collect();
    records.dedup();
    records
}

/// No operator was told a wrong thing.
fn truthful(world: &World, operators: &Operators) {
    let records = written(world);
    for (id, who) in &operators.publications {
        if let Some(answer) = world.answers.get(id) {
            check(&records, who, answer);
        }
    }
    for (id, (_, who)) in &operators.settlements {
        if let Some(answer) = world.answers.get(id) {
            check(&records, who, answer);
        }
    }
}

fn check(records: &[Record], who: &str, answer: &Answer) {
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

/// Revisions at the service only go up.
fn ascending(records: &[Record]) {
    for pair in records.windows(2) {
        let [before, after] = pair else { continue };
        assert!(before.document.revision < after.document.revision, "{before:?} {after:?}");
    }
}

fn run(acts: Vec<(u64, Act)>) {
    let mut world = World::new(VMS, 1);
    let mut operators = Operators::default();
    world.run(Duration::from_secs(3));
    for (pause, act) in acts {
        apply(&mut world, &mut operators, act);
        world.run(Duration::from_millis(pause));
        truthful(&world, &operators);
    }
    world.network.heal();
    world.platform.mode = Mode::Up;
    world.run(RECOVERY);
    truthful(&world, &operators);
    let records = written(&world);
    ascending(&records);
    let highest = records.last().map(|record| &record.document);
    let revision = highest.map_or(Revision(0), |document| document.revision);
    assert!(world.settled(), "not settled");
    let names: Vec<Name> = world.nodes.keys().cloned().collect();
    for name in names {
        assert_eq!(world.revision(&name), revision, "{name}");
        assert!(highest.is_none_or(|document| document == world.document(&name)), "{name}");
    }
    answered(&world, &operators);
}

/// Every request is answered, unless its VM was restarted.
fn answered(world: &World, operators: &Operators) {
    for id in operators.publications.keys().chain(operators.settlements.keys()) {
        assert!(world.answers.contains_key(id) || world.restarted(*id), "{id:?} has no answer");
    }
}

fn fuzz(seed: [u8; 32], runs: u32) {
    let config = Config { cases: runs, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &seed);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let acts = prop::collection::vec((1..2500u64, act()), 1..25);
    let result = runner.run(&acts, |acts| {
        run(acts);
        Ok(())
    });
    result.unwrap_or_else(|e| panic!("seed {}: {e}", seed[0]));
}

cases! {
    no_operator_is_told_a_wrong_thing_and_no_revision_goes_down_seed_1 => fuzz([1; 32], 60);
    no_operator_is_told_a_wrong_thing_and_no_revision_goes_down_seed_2 => fuzz([2; 32], 60);
    no_operator_is_told_a_wrong_thing_and_no_revision_goes_down_seed_3 => fuzz([3; 32], 60);
    longer_on_new_seeds_when_asked_for => {
        let runs = env::var(RUNS).ok().and_then(|runs| runs.parse().ok()).unwrap_or(0u32);
        if runs > 0 {
            let config = Config { cases: runs, failure_persistence: None, ..Config::default() };
            let acts = prop::collection::vec((1..2500u64, act()), 1..40);
            let run = |acts| { run(acts); Ok(()) };
            TestRunner::new(config).run(&acts, run).unwrap();
        }
    };
}
