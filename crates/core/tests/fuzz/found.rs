//! Cases that the fuzzing of whole VMs found.

use std::time::Duration;

use proptest_state_machine::StateMachineTest;

use crate::{
    fleet::WholeVm,
    reference::{Action, Reference, Step},
    world::platform::{Drill, Mode, Numbering, Open},
};

const MS: Duration = Duration::from_millis(1);

/// Plays the steps to a fleet of whole VMs, as the fuzzing does.
fn play(numbering: Numbering, steps: Vec<Step>) {
    let mut reference = Reference { numbering, ..Reference::new() };
    let mut fleet = WholeVm::init_test(&reference);
    for step in steps {
        reference = reference.apply(&step);
        fleet = WholeVm::apply(fleet, &reference, step);
    }
    WholeVm::teardown(fleet, reference);
}

/// Returns of the platform's service at once, from a copy of this age.
fn drill(open: Open, age: Duration) -> Action {
    Action::Drill(Drill { open, away: Duration::ZERO, age, rewrite: Duration::ZERO })
}

/// Two VMs start after a return of the service, one of them before the service answers.
fn homes_that_start_after_a_return() -> Vec<Step> {
    vec![
        (Action::Store(Mode::Down), 2_220),
        (Action::Start { vm: 1 }, 174_772),
        (drill(Open::Ends, Duration::ZERO), 0),
        (Action::Cut { from: 1, to: 0 }, 4_173_858),
        (Action::Start { vm: 3 }, 10_000_000),
    ]
}

/// A home learns that another VM wrote a bucket while its own write of it is under way.
fn home_told_of_a_write_during_its_own() -> Vec<Step> {
    let search = Action::Search { vm: 0, is_full_coverage: false };
    vec![
        (Action::StoreSlow { delay_millis: 347 }, 0),
        (Action::Store(Mode::Late), 3_000),
        (Action::Operate { vm: 0, subject: 0 }, 2_703),
        (search.clone(), 2_524_038),
        (search.clone(), 187_880),
        (Action::Start { vm: 2 }, 2_985),
        (search, 382_394),
        (Action::Resend { vm: 0, operation: 0 }, 500),
    ]
}

/// Two publications through one VM, of which the service loses the first as it answers it;
/// the second is written in the next era.
fn publications_across_a_return() -> Vec<Step> {
    vec![
        (Action::StoreSlow { delay_millis: 61 }, 0),
        (Action::Publish { vm: 0, expect: false }, 101),
        (Action::Publish { vm: 0, expect: false }, 3_974),
        (Action::HealLinks, 117_925),
        (drill(Open::Outdated, Duration::ZERO), 0),
    ]
}

/// A request that crashes its targets, after a VM left and another lost its connections.
fn poison_after_a_vm_left() -> Vec<Step> {
    let search = |vm| Action::Search { vm, is_full_coverage: false };
    vec![
        (Action::Straggle { target: (1, 1), service_millis: 232 }, 0),
        (Action::Operate { vm: 0, subject: 0 }, 359_244),
        (search(0), 0),
        (Action::Crash((1, 0)), 0),
        (search(0), 0),
        (Action::Leave { vm: 1 }, 24),
        (Action::Settle { vm: 2 }, 191_529),
        (Action::Resend { vm: 2, operation: 0 }, 2_082),
        (search(2), 939),
        (Action::LoseConnections { vm: 3 }, 236_942),
        (Action::Poison { vm: 0 }, 37_211),
    ]
}

/// A target drains while a VM is paused that others reach late, or not at all.
fn drain_during_a_pause() -> Vec<Step> {
    let search = |vm| Action::Search { vm, is_full_coverage: false };
    vec![
        (search(0), 500),
        (Action::Pause { vm: 1, span_millis: 2700 }, 0),
        (Action::Slow { from: 2, to: 1, delay_millis: 94 }, 194_023),
        (Action::Slow { from: 3, to: 1, delay_millis: 86 }, 395_939),
        (search(1), 0),
        (Action::Drain((1, 0)), 0),
        (Action::Cut { from: 0, to: 1 }, 3_030_519),
        (search(0), 0),
    ]
}

/// Publications across a return of the service, of which one gets the next revision before
/// its operator is answered.
fn publication_that_gets_the_next_revision() -> Vec<Step> {
    let publish = |expect| Action::Publish { vm: 0, expect };
    vec![
        (Action::StoreSlow { delay_millis: 5 }, 0),
        (publish(false), 0),
        (Action::Poison { vm: 0 }, 2_771),
        (Action::StoreSlow { delay_millis: 617 }, 0),
        (Action::Slow { from: 1, to: 0, delay_millis: 169 }, 116_042),
        (publish(false), 26_093),
        (Action::Cut { from: 3, to: 1 }, 3_963),
        (publish(false), 2_821),
        (Action::Crash((0, 0)), 112_654),
        (Action::Crash((0, 0)), 0),
        (Action::Skew { vm: 0, skew_millis: -1943 }, 0),
        (drill(Open::Ends, 643 * MS), 0),
        (Action::Crash((0, 0)), 2_538),
        (publish(true), 354_118),
    ]
}

/// Publications across a return of the service, of which one is replaced before its operator
/// is answered, while the history has another one of its revision.
fn publication_beside_another_of_its_revision() -> Vec<Step> {
    let publish = || Action::Publish { vm: 0, expect: false };
    vec![
        (Action::Pause { vm: 0, span_millis: 1 }, 355_474),
        (Action::StoreSlow { delay_millis: 322 }, 950_527),
        (publish(), 0),
        (Action::Poison { vm: 0 }, 2_771),
        (Action::StoreSlow { delay_millis: 688 }, 0),
        (Action::Slow { from: 1, to: 0, delay_millis: 169 }, 116_042),
        (publish(), 68_562),
        (Action::Cut { from: 3, to: 1 }, 3_963),
        (publish(), 2_821),
        (Action::Crash((0, 0)), 112_654),
        (drill(Open::Ends, Duration::from_millis(985)), 0),
        (Action::Start { vm: 1 }, 3_523_728),
    ]
}

cases! {
    an_operator_whose_revision_was_given_out_twice_is_not_told_of_a_conflict => {
        play(Numbering::Key, publication_beside_another_of_its_revision());
    };
    an_operator_whose_publication_gets_the_next_revision_is_not_told_of_a_conflict => {
        play(Numbering::Key, publication_that_gets_the_next_revision());
    };
    a_target_that_drains_gets_no_late_work_of_a_vm_that_was_paused => {
        play(Numbering::Key, drain_during_a_pause());
    };
    nothing_is_lost_beside_a_suspect_after_a_vm_left => {
        play(Numbering::Key, poison_after_a_vm_left());
    };
    targets_that_the_list_calls_leaving_when_the_faults_end_are_replaced => {
        let leaving = |replica| Action::ListLeaving((0, replica));
        let kill = Action::Kill { vm: 0, noticed: false };
        let steps = vec![(leaving(1), 0), (kill, 254_109), (leaving(0), 0), (leaving(2), 0)];
        play(Numbering::Key, steps);
    };
    publications_across_the_return_of_the_store_get_no_revision_twice => {
        play(Numbering::Key, publications_across_a_return());
    };
    a_home_that_is_told_of_a_write_during_its_own_does_not_spin => {
        play(Numbering::Key, home_told_of_a_write_during_its_own());
    };
    new_keys_are_granted_by_homes_that_start_after_the_return_of_the_store => {
        play(Numbering::Key, homes_that_start_after_a_return());
    };
}
