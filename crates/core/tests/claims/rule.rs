//! Tests of single rules of the claims engine.

use std::time::Duration;

use laburnum_core::{
    claim::{Key, Outcome, Verdict},
    claims::{
        Count, Limits,
        layout::{Bucket, FLOOR_KEY, Layout, floor_seed},
        value::{Entry, Floor, Loss, Value},
    },
    digest::Fingerprint,
    id::Query,
    store::Era,
};
use uuid::Uuid;

use crate::{
    store::{Handling, Mode},
    world::{Plan, START_MILLIS, World},
};

const OPERATION_TIMEOUT: Duration = Duration::from_millis(500);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

fn world() -> World {
    let limits = Limits {
        window: Duration::from_secs(5),
        sweep_interval: Duration::from_secs(1),
        ..Limits::default()
    };
    World::new(3, limits, 11)
}

fn plan() -> Plan {
    Plan::Run { delay: 100, duration: 1_000 }
}

/// Runs one operation and returns its verdict.
fn operate(world: &mut World, vm: usize, key: Key, plan: Plan) -> Verdict {
    let operation = world.submit(vm, key, OPERATION_TIMEOUT, plan);
    world.run(OPERATION_TIMEOUT + SHORT_TIMEOUT);
    verdict(world, operation)
}

fn verdict(world: &World, operation: Query) -> Verdict {
    world.operations[&operation].verdict.clone().expect("the operation has a verdict")
}

fn sample() -> Value {
    let mut value = Value::default();
    let outcomes = [None, Some(Outcome::NotRun), Some(Outcome::Done { result: "é".into() })];
    for (at, outcome) in outcomes.into_iter().enumerate() {
        let token = Uuid::from_u128(at as u128 + 9);
        let entry = Entry { token, fingerprint: Fingerprint(at as u64), outcome };
        value.insert(Key(Uuid::from_u128(at as u128)), entry);
    }
    value
}

cases! {
    a_stored_value_reads_back => {
        let bytes = sample().encode();
        assert_eq!(bytes.len(), sample().encoded_len());
        assert_eq!(Value::try_from(bytes.as_slice()), Ok(sample()));
    };
    a_cut_value_is_refused_unless_a_whole_claim_is_missing => {
        let bytes = sample().encode();
        let whole = [1, 1 + 41, 1 + 82];
        for len in 0..bytes.len() {
            let read = Value::try_from(&bytes[..len]);
            assert_eq!(read.is_ok(), whole.contains(&len), "{len} bytes");
        }
    };
    a_floor_reads_back_with_and_without_a_loss => {
        for loss in [None, Some(Loss { era: Era(3), below: 9 })] {
            let floor = Floor { slot: 5, swept: 4, loss };
            assert_eq!(Floor::try_from(floor.encode().as_slice()), Ok(floor));
        }
    };
    a_claim_that_may_have_run_replaces_a_release_of_another_era => {
        let (key, mut stored, mut known) = (Key(Uuid::nil()), Value::default(), Value::default());
        let entry = |token, outcome| Entry {
            token: Uuid::from_u128(token),
            fingerprint: Fingerprint(7),
            outcome,
        };
        stored.insert(key, entry(1, Some(Outcome::NotRun)));
        known.insert(key, entry(2, None));
        assert!(stored.merge(&known));
        assert_eq!(stored, known);
        assert!(!stored.merge(&known));
    };
    a_key_of_two_claims_in_two_eras_is_released_by_neither => {
        let (key, mut stored, mut known) = (Key(Uuid::nil()), Value::default(), Value::default());
        for (value, token) in [(&mut stored, 1), (&mut known, 2)] {
            let token = Uuid::from_u128(token);
            value.insert(key, Entry { token, fingerprint: Fingerprint(7), outcome: None });
        }
        assert!(stored.merge(&known));
        assert_eq!(stored.get(&key).unwrap().token, Uuid::nil());
    };
    a_bucket_key_reads_back => {
        let bucket = Bucket { slot: 1_800_000_000, partition: 7 };
        assert_eq!(Bucket::parse(&bucket.key()), Some(bucket));
        assert_eq!(Bucket::parse(FLOOR_KEY), None);
    };
    a_key_without_a_time_of_issue_has_no_bucket => {
        assert_eq!(Layout::V1.bucket(&Key(Uuid::nil())), None);
        let mut world = world();
        assert_eq!(operate(&mut world, 0, Key(Uuid::nil()), plan()), Verdict::Expired);
    };
    a_resend_gets_the_recorded_result => {
        let mut world = world();
        let key = world.key();
        assert_eq!(operate(&mut world, 0, key, plan()), Verdict::Granted);
        assert!(matches!(operate(&mut world, 1, key, plan()), Verdict::Recorded { .. }));
        assert!(matches!(operate(&mut world, 2, key, plan()), Verdict::Recorded { .. }));
    };
    a_resend_gets_the_result_before_it_is_written => {
        let mut world = world();
        let (key, _) = world.remote_key();
        world.submit(0, key, OPERATION_TIMEOUT, plan());
        world.run(Duration::from_millis(30));
        assert!(world.oracle.ran(key));
        let resend = world.submit(2, key, OPERATION_TIMEOUT, plan());
        world.run(Duration::from_millis(20));
        assert!(matches!(verdict(&world, resend), Verdict::Recorded { .. }));
        let bucket = Layout::V1.bucket(&key).unwrap().key();
        let value = Value::try_from(world.store.values[&bucket].1.as_slice()).unwrap();
        assert_eq!(value.get(&key).unwrap().outcome, None, "the outcome still waits");
    };
    a_resend_before_the_outcome_waits_for_it => {
        let mut world = world();
        let key = world.key();
        let first = world.submit(0, key, OPERATION_TIMEOUT, Plan::Run { delay: 100, duration: 120_000 });
        world.run(Duration::from_millis(30));
        let resend = world.submit(1, key, OPERATION_TIMEOUT, plan());
        world.run(Duration::from_millis(200));
        assert_eq!(verdict(&world, first), Verdict::Granted);
        assert!(matches!(verdict(&world, resend), Verdict::Recorded { .. }));
    };
    a_resend_with_little_time_is_answered_in_it => {
        let mut world = world();
        let key = world.key();
        assert_eq!(operate(&mut world, 0, key, Plan::Silent { delay: 100 }), Verdict::Granted);
        let resend = world.submit(1, key, Duration::from_millis(200), plan());
        world.run(Duration::from_millis(200));
        assert_eq!(verdict(&world, resend), Verdict::Unknown);
    };
    a_resend_of_a_silent_run_is_unknown => {
        let mut world = world();
        let key = world.key();
        assert_eq!(operate(&mut world, 0, key, Plan::Silent { delay: 100 }), Verdict::Granted);
        assert_eq!(operate(&mut world, 1, key, plan()), Verdict::Unknown);
    };
    two_claims_of_a_key_at_once_get_one_grant => {
        let mut world = world();
        let key = world.key();
        let one = world.submit(0, key, OPERATION_TIMEOUT, Plan::Silent { delay: 100 });
        let two = world.submit(1, key, OPERATION_TIMEOUT, Plan::Silent { delay: 100 });
        world.run(OPERATION_TIMEOUT);
        let mut verdicts = [verdict(&world, one), verdict(&world, two)];
        verdicts.sort_by_key(|verdict| *verdict != Verdict::Granted);
        assert_eq!(verdicts, [Verdict::Granted, Verdict::Unknown]);
    };
    a_withdrawn_operation_may_be_claimed_again => {
        let mut world = world();
        let key = world.key();
        assert_eq!(operate(&mut world, 0, key, Plan::Withdraw), Verdict::Granted);
        assert_eq!(operate(&mut world, 1, key, plan()), Verdict::Granted);
        assert!(matches!(operate(&mut world, 2, key, plan()), Verdict::Recorded { .. }));
    };
    a_claim_that_was_given_up_is_released => {
        let mut world = world();
        let key = world.key();
        world.store.mode = Mode::LosingAnswers;
        let given_up = world.submit(0, key, SHORT_TIMEOUT, plan());
        world.run(SHORT_TIMEOUT * 2);
        assert!(matches!(verdict(&world, given_up), Verdict::Unsettled { .. }));
        world.heal();
        world.run(Duration::from_secs(2));
        assert_eq!(operate(&mut world, 1, key, plan()), Verdict::Granted);
    };
    a_recorded_result_is_never_changed_to_not_run => {
        let mut world = world();
        let key = world.key();
        let first = world.submit(0, key, OPERATION_TIMEOUT, plan());
        world.run(OPERATION_TIMEOUT + SHORT_TIMEOUT);
        world.report_outcome(first, Outcome::NotRun);
        world.run(OPERATION_TIMEOUT + SHORT_TIMEOUT);
        for vm in 0..3 {
            world.replace(vm);
        }
        assert!(matches!(operate(&mut world, 1, key, plan()), Verdict::Recorded { .. }));
    };
    an_outcome_is_recorded_by_a_home_that_did_not_store_the_claim => {
        let mut world = world();
        let (key, _) = world.remote_key();
        world.submit(0, key, OPERATION_TIMEOUT, Plan::Run { delay: 100, duration: 100_000 });
        world.run(SHORT_TIMEOUT);
        assert!(world.oracle.ran(key));
        world.split(0, 1);
        world.split(0, 2);
        world.run(OPERATION_TIMEOUT * 2);
        assert!(matches!(operate(&mut world, 1, key, plan()), Verdict::Recorded { .. }));
    };
    a_lost_answer_is_settled_by_reading_back => {
        let mut world = world();
        world.run(SHORT_TIMEOUT);
        world.store.next_writes.push_back(Handling::AnswerLost);
        let key = world.key();
        assert_eq!(operate(&mut world, 0, key, plan()), Verdict::Granted);
        assert_eq!(world.counts[&Count::Lost], 1);
    };
    nothing_is_granted_while_the_store_is_silent => {
        let mut world = world();
        world.store.mode = Mode::Silent;
        let key = world.key();
        assert!(matches!(operate(&mut world, 0, key, plan()), Verdict::Unsettled { .. }));
        assert!(!world.oracle.ran(key));
    };
    a_key_from_the_future_is_refused => {
        let mut world = world();
        let millis = world.wall() + 60_000;
        let key = world.key_at(millis);
        assert_eq!(operate(&mut world, 0, key, plan()), Verdict::Expired);
    };
    a_key_below_the_floor_is_refused_by_a_vm_that_never_read_it => {
        let mut world = world();
        let key = world.key_at(START_MILLIS);
        let slot = START_MILLIS / 1000 + 100;
        let floor = Floor { slot, swept: slot, loss: None }.encode();
        let version = laburnum_core::store::Version::default();
        world.store.values.insert(FLOOR_KEY.to_owned(), (version, floor));
        assert_eq!(operate(&mut world, 0, key, plan()), Verdict::Expired);
        assert!(!world.oracle.ran(key));
        world.run(OPERATION_TIMEOUT);
        assert_eq!(world.store.values.len(), 1, "the bucket below the floor is removed again");
    };
    slots_below_the_floor_are_removed => {
        let mut world = world();
        for _ in 0..20 {
            let key = world.key();
            operate(&mut world, 0, key, plan());
        }
        world.run(Duration::from_secs(30));
        let left: Vec<&String> = world.store.values.keys().collect();
        assert_eq!(left, [FLOOR_KEY]);
    };
    the_floor_stays_while_the_vm_that_raises_it_receives_no_clock => {
        let mut world = world();
        let mover = world.first_ranked(floor_seed());
        world.machines[mover].skew_secs = 3600;
        world.blocked_links = (0..3).map(|vm| (vm, mover)).collect();
        world.run(Duration::from_secs(10));
        world.heal();
        let key = world.key();
        assert_eq!(operate(&mut world, 0, key, plan()), Verdict::Granted);
    };
    a_full_bucket_refuses => {
        let limits = Limits { bucket_bytes: 100, ..Limits::default() };
        let mut world = World::new(1, limits, 3);
        let layout = Layout::V1;
        let mut first = world.key();
        let mut second = world.key();
        while layout.bucket(&first) != layout.bucket(&second) {
            first = world.key();
            second = world.key();
        }
        assert_eq!(operate(&mut world, 0, first, Plan::Silent { delay: 1 }), Verdict::Granted);
        assert_eq!(operate(&mut world, 0, second, plan()), Verdict::Full);
    };
    another_request_under_the_same_key_is_reported_as_reuse => {
        let mut world = world();
        let key = world.key();
        assert_eq!(operate(&mut world, 0, key, plan()), Verdict::Granted);
        let bucket = Layout::V1.bucket(&key).unwrap().key();
        let (_, stored) = world.store.values.get_mut(&bucket).unwrap();
        let mut value = Value::try_from(stored.as_slice()).unwrap();
        let mut entry = value.get(&key).unwrap().clone();
        entry.fingerprint = Fingerprint(8);
        value.insert(key, entry);
        *stored = value.encode();
        (0..3).for_each(|vm| world.replace(vm));
        assert_eq!(operate(&mut world, 1, key, plan()), Verdict::Reused);
    };
    unreadable_claims_grant_nothing => {
        let mut world = world();
        let key = world.key();
        let bucket = Layout::V1.bucket(&key).unwrap().key();
        let version = laburnum_core::store::Version::default();
        world.store.values.insert(bucket, (version, vec![250]));
        assert!(matches!(operate(&mut world, 0, key, plan()), Verdict::Unsettled { .. }));
        assert!(!world.oracle.ran(key));
    };
    an_idle_engine_seldom_wakes => {
        let mut world = world();
        world.run(Duration::from_secs(2));
        let before: u64 = world.machines.iter().map(|machine| machine.ticks).sum();
        world.run(Duration::from_secs(10));
        let after: u64 = world.machines.iter().map(|machine| machine.ticks).sum();
        assert!(after - before < 300, "{} ticks", after - before);
    };
    tables_stay_bounded_while_the_store_is_silent => {
        let limits = Limits { operations: 100, reports: 100, queue: 100, ..Limits::default() };
        let mut world = World::new(2, limits, 3);
        world.store.mode = Mode::Silent;
        for at in 0..5000 {
            let key = world.key();
            world.submit(at % 2, key, OPERATION_TIMEOUT, plan());
            world.run(Duration::from_micros(200));
            assert!(world.machines[at % 2].engine.rows() <= 2 * 100 + 2 * 100 + 64 + 100);
        }
    };
}
