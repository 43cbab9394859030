//! A target that is leaving gets no new work, whether the target itself,
//! another VM or the platform's list reports it first.

use std::time::Duration;

use laburnum_core::{
    notice::Report,
    view::{State, View},
};

use crate::fixture::{name, vm};
use crate::world::World;

/// The time within which a leaving target is known to every VM.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn settled(seed: u64) -> World {
    let mut world = World::new(19, seed);
    assert!(world.run_until(Duration::from_secs(3), World::settled).is_some());
    world.run_for(Duration::from_secs(3));
    world
}

fn leaving(view: &View) -> bool {
    view.targets[&name("r1")].state == State::Leaving
}

fn draining(incarnation: u64) -> Report {
    Report::Draining { target: name("r1"), incarnation }
}

fn serving(incarnation: u64) -> Report {
    Report::Serving { target: name("r1"), incarnation }
}

fn set_listed_state(world: &mut World, state: State) {
    world.platform.targets.get_mut(&name("r1")).unwrap().state = state;
}

fn check_vm_that_receives_from_one_other_only(seed: u64) {
    let mut world = settled(seed);
    for other in (0..19).filter(|&other| other != 7 && other != 8) {
        world.network.cut(&vm(other), &vm(7));
        world.network.cut(&vm(7), &vm(other));
    }
    world.run_for(Duration::from_secs(20));
    world.report(&vm(3), draining(5));
    assert!(world.run_until(DRAIN_LIMIT, |world| world.all(leaving)).is_some(), "seed {seed}");
}

cases! {
    the_announcement_of_a_target_is_in_force_at_once_and_everywhere_in_time => {
        let mut world = settled(1);
        world.report(&vm(3), draining(5));
        assert!(leaving(world.view(&vm(3))));
        assert!(world.run_until(DRAIN_LIMIT, |world| world.all(leaving)).is_some());
    };
    a_target_that_only_the_list_calls_leaving_is_leaving_everywhere => {
        let mut world = settled(2);
        set_listed_state(&mut world, State::Leaving);
        assert!(world.run_until(DRAIN_LIMIT, |world| world.all(leaving)).is_some());
    };
    the_announcement_of_a_peer_reaches_a_vm_that_receives_from_one_other_only => {
        (100..110).for_each(check_vm_that_receives_from_one_other_only);
    };
    a_list_that_lags_does_not_revoke_the_announcement_of_a_target => {
        let mut world = settled(4);
        world.report(&vm(3), draining(5));
        world.run_for(Duration::from_secs(30));
        assert!(world.all(leaving));
    };
    the_announcement_of_the_same_or_an_earlier_incarnation_revokes_nothing => {
        let mut world = settled(5);
        world.report(&vm(3), draining(5));
        world.run_for(DRAIN_LIMIT);
        world.report(&vm(4), serving(5));
        world.report(&vm(5), serving(4));
        world.run_for(DRAIN_LIMIT);
        assert!(world.all(leaving));
    };
    the_announcement_of_a_newer_incarnation_revokes_it_everywhere => {
        let mut world = settled(6);
        world.report(&vm(3), draining(5));
        world.run_for(DRAIN_LIMIT);
        world.report(&vm(4), serving(6));
        assert!(world.run_until(DRAIN_LIMIT, |world| world.all(|view| !leaving(view))).is_some());
    };
    the_announcement_of_a_newer_incarnation_overrides_a_list_that_lags => {
        let mut world = settled(7);
        world.report(&vm(3), serving(5));
        set_listed_state(&mut world, State::Leaving);
        world.run_for(DRAIN_LIMIT);
        assert!(world.all(leaving));
        world.report(&vm(3), serving(6));
        assert!(!leaving(world.view(&vm(3))));
    };
    the_announcement_of_the_listed_incarnation_does_not_override_the_list => {
        let mut world = settled(8);
        set_listed_state(&mut world, State::Leaving);
        world.run_for(DRAIN_LIMIT);
        world.report(&vm(3), serving(5));
        assert!(leaving(world.view(&vm(3))));
    };
    a_newer_incarnation_than_the_first_received_overrides_a_list_that_lags => {
        let mut world = settled(10);
        set_listed_state(&mut world, State::Leaving);
        world.run_for(DRAIN_LIMIT);
        world.report(&vm(3), serving(5));
        world.report(&vm(3), serving(6));
        assert!(!leaving(world.view(&vm(3))));
    };
    a_vm_that_was_cut_off_learns_of_a_drain_when_it_is_back => {
        let mut world = settled(9);
        world.isolate(&vm(7));
        world.report(&vm(3), draining(5));
        world.run_for(Duration::from_secs(60));
        world.network.heal();
        let took = world.run_until(Duration::from_secs(30), |world| leaving(world.view(&vm(7))));
        assert!(took.is_some());
    };
}
