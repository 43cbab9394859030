//! Membership: every VM sees which VMs are live, and is ready only when it can
//! know the revision in force.

use std::time::Duration;

use laburnum_core::{
    control::{Event, Request},
    log,
    name::Name,
    notice::Report,
    view::State,
};

use crate::{fixture::vm, platform::Mode, world::World};

/// The time within which all VMs see a VM that joins as live.
const JOIN_LIMIT: Duration = Duration::from_secs(3);

fn settled(count: usize, seed: u64) -> World {
    let mut world = World::new(count, seed);
    assert!(world.run_until(JOIN_LIMIT, World::settled).is_some());
    world.run_for(Duration::from_secs(5));
    world
}

fn state(world: &World, at: &Name, of: &Name) -> Option<State> {
    world.view(at).vms.get(of).map(|vm| vm.state)
}

fn logged(world: &World, at: &Name, event: log::Event) -> bool {
    world.nodes[at].lines.iter().any(|line| line.event == event)
}

cases! {
    vms_that_start_together_find_each_other => {
        assert!(World::new(19, 1).run_until(JOIN_LIMIT, World::settled).is_some());
    };
    a_vm_that_joins_is_seen_by_all_before_the_list_shows_it => {
        let mut world = settled(19, 2);
        let listed = world.platform.vms.clone();
        world.start(&vm(19));
        world.platform.vms = listed;
        assert!(world.run_until(JOIN_LIMIT, World::settled).is_some());
    };
    a_vm_that_joins_while_the_platform_is_down_finds_the_others_by_its_settings => {
        let mut world = settled(5, 3);
        world.platform.mode = Mode::Down;
        world.start_with(&vm(5), &[vm(0), vm(1)]);
        assert!(world.run_until(Duration::from_secs(10), World::settled).is_some());
    };
    a_vm_that_joins_and_reaches_nobody_is_not_ready => {
        let mut world = settled(5, 4);
        world.platform.mode = Mode::Down;
        world.start_with(&vm(5), &[]);
        world.run_for(Duration::from_secs(30));
        assert!(!world.view(&vm(5)).ready);
    };
    a_dead_vm_is_gone_everywhere => {
        let mut world = settled(19, 5);
        world.kill(&vm(7));
        let took = world.run_until(Duration::from_secs(20), |world| {
            world.all(|view| !view.vms.contains_key(&vm(7)))
        });
        assert!(took.is_some());
    };
    a_report_of_an_unreachable_vm_makes_it_suspect_within_a_second => {
        let mut world = settled(19, 6);
        world.kill(&vm(7));
        world.report(&vm(0), Report::Unreachable { vm: vm(7) });
        let took = world.run_until(Duration::from_secs(1), |world| {
            world.all(|view| view.vms.get(&vm(7)).is_none_or(|vm| vm.state != State::Live))
        });
        assert!(took.is_some());
    };
    a_false_report_of_an_unreachable_vm_changes_nothing => {
        let mut world = settled(19, 7);
        world.report(&vm(0), Report::Unreachable { vm: vm(7) });
        world.run_for(Duration::from_secs(3));
        assert!(world.settled());
        assert!(!logged(&world, &vm(0), log::Event::VmSuspect));
    };
    one_cut_path_makes_no_vm_suspect => {
        let mut world = settled(19, 8);
        world.network.cut(&vm(0), &vm(1));
        world.network.cut(&vm(1), &vm(0));
        world.run_for(Duration::from_secs(60));
        assert!(world.settled());
        assert!(world.nodes.keys().all(|at| !logged(&world, at, log::Event::VmSuspect)));
    };
    a_vm_that_is_called_suspect_refutes_it => {
        let mut world = settled(5, 9);
        let before = world.view(&vm(1)).vms[&vm(3)].incarnation;
        world.pause(&vm(3), Duration::from_millis(1800));
        world.run_for(Duration::from_millis(100));
        world.report(&vm(0), Report::Unreachable { vm: vm(3) });
        world.run_for(Duration::from_millis(1300));
        assert_eq!(state(&world, &vm(0), &vm(3)), Some(State::Suspect));
        world.run_for(Duration::from_secs(2));
        assert!(world.settled());
        assert!(world.view(&vm(1)).vms[&vm(3)].incarnation > before);
        assert!(world.nodes.keys().all(|at| !logged(&world, at, log::Event::VmGone)));
    };
    a_paused_vm_takes_a_new_incarnation_and_is_not_ready_until_it_has_confirmed => {
        let mut world = settled(5, 10);
        let before = world.view(&vm(3)).vms[&vm(3)].incarnation;
        world.isolate(&vm(3));
        world.platform.mode = Mode::Down;
        world.pause(&vm(3), Duration::from_secs(60));
        world.run_for(Duration::from_secs(61));
        assert!(logged(&world, &vm(3), log::Event::VmResumed));
        assert!(!world.view(&vm(3)).ready);
        world.network.heal();
        assert!(world.run_until(Duration::from_secs(10), World::settled).is_some());
        assert!(world.view(&vm(0)).vms[&vm(3)].incarnation > before);
    };
    a_vm_that_restarts_under_its_name_replaces_its_earlier_start => {
        let mut world = settled(5, 11);
        let before = world.view(&vm(0)).vms[&vm(2)].incarnation;
        world.start(&vm(2));
        assert!(world.run_until(JOIN_LIMIT, |world| {
            world.settled()
                && world.all(|view| view.vms[&vm(2)].incarnation > before)
        }).is_some());
    };
    a_vm_that_leaves_is_known_to_leave_within_a_second => {
        let mut world = settled(19, 12);
        // Gossip about the starts must end first: its content is read when it
        // is sent, so it would pass on the leaving as well.
        world.run_for(Duration::from_secs(20));
        world.tick_vm(&vm(4), vec![Event::Leave]);
        let took = world.run_until(Duration::from_secs(1), |world| {
            world.all(|view| view.vms[&vm(4)].state == State::Leaving)
        });
        assert!(took.is_some());
        assert!(!world.view(&vm(4)).ready && world.view(&vm(4)).leaving);
    };
    a_vm_that_is_cut_off_is_not_ready_and_comes_back => {
        let mut world = settled(19, 13);
        world.isolate(&vm(6));
        world.platform.mode = Mode::Down;
        world.run_for(Duration::from_secs(60));
        assert!(!world.view(&vm(6)).ready);
        assert!(!world.view(&vm(0)).vms.contains_key(&vm(6)));
        world.network.heal();
        world.platform.mode = Mode::Up;
        assert!(world.run_until(Duration::from_secs(20), World::settled).is_some());
    };
    two_halves_that_lose_each_other_for_an_hour_find_each_other_again => {
        let mut world = settled(10, 14);
        for a in 0..5 {
            for b in 5..10 {
                world.network.cut(&vm(a), &vm(b));
                world.network.cut(&vm(b), &vm(a));
            }
        }
        world.run_for(Duration::from_secs(3600));
        assert!(world.all(|view| view.ready && view.vms.len() == 5));
        world.network.heal();
        assert!(world.run_until(Duration::from_secs(20), World::settled).is_some());
    };
    a_vm_that_receives_nothing_but_can_send_is_not_ready => {
        let mut world = settled(5, 15);
        for other in [0, 1, 2, 4] {
            world.network.cut(&vm(other), &vm(3));
        }
        world.platform.mode = Mode::Down;
        world.run_for(Duration::from_secs(30));
        assert!(!world.view(&vm(3)).ready);
    };
    the_list_of_vms_has_a_row_for_each_vm => {
        let mut world = settled(5, 16);
        let id = world.submit(&vm(0), Request::Vms);
        let laburnum_core::control::Answer::Vms(rows) = world.answer(id) else { panic!() };
        assert_eq!(rows.len(), 5);
    };
}
