//! Tests of how a fleet learns of changes after outages of the store in which the
//! answers to watches were lost.

use std::time::Duration;

use laburnum_core::{relay::feed::progress::Reason, store::Position};

use crate::{fleet::Fleet, harness::ms, store::announcement};

/// The time after the end of an outage within which every VM must know the newest
/// state, whatever was lost. The shortest limit of the users is 3 s.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(2);

/// How a test changes the store during the outage.
#[derive(Clone, Copy)]
enum Timing {
    Begin,
    End,
}

/// Makes the store silent for `length` after `calm`, changes the configuration and
/// removes a target meanwhile, and asserts that every VM learns of both in time.
fn lose_answers(count: u16, calm: Duration, length: Duration, timing: Timing) {
    let mut fleet = Fleet::new(count, calm.as_millis() as u64);
    fleet.pass(ms(5000) + calm);
    assert!(fleet.without_version(3).is_empty());
    let change = |fleet: &mut Fleet| {
        fleet.store.put("config", "4");
        fleet.store.remove("target/desk-1");
    };
    fleet.store.is_silent = true;
    // The answers to the watches are lost, as the change comes while they are.
    fleet.pass(ms(5));
    if let Timing::Begin = timing {
        change(&mut fleet);
    }
    fleet.pass(length);
    if let Timing::End = timing {
        change(&mut fleet);
        fleet.pass(ms(5));
    }
    fleet.store.is_silent = false;
    fleet.pass(CATCH_UP_LIMIT);
    let behind = fleet.without_version(4);
    let context = format!("{count} VMs, calm {calm:?}, silent for {length:?}");
    assert!(behind.is_empty(), "{context}: behind are {behind:?}");
    fleet.pass(ms(2500));
    assert!(!fleet.vms.iter().any(|vm| vm.has_target("desk-1")), "{context}");
}

/// Plays an outage of `length` at many times of a round of watches.
fn lose_answers_at_any_time(count: u16, length: Duration, timing: Timing) {
    for calm in (0..20).map(|step| ms(step * 710)) {
        lose_answers(count, calm, length, timing);
    }
}

/// Ends all of 19 VMs but those with the numbers `left` and makes the store silent for half
/// a second, `pause` later, so that the answers to all watches are lost. Asserts that a
/// change after the time in which the store counts as undisturbed is known in time.
fn lose_most_vms(left: &[usize], calm: Duration, pause: Duration) {
    let mut fleet = Fleet::new(19, calm.as_millis() as u64);
    fleet.pass(ms(10_000) + calm);
    fleet.keep_only(left);
    fleet.pass(pause);
    fleet.store.is_silent = true;
    fleet.pass(ms(5));
    fleet.store.put("target/desk-2", "desk");
    fleet.pass(ms(500));
    fleet.store.is_silent = false;
    fleet.pass(ms(4200));
    fleet.store.put("config", "4");
    fleet.pass(CATCH_UP_LIMIT);
    let behind = fleet.without_version(4);
    assert!(behind.is_empty(), "left {left:?}, calm {calm:?}: behind are {behind:?}");
}

/// Plays the loss of most VMs at many times of a round of watches.
fn lose_most_vms_at_any_time(left: &[usize]) {
    for calm in (0..20).map(|step| ms(step * 710)) {
        lose_most_vms(left, calm, ms(4000));
        lose_most_vms(left, calm, ms(0));
    }
}

cases! {
    // Guards against a VM that waits for watches and news of VMs that are gone, and keeps
    // old routes behind one lost answer of the store (review/4).
    a_vm_that_is_left_alone_misses_no_change => {
        lose_most_vms_at_any_time(&[18]);
        lose_most_vms_at_any_time(&[0]);
    };
    // Guards against the same where the VMs that are left tell each other too late.
    a_few_vms_that_are_left_miss_no_change => {
        lose_most_vms_at_any_time(&[2, 5]);
        lose_most_vms_at_any_time(&[0, 3, 6, 9, 12]);
    };
    // Guards against confirmations that cost more calls than they save.
    vms_that_are_left_call_the_store_at_a_bounded_rate => {
        for left in [&[18][..], &[2, 5], &[0, 3, 6, 9, 12]] {
            let mut fleet = Fleet::new(19, 1);
            fleet.pass(ms(15_000));
            fleet.keep_only(left);
            let before = fleet.count_calls();
            fleet.pass(ms(30_000));
            // Two calls a second in all, as of a whole fleet.
            let calls = fleet.count_calls() - before;
            assert!(calls <= 60 + 19, "left {left:?}: {calls}");
        }
    };
    a_short_silence_hides_no_change => {
        lose_answers_at_any_time(19, ms(300), Timing::Begin);
        lose_answers_at_any_time(19, ms(1300), Timing::End);
    };
    a_long_silence_hides_no_change => {
        lose_answers_at_any_time(19, ms(4500), Timing::Begin);
        lose_answers_at_any_time(19, ms(4500), Timing::End);
    };
    a_fleet_of_one_or_two_misses_no_change => {
        for count in [1, 2] {
            for length in [ms(300), ms(1900), ms(4500), ms(9000)] {
                lose_answers_at_any_time(count, length, Timing::Begin);
            }
        }
    };
    a_fleet_of_a_hundred_misses_no_change => {
        lose_answers(100, ms(3000), ms(1000), Timing::Begin);
        lose_answers(100, ms(9000), ms(4500), Timing::End);
    };
    watches_are_renewed_at_a_bounded_rate => {
        let mut fleet = Fleet::new(19, 1);
        fleet.pass(ms(15_000));
        let before = fleet.count_calls();
        fleet.pass(ms(30_000));
        // One watch each 500 ms, and the watches that were open at the start.
        let calls = fleet.count_calls() - before;
        assert!(calls <= 60 + 19, "{calls}");
    };
    a_refusing_store_is_called_by_each_vm_about_once_a_second => {
        let mut fleet = Fleet::new(19, 1);
        fleet.pass(ms(15_000));
        fleet.store.is_down = true;
        fleet.pass(ms(2000));
        let before = fleet.count_calls();
        fleet.pass(ms(20_000));
        let calls = fleet.count_calls() - before;
        assert!(calls <= 19 * 40, "{calls}");
    };
    a_doubt_of_one_vm_costs_the_others_one_call_each => {
        let mut fleet = Fleet::new(19, 1);
        fleet.pass(ms(15_000));
        fleet.store.put("config", "4");
        fleet.pass(ms(1000));
        let before = fleet.count_calls();
        let doubt = announcement(Position::default(), Reason::Doubt);
        fleet.announce_to_first(doubt);
        fleet.pass(ms(400));
        let calls = fleet.count_calls() - before;
        assert!(calls <= 19 + 2, "{calls}");
        assert!(fleet.vms.iter().all(|vm| vm.view.is_current));
    };
}
