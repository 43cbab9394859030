//! The store comes back from a copy that is some seconds old, and has lost the claims
//! and outcomes that it acknowledged since.

use std::time::Duration;

use laburnum_core::{
    claim::{Key, Verdict},
    claims::{
        Event, Limits, Message, layout,
        value::{Floor, Loss, Value},
    },
    store::{Call, Era},
};

use crate::{
    store::{Handling, Values},
    world::{Action, Plan, World, name},
};

const OPERATION_TIMEOUT: Duration = Duration::from_millis(500);
const RUN: Plan = Plan::Run { delay: 100, duration: 1_000 };
/// How long a VM must have been home to know all claims that a copy can lack.
const TENURE: Duration = Duration::from_secs(140);
/// The era of a store that has come back several times, before it counts anew.
const HIGH_ERA: Era = Era(9);
/// The era with which the store counts anew.
const LOW_ERA: Era = Era(1);
/// By how much an answer of an ended era is late. It is less than the limit of a call.
const LATE_MICROS: u64 = 300_000;
/// The time within which the homes write again what the store lost.
const RESTORE_TIME: Duration = Duration::from_secs(5);

/// A world whose VMs have been running for longer than a copy may be old, with a key
/// whose home is not VM 0.
struct Drill {
    world: World,
    key: Key,
    home: usize,
    copy: Values,
}

fn drill() -> Drill {
    let limits = Limits { sweep_interval: Duration::from_secs(1), ..Limits::default() };
    let mut world = World::new(4, limits, 5);
    world.run(TENURE);
    let (key, home) = world.remote_key();
    let copy = world.store.values.clone();
    Drill { world, key, home, copy }
}

impl Drill {
    fn operate(&mut self, vm: usize, key: Key, plan: Plan) -> Verdict {
        let operation = self.world.submit(vm, key, OPERATION_TIMEOUT, plan);
        self.world.run(OPERATION_TIMEOUT + Duration::from_millis(100));
        self.world.operations[&operation].verdict.clone().expect("the operation has a verdict")
    }

    fn restore(&mut self) {
        self.world.store.restore(self.copy.clone());
    }

    fn restore_in(&mut self, era: Era) {
        self.world.store.restore_in(self.copy.clone(), era);
    }

    /// Lets the store come back in an era that every VM learns at once.
    fn learn(&mut self, era: Era) {
        self.restore_in(era);
        for vm in 0..4 {
            self.world.push_event(vm, Event::Era(era));
        }
        self.world.run(Duration::from_millis(1));
    }

    /// Lets a key be claimed at each home, so that every VM learns the era.
    fn operate_everywhere(&mut self) {
        for vm in 0..4 {
            let key = self.world.key();
            self.operate(vm, key, RUN);
        }
    }

    /// Creates a key whose bucket is that of the drill's key.
    fn key_beside(&mut self) -> Key {
        let millis = self.key.issued_millis().unwrap();
        let layout = layout::Layout::V1;
        loop {
            let key = self.world.key_at(millis);
            if layout.bucket(&key) == layout.bucket(&self.key) {
                return key;
            }
        }
    }

    fn floor(&self) -> Floor {
        let (_, stored) = &self.world.store.values[layout::FLOOR_KEY];
        Floor::try_from(stored.as_slice()).unwrap()
    }

    /// The stored claims of the bucket of the drill's key.
    fn stored(&self) -> Value {
        let (_, stored) = &self.world.store.values[&self.bucket()];
        Value::try_from(stored.as_slice()).unwrap()
    }

    fn bucket(&self) -> String {
        layout::Layout::V1.bucket(&self.key).unwrap().key()
    }
}

/// A drill whose VMs know a high era, in whose copy its loss is recorded.
fn drill_in_high_era() -> Drill {
    let mut drill = drill();
    drill.restore_in(HIGH_ERA);
    drill.world.run(TENURE);
    drill.operate_everywhere();
    assert_eq!(drill.floor().loss.unwrap().era, HIGH_ERA);
    drill.copy = drill.world.store.values.clone();
    (drill.key, drill.home) = drill.world.remote_key();
    drill
}

/// Reads the floor late for a claim that is stored. Meanwhile the store comes back in these
/// eras, in each of which the homes learn of it, and the claim is lost.
fn answer_floor_late(eras: &[Era]) {
    let mut drill = drill_in_high_era();
    let (key, home, bucket) = (drill.key, drill.home, drill.bucket());
    let timeout = Duration::from_millis(900);
    let operation = drill.world.submit(0, key, timeout, Plan::Silent { delay: 10 });
    let end = drill.world.now + 200_000;
    let is_stored = |world: &World| world.store.values.contains_key(&bucket);
    assert!(drill.world.run_until(end, is_stored));
    drill.world.store.next_reads.push_back(Handling::AnswerLater(LATE_MICROS));
    let is_read = |world: &World| world.store.next_reads.is_empty();
    assert!(drill.world.run_until(end, is_read));
    // The read arrives at the store before that is away.
    drill.world.run(Duration::from_millis(3));
    for &era in eras {
        drill.restore_in(era);
        let key = drill.key_beside();
        drill.world.submit(home, key, OPERATION_TIMEOUT, Plan::Silent { delay: 10 });
        drill.world.run(Duration::from_millis(60));
    }
    let end = drill.world.now + 900_000;
    let is_granted = |world: &World| world.operations[&operation].verdict.is_some();
    assert!(drill.world.run_until(end, is_granted));
    if drill.world.operations[&operation].verdict == Some(Verdict::Granted) {
        assert!(drill.world.store.values.contains_key(&bucket), "granted but not stored");
    }
    drill.world.replace(home);
    assert_ne!(drill.operate(1, key, RUN), Verdict::Granted);
}

/// Reads a bucket late. Meanwhile the store comes back in these eras, in which another home
/// stores a claim under the version that the late value has.
fn answer_bucket_late(eras: &[Era]) {
    let mut drill = drill_in_high_era();
    let (first, home) = (drill.key, drill.home);
    let [second, third, fourth] = [(); 3].map(|()| drill.key_beside());
    assert_eq!(drill.operate(0, first, Plan::Silent { delay: 10 }), Verdict::Granted);
    drill.copy = drill.world.store.values.clone();
    assert_eq!(drill.operate(0, second, Plan::Silent { delay: 10 }), Verdict::Granted);
    drill.world.store.next_reads.push_back(Handling::AnswerLater(LATE_MICROS));
    let bucket = layout::Layout::V1.bucket(&first).unwrap();
    let other = (1..4).find(|&vm| vm != home).unwrap();
    let written = Event::Message { from: name(other), message: Message::Written(bucket) };
    drill.world.push_event(home, written);
    // The read arrives at the store before that is away.
    drill.world.run(Duration::from_millis(5));
    assert!(drill.world.store.next_reads.is_empty());
    eras.iter().for_each(|&era| drill.learn(era));
    drill.world.split(other, home);
    let timeout = Duration::from_micros(LATE_MICROS / 2);
    drill.world.submit(other, third, timeout, RUN);
    drill.world.run(timeout);
    let stored = drill.stored();
    assert!(stored.get(&third).is_some() && stored.get(&second).is_none());
    drill.world.run(timeout);
    drill.operate(0, fourth, Plan::Silent { delay: 10 });
    drill.world.heal();
    for key in [first, second, third, fourth] {
        assert_eq!(drill.operate(0, key, RUN), Verdict::Unknown, "{key:?}");
    }
    assert!(drill.stored().get(&third).is_some(), "the other home's claim was replaced");
}

fn is_floor_read(action: &Action, machine: usize) -> bool {
    matches!(
        action,
        Action::Arrive { vm, call: Call::Get { key }, .. }
            if *vm == machine && key == layout::FLOOR_KEY
    )
}

/// Loses a claim between its write and the read of the floor, and lets the service refuse
/// some writes after that.
fn lose_before_grant(refused: usize) {
    let mut drill = drill();
    let (key, home) = (drill.key, drill.home);
    let operation = drill.world.submit(0, key, OPERATION_TIMEOUT, Plan::Silent { delay: 10 });
    let bucket = drill.bucket();
    let end = drill.world.now + 200_000;
    let is_confirming = drill.world.run_until(end, |world| {
        let is_stored = world.store.values.contains_key(&bucket);
        is_stored && world.queue.values().any(|action| is_floor_read(action, home))
    });
    assert!(is_confirming);
    drill.restore();
    // No write of the floor comes before those of the bucket.
    let Floor { slot, swept, .. } = drill.floor();
    let loss = Some(Loss { era: drill.world.store.era, below: 0 });
    let floor = Floor { slot, swept, loss }.encode();
    drill.world.store.values.get_mut(layout::FLOOR_KEY).unwrap().1 = floor;
    drill.world.store.next_writes.extend(vec![Handling::Refused; refused]);
    let end = drill.world.now + 400_000;
    let is_granted = |world: &World| world.operations[&operation].verdict.is_some();
    assert!(drill.world.run_until(end, is_granted));
    assert_eq!(drill.world.operations[&operation].verdict, Some(Verdict::Granted));
    assert!(drill.world.store.values.contains_key(&bucket), "granted but not stored");
    drill.world.replace(home);
    assert_eq!(drill.operate(1, key, RUN), Verdict::Unknown);
}

cases! {
    a_result_that_the_store_lost_is_still_returned => {
        let mut drill = drill();
        let key = drill.key;
        assert_eq!(drill.operate(0, key, RUN), Verdict::Granted);
        drill.restore();
        for vm in 0..4 {
            let verdict = drill.operate(vm, key, RUN);
            assert!(matches!(verdict, Verdict::Recorded { .. }), "{verdict:?}");
        }
    };
    a_lost_claim_without_an_outcome_stays_unknown => {
        let mut drill = drill();
        let key = drill.key;
        assert_eq!(drill.operate(0, key, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.restore();
        drill.world.run(RESTORE_TIME);
        for vm in 0..4 {
            assert_eq!(drill.operate(vm, key, RUN), Verdict::Unknown);
        }
    };
    lost_claims_are_written_again_without_a_request => {
        let mut drill = drill();
        let key = drill.key;
        assert_eq!(drill.operate(0, key, RUN), Verdict::Granted);
        drill.restore();
        assert!(!drill.world.store.values.contains_key(&drill.bucket()));
        drill.world.run(RESTORE_TIME);
        assert!(drill.world.store.values.contains_key(&drill.bucket()));
    };
    lost_claims_of_buckets_that_left_the_cache_are_known => {
        let mut drill = drill();
        let mut keys = Vec::new();
        for _ in 0..100 {
            let key = drill.world.key();
            drill.world.submit(0, key, OPERATION_TIMEOUT, RUN);
            keys.push(key);
            drill.world.run(Duration::from_millis(100));
        }
        drill.restore();
        for key in keys {
            drill.world.submit(1, key, OPERATION_TIMEOUT, RUN);
            drill.world.run(Duration::from_millis(20));
        }
        drill.world.run(OPERATION_TIMEOUT);
        assert_eq!(drill.world.oracle.verdicts.get("granted"), Some(&100));
    };
    a_claim_that_is_lost_before_its_grant_is_stored_again_first => {
        lose_before_grant(0);
    };
    a_claim_that_is_lost_before_its_grant_waits_until_it_is_stored_again => {
        lose_before_grant(3);
    };
    a_version_of_an_ended_era_replaces_nothing => {
        let mut drill = drill();
        let home = drill.home;
        let first = drill.key;
        let [second, third, fourth] = [(); 3].map(|()| drill.key_beside());
        assert_eq!(drill.operate(0, first, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.copy = drill.world.store.values.clone();
        assert_eq!(drill.operate(0, second, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.restore();
        // Another home, which cannot know whether the key ran, stores a claim under the
        // version that the home still has cached.
        let other = (1..4).find(|&vm| vm != home).unwrap();
        drill.world.split(other, home);
        assert_eq!(drill.operate(other, third, RUN), Verdict::Unknown);
        drill.world.run(Duration::from_secs(2));
        assert_eq!(drill.operate(0, fourth, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.world.heal();
        for key in [first, second, third, fourth] {
            assert_eq!(drill.operate(0, key, RUN), Verdict::Unknown, "{key:?}");
        }
        assert!(drill.stored().get(&third).is_some(), "the other home's claim was replaced");
    };
    a_home_that_starts_after_the_loss_does_not_grant_a_lost_key => {
        let mut drill = drill();
        let (key, home) = (drill.key, drill.home);
        assert_eq!(drill.operate(0, key, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.restore();
        drill.world.replace(home);
        drill.world.replace(0);
        for vm in 0..4 {
            assert_eq!(drill.operate(vm, key, RUN), Verdict::Unknown);
        }
    };
    a_home_that_started_before_the_loss_does_not_grant_a_lost_key => {
        let mut drill = drill();
        let (key, home) = (drill.key, drill.home);
        assert_eq!(drill.operate(0, key, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.world.replace(home);
        drill.world.run(Duration::from_secs(1));
        drill.restore();
        for vm in 0..4 {
            assert_eq!(drill.operate(vm, key, RUN), Verdict::Unknown);
        }
    };
    a_home_that_takes_over_does_not_grant_a_lost_key => {
        let mut drill = drill();
        let (key, home) = (drill.key, drill.home);
        assert_eq!(drill.operate(0, key, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.world.pause(home);
        (0..4).filter(|&vm| vm != home).for_each(|vm| drill.world.split(vm, home));
        drill.world.run(Duration::from_secs(3));
        drill.restore();
        for vm in (0..4).filter(|&vm| vm != home) {
            assert_eq!(drill.operate(vm, key, RUN), Verdict::Unknown);
        }
    };
    a_claim_that_the_next_home_stored_is_not_granted_by_the_first => {
        let mut drill = drill();
        let (key, home) = (drill.key, drill.home);
        drill.world.blocked_links.push((0, home));
        assert_eq!(drill.operate(0, key, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.world.heal();
        drill.restore();
        assert_eq!(drill.operate(0, key, RUN), Verdict::Unknown);
    };
    the_first_home_that_confirms_records_the_loss => {
        let mut drill = drill();
        let sweeper = drill.world.first_ranked(layout::floor_seed());
        while drill.home == sweeper {
            (drill.key, drill.home) = drill.world.remote_key();
        }
        let key = drill.key;
        drill.world.pause(sweeper);
        drill.restore();
        let requester = (0..4).find(|&vm| vm != sweeper).unwrap();
        assert_eq!(drill.operate(requester, key, RUN), Verdict::Granted);
        let issued = layout::Layout::V1.bucket(&key).unwrap().slot;
        let loss = drill.floor().loss.unwrap();
        assert_eq!(loss.era, drill.world.store.era);
        assert!(loss.below > issued);
    };
    new_keys_are_granted_at_once_by_the_homes_that_saw_the_loss => {
        let mut drill = drill();
        let key = drill.key;
        assert_eq!(drill.operate(0, key, RUN), Verdict::Granted);
        drill.restore();
        for vm in 0..4 {
            let key = drill.world.key();
            assert_eq!(drill.operate(vm, key, RUN), Verdict::Granted);
        }
    };
    keys_issued_later_are_granted_by_a_home_that_saw_nothing => {
        let mut drill = drill();
        drill.restore();
        (0..4).for_each(|vm| drill.world.replace(vm));
        let key = drill.world.key();
        assert_eq!(drill.operate(0, key, RUN), Verdict::Unknown);
        drill.world.run(Limits::default().skew + Duration::from_secs(2));
        for vm in 0..4 {
            let key = drill.world.key();
            assert_eq!(drill.operate(vm, key, RUN), Verdict::Granted);
        }
    };
    claims_are_settled_by_a_store_that_counts_its_eras_anew => {
        let mut drill = drill_in_high_era();
        drill.restore_in(LOW_ERA);
        for vm in 0..4 {
            let key = drill.world.key();
            assert_eq!(drill.operate(vm, key, RUN), Verdict::Granted);
        }
    };
    a_result_that_was_lost_as_eras_are_counted_anew_is_still_returned => {
        let mut drill = drill_in_high_era();
        let key = drill.key;
        assert_eq!(drill.operate(0, key, RUN), Verdict::Granted);
        drill.restore_in(LOW_ERA);
        for vm in 0..4 {
            let verdict = drill.operate(vm, key, RUN);
            assert!(matches!(verdict, Verdict::Recorded { .. }), "{verdict:?}");
        }
    };
    claims_that_were_lost_as_eras_are_counted_anew_are_written_again => {
        let mut drill = drill_in_high_era();
        let key = drill.key;
        assert_eq!(drill.operate(0, key, RUN), Verdict::Granted);
        drill.restore_in(LOW_ERA);
        // A claim of another partition tells its home, which announces the era.
        let other = drill.world.key();
        drill.operate(0, other, RUN);
        drill.world.run(RESTORE_TIME);
        assert!(drill.world.store.values.contains_key(&drill.bucket()));
    };
    a_home_that_starts_after_eras_are_counted_anew_does_not_grant_a_lost_key => {
        let mut drill = drill_in_high_era();
        let (key, home) = (drill.key, drill.home);
        assert_eq!(drill.operate(0, key, Plan::Silent { delay: 10 }), Verdict::Granted);
        drill.restore_in(LOW_ERA);
        drill.world.replace(home);
        drill.world.replace(0);
        for vm in 0..4 {
            assert_eq!(drill.operate(vm, key, RUN), Verdict::Unknown);
        }
        let loss = drill.floor().loss.unwrap();
        assert_eq!(loss.era, LOW_ERA);
        assert!(loss.below > layout::Layout::V1.bucket(&key).unwrap().slot);
    };
    a_result_that_was_lost_is_returned_in_a_later_history_of_the_same_era => {
        let mut drill = drill_in_high_era();
        let key = drill.key;
        assert_eq!(drill.operate(0, key, RUN), Verdict::Granted);
        drill.learn(LOW_ERA);
        drill.learn(HIGH_ERA);
        for vm in 0..4 {
            let verdict = drill.operate(vm, key, RUN);
            assert!(matches!(verdict, Verdict::Recorded { .. }), "{verdict:?}");
        }
    };
    a_late_floor_of_the_ended_era_grants_no_lost_claim => {
        answer_floor_late(&[Era(HIGH_ERA.0 + 1)]);
    };
    a_late_floor_from_before_eras_are_counted_anew_grants_no_lost_claim => {
        answer_floor_late(&[LOW_ERA]);
    };
    a_late_floor_of_an_earlier_history_of_the_same_era_grants_no_lost_claim => {
        answer_floor_late(&[LOW_ERA, HIGH_ERA]);
    };
    a_late_bucket_from_before_eras_are_counted_anew_replaces_nothing => {
        answer_bucket_late(&[LOW_ERA]);
    };
    a_late_bucket_of_an_earlier_history_of_the_same_era_replaces_nothing => {
        answer_bucket_late(&[LOW_ERA, HIGH_ERA]);
    };
    a_late_announcement_of_an_ended_era_ends_none => {
        let mut drill = drill_in_high_era();
        let home = drill.home;
        let late = Event::Message { from: name(3), message: Message::Era(LOW_ERA) };
        drill.world.push_event(home, late);
        drill.world.run(Duration::from_millis(1));
        assert_eq!(drill.world.machines[home].engine.epoch().era(), Some(HIGH_ERA));
        assert_eq!(drill.operate(0, drill.key, RUN), Verdict::Granted);
        assert_eq!(drill.world.machines[home].engine.epoch().era(), Some(HIGH_ERA));
    };
    a_vm_that_starts_again_in_the_same_era_grants_at_once => {
        let mut drill = drill();
        drill.restore();
        drill.world.run(Limits::default().skew + RESTORE_TIME);
        (0..4).for_each(|vm| drill.world.replace(vm));
        let key = drill.world.key();
        assert_eq!(drill.operate(0, key, RUN), Verdict::Granted);
    };
}
