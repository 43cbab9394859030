//! Publication of profiles: operators get a correct answer on the outcome, and
//! a revision in force is never replaced by a lower one.

use std::time::Duration;

use laburnum_core::{
    control::{Answer, Request, RequestId, codec},
    log,
    name::Name,
    profile::Revision,
    view::State,
};

use crate::{
    fixture::{name, profiles, team, vm},
    platform::Mode,
    world::World,
};

/// The time within which an accepted revision is in force on every VM.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

fn settled(count: usize, seed: u64) -> World {
    let mut world = World::new(count, seed);
    assert!(world.run_until(Duration::from_secs(3), World::settled).is_some());
    world.run_for(Duration::from_secs(3));
    world
}

fn expect_accepted(world: &mut World, id: RequestId) -> Revision {
    match world.answer(id) {
        Answer::Accepted { revision, .. } => revision,
        answer => panic!("{answer:?}"),
    }
}

fn run_until_in_force(world: &mut World, revision: Revision) -> Option<Duration> {
    world.run_until(IN_FORCE_LIMIT, |world| world.all(|view| view.document.revision == revision))
}

fn publish(world: &mut World, at: &Name, mark: u32) -> Revision {
    let id = world.publish(at, mark, None);
    expect_accepted(world, id)
}

/// Pauses a VM, publishes through another one when `after` has passed, and
/// checks that the resumed VM is not ready before it has the new revision.
fn pause_and_publish(paused: usize, after: Duration) {
    let mut world = settled(5, 14);
    let (paused, other) = (vm(paused), vm((paused + 1) % 5));
    publish(&mut world, &other, 7);
    world.run_for(IN_FORCE_LIMIT);
    world.pause(&paused, Duration::from_secs(60));
    world.run_for(after);
    let revision = publish(&mut world, &other, 8);
    let resumed = |world: &World| {
        world.nodes[&paused].lines.iter().any(|line| line.event == log::Event::VmResumed)
    };
    world.run_until(Duration::from_secs(100), resumed).unwrap();
    assert!(!world.view(&paused).ready);
    world.run_until(Duration::from_secs(10), |world| world.view(&paused).ready).unwrap();
    assert_eq!(world.revision(&paused), revision);
}

cases! {
    an_accepted_revision_is_in_force_everywhere => {
        let mut world = settled(19, 1);
        let revision = publish(&mut world, &vm(3), 7);
        assert_eq!(revision, Revision(1));
        assert!(run_until_in_force(&mut world, revision).is_some());
        assert_eq!(world.document(&vm(11)).profiles, profiles(7));
    };
    it_is_in_force_everywhere_with_one_vm_cut_off_from_the_publisher => {
        let mut world = settled(19, 2);
        world.network.cut(&vm(3), &vm(9));
        world.network.cut(&vm(9), &vm(3));
        let revision = publish(&mut world, &vm(3), 7);
        assert!(run_until_in_force(&mut world, revision).is_some());
    };
    it_is_in_force_everywhere_when_the_platform_goes_down_after_the_acceptance => {
        let mut world = settled(19, 3);
        let revision = publish(&mut world, &vm(3), 7);
        world.platform.mode = Mode::Down;
        assert!(run_until_in_force(&mut world, revision).is_some());
    };
    of_two_operators_who_race_one_wins_and_the_other_is_told_the_difference => {
        let mut world = settled(19, 4);
        let first = world.publish(&vm(1), 7, Some(Revision(0)));
        let second = world.publish(&vm(2), 8, Some(Revision(0)));
        let answers = [world.answer(first), world.answer(second)];
        let winners = answers.iter().filter(|a| matches!(a, Answer::Accepted { .. })).count();
        assert_eq!(winners, 1, "{answers:?}");
        let lost = answers.iter().find_map(|answer| match answer {
            Answer::Conflict { winner, changes, .. } => Some((*winner, changes.clone())),
            _ => None,
        });
        let (winner, changes) = lost.unwrap();
        assert_eq!(winner, Revision(1));
        assert_eq!(changes.len(), 1);
        assert_eq!(changes[0].field.as_deref(), Some("concurrency"));
        assert_eq!(world.platform.writes, 1);
    };
    an_operator_who_expects_another_revision_is_told_the_difference => {
        let mut world = settled(5, 5);
        publish(&mut world, &vm(0), 7);
        let id = world.publish(&vm(1), 8, Some(Revision(0)));
        let answer = world.answer(id);
        assert!(matches!(answer, Answer::Conflict { winner: Revision(1), .. }), "{answer:?}");
    };
    a_lost_answer_is_settled_by_the_own_token => {
        let mut world = settled(5, 6);
        publish(&mut world, &vm(0), 7);
        world.platform.mode = Mode::ReplyLost;
        let id = world.publish(&vm(1), 8, None);
        world.run_for(Duration::from_millis(10));
        world.platform.mode = Mode::Up;
        assert_eq!(expect_accepted(&mut world, id), Revision(2));
    };
    a_write_whose_answer_was_lost_is_accepted_and_written_once => {
        let mut world = settled(5, 7);
        publish(&mut world, &vm(0), 7);
        let id = world.publish(&vm(1), 8, None);
        world.run_until(Duration::from_secs(1), |world| {
            world.platform.values.contains_key(&codec::history_key(1))
        });
        world.platform.mode = Mode::ReplyLost;
        world.run_for(Duration::from_millis(500));
        assert_eq!(world.platform.writes, 2);
        world.platform.mode = Mode::Up;
        assert_eq!(expect_accepted(&mut world, id), Revision(2));
        assert_eq!(world.platform.writes, 2);
    };
    a_lost_answer_is_settled_after_another_publication => {
        let mut world = settled(5, 8);
        publish(&mut world, &vm(0), 7);
        let id = world.publish(&vm(1), 8, None);
        world.run_until(Duration::from_secs(1), |world| {
            world.platform.values.contains_key(&codec::history_key(1))
        });
        world.platform.mode = Mode::ReplyLost;
        world.run_for(Duration::from_millis(500));
        world.platform.mode = Mode::Up;
        let winner = publish(&mut world, &vm(2), 9);
        assert_eq!(winner, Revision(3));
        assert_eq!(expect_accepted(&mut world, id), Revision(2));
    };
    a_publication_that_is_not_settled_is_settled_by_its_token => {
        let mut world = settled(5, 9);
        publish(&mut world, &vm(0), 7);
        let id = world.publish(&vm(1), 8, None);
        world.run_until(Duration::from_secs(1), |world| {
            world.platform.values.contains_key(&codec::history_key(1))
        });
        world.platform.mode = Mode::ReplyLost;
        let Answer::Unsettled { token } = world.answer(id) else { panic!() };
        world.platform.mode = Mode::Up;
        let id = world.submit(&vm(4), Request::Settle { token });
        assert_eq!(expect_accepted(&mut world, id), Revision(2));
    };
    a_refusal_after_a_lost_answer_settles_nothing => {
        let mut world = settled(5, 28);
        publish(&mut world, &vm(0), 7);
        let id = world.publish(&vm(1), 8, None);
        world.run_until(Duration::from_secs(1), |world| {
            world.platform.values.contains_key(&codec::history_key(1))
        });
        world.platform.mode = Mode::ReplyLost;
        world.run_for(Duration::from_millis(500));
        world.platform.mode = Mode::Refusing;
        let answer = world.answer(id);
        assert!(matches!(answer, Answer::Unsettled { .. }), "{answer:?}");
    };
    a_paused_vm_that_learns_the_list_but_no_revision_is_not_ready => {
        let mut world = settled(5, 29);
        world.platform.mode = Mode::ListOnly;
        world.isolate(&vm(3));
        world.pause(&vm(3), Duration::from_millis(2500));
        world.run_for(Duration::from_secs(4));
        assert!(world.nodes[&vm(3)].engine.tables().targets.list_age.is_some());
        assert!(!world.view(&vm(3)).ready);
    };
    a_publication_that_never_arrived_is_prevented_before_it_is_reported_as_not_published => {
        let mut world = settled(5, 10);
        publish(&mut world, &vm(0), 7);
        let id = world.publish(&vm(1), 8, None);
        world.run_until(Duration::from_secs(1), |world| {
            world.platform.values.contains_key(&codec::history_key(1))
        });
        world.platform.mode = Mode::Down;
        let Answer::Unsettled { token } = world.answer(id) else { panic!() };
        world.platform.mode = Mode::Up;
        let before = world.platform.values[codec::CURRENT_KEY].version;
        let id = world.submit(&vm(4), Request::Settle { token });
        assert_eq!(world.answer(id), Answer::NotPublished { current: Revision(1) });
        assert!(world.platform.values[codec::CURRENT_KEY].version > before);
    };
    a_publication_while_the_platform_is_down_is_refused_and_changes_nothing => {
        let mut world = settled(5, 11);
        world.platform.mode = Mode::Down;
        let id = world.publish(&vm(1), 8, None);
        let answer = world.answer(id);
        assert!(matches!(answer, Answer::Failed(_)), "{answer:?}");
        world.platform.mode = Mode::Up;
        world.run_for(IN_FORCE_LIMIT);
        assert_eq!(world.platform.writes, 0);
    };
    a_vm_that_learns_the_list_but_no_revision_is_not_ready => {
        let mut world = settled(5, 26);
        publish(&mut world, &vm(0), 7);
        world.platform.mode = Mode::ListOnly;
        world.start(&vm(5));
        world.isolate(&vm(5));
        world.run_for(Duration::from_secs(30));
        assert!(world.view(&vm(5)).targets.len() == 2 && !world.view(&vm(5)).ready);
    };
    vms_that_know_no_confirmed_revision_do_not_make_each_other_ready => {
        let mut world = World::empty(27);
        world.platform.mode = Mode::ListOnly;
        (0..5).for_each(|number| world.start(&vm(number)));
        world.run_for(Duration::from_secs(30));
        assert!(world.all(|view| view.vms.len() == 5 && !view.ready));
        world.platform.mode = Mode::Up;
        assert!(world.run_until(Duration::from_secs(5), World::settled).is_some());
    };
    a_vm_that_starts_while_the_platform_is_down_learns_the_highest_revision_first => {
        let mut world = settled(5, 12);
        let revision = publish(&mut world, &vm(0), 7);
        world.run_for(IN_FORCE_LIMIT);
        world.platform.mode = Mode::Down;
        world.start_with(&vm(5), &[vm(1), vm(2)]);
        let ready = world.run_until(Duration::from_secs(20), |world| {
            world.nodes[&vm(5)].view.as_ref().is_some_and(|view| view.ready)
        });
        assert!(ready.is_some());
        assert_eq!(world.revision(&vm(5)), revision);
    };
    a_vm_is_never_ready_with_an_older_revision_than_it_could_learn => {
        let mut world = settled(5, 13);
        let revision = publish(&mut world, &vm(0), 7);
        world.run_for(IN_FORCE_LIMIT);
        world.start(&vm(5));
        world.run_until(Duration::from_secs(3), |world| {
            world.nodes[&vm(5)].view.as_ref().is_some_and(|view| view.ready)
        }).unwrap();
        assert_eq!(world.revision(&vm(5)), revision);
    };
    a_paused_vm_takes_the_newer_revision_before_it_is_ready => {
        (0..5).for_each(|paused| pause_and_publish(paused, Duration::from_secs(1)));
        (0..5).for_each(|paused| pause_and_publish(paused, Duration::from_secs(10)));
    };
    a_vm_that_was_cut_off_takes_the_newer_revision_when_it_is_back => {
        let mut world = settled(19, 15);
        world.isolate(&vm(6));
        let revision = publish(&mut world, &vm(0), 7);
        world.run_for(Duration::from_secs(30));
        world.network.heal();
        let took =
            world.run_until(Duration::from_secs(10), |world| world.revision(&vm(6)) == revision);
        assert!(took.is_some());
    };
    a_revision_that_the_service_lost_stays_in_force => {
        let mut world = settled(5, 16);
        publish(&mut world, &vm(0), 7);
        let revision = publish(&mut world, &vm(0), 8);
        world.run_for(IN_FORCE_LIMIT);
        world.platform.values.remove(codec::CURRENT_KEY);
        world.run_for(Duration::from_secs(10));
        assert!(world.all(|view| view.document.revision == revision));
        assert_eq!(publish(&mut world, &vm(1), 9), Revision(3));
    };
    an_earlier_revision_at_the_service_replaces_no_later_one => {
        let mut world = settled(5, 24);
        publish(&mut world, &vm(0), 7);
        let earlier = world.platform.values[codec::CURRENT_KEY].value.clone();
        let revision = publish(&mut world, &vm(0), 8);
        world.run_for(IN_FORCE_LIMIT);
        world.platform.values.get_mut(codec::CURRENT_KEY).unwrap().value = earlier;
        world.run_for(Duration::from_secs(30));
        let id = world.submit(&vm(1), Request::Show);
        world.answer(id);
        assert!(world.all(|view| view.document.revision == revision));
    };
    a_profile_of_another_team_is_not_changed => {
        let mut world = settled(5, 25);
        publish(&mut world, &vm(0), 7);
        let (profiles, who, team) = (profiles(8), "operator".to_owned(), name("billing"));
        let request = Request::Publish { profiles, expect: None, who, team, dry_run: false };
        let id = world.submit(&vm(1), request);
        assert!(matches!(world.answer(id), Answer::Failed(_)));
        assert_eq!(world.platform.writes, 1);
    };
    a_dry_run_writes_nothing => {
        let mut world = settled(5, 17);
        let profiles = profiles(7);
        let who = "operator".to_owned();
        let request = Request::Publish { profiles, expect: None, who, team: team(), dry_run: true };
        let id = world.submit(&vm(0), request);
        assert!(matches!(world.answer(id), Answer::Planned { revision: Revision(1), .. }));
        assert_eq!(world.platform.writes, 0);
    };
    a_roll_back_is_a_new_revision => {
        let mut world = settled(5, 18);
        publish(&mut world, &vm(0), 7);
        publish(&mut world, &vm(1), 8);
        let who = "operator".to_owned();
        let id = world.submit(&vm(2), Request::Rollback { to: Revision(1), expect: None, who, team: team() });
        assert_eq!(expect_accepted(&mut world, id), Revision(3));
        assert_eq!(world.document(&vm(2)).profiles, profiles(7));
    };
    every_revision_is_in_the_history_with_its_publisher_and_changes => {
        let mut world = settled(5, 19);
        for mark in 7..10 {
            publish(&mut world, &vm(0), mark);
        }
        let id = world.submit(&vm(4), Request::History);
        let Answer::History(audits) = world.answer(id) else { panic!() };
        let who: Vec<&str> = audits.iter().map(|audit| audit.who.as_str()).collect();
        assert_eq!(who, ["operator-7", "operator-8", "operator-9"]);
        assert_eq!(audits[2].changes.as_ref().unwrap().len(), 1);
    };
    the_history_is_kept_within_its_limit => {
        let mut world = World::empty(20);
        world.limits.max_history = 3;
        (0..3).for_each(|number| world.start(&vm(number)));
        world.run_for(Duration::from_secs(3));
        for mark in 1..10 {
            publish(&mut world, &vm(0), mark);
        }
        world.run_for(Duration::from_secs(1));
        let kept = world.platform.values.keys().filter(|key| key.starts_with(codec::HISTORY));
        assert_eq!(kept.count(), 3);
    };
    the_status_tells_where_a_revision_is_in_force => {
        let mut world = settled(19, 21);
        let revision = publish(&mut world, &vm(0), 7);
        world.run_for(Duration::from_secs(10));
        let id = world.submit(&vm(5), Request::Status);
        let Answer::Status(status) = world.answer(id) else { panic!() };
        assert_eq!((status.revision, status.in_force), (revision, 19));
        assert!(status.vms.iter().all(|row| !row.silent));
    };
    a_vm_whose_revision_is_unknown_is_not_counted_as_having_it => {
        let mut world = settled(5, 22);
        world.isolate(&vm(4));
        let revision = publish(&mut world, &vm(0), 7);
        world.run_for(Duration::from_millis(500));
        let id = world.submit(&vm(0), Request::Status);
        let Answer::Status(status) = world.answer(id) else { panic!() };
        assert_eq!((status.revision, status.in_force), (revision, 4));
    };
    the_age_of_a_vm_grows_only_while_nobody_reaches_the_service => {
        let mut world = settled(19, 23);
        world.run_for(Duration::from_secs(30));
        let oldest = |world: &World| {
            let ages = world.nodes.values().map(|node| {
                node.engine.tables().in_force.confirmed.map(|age| age.at(world.now))
            });
            ages.max().flatten().unwrap()
        };
        assert!(oldest(&world) < Duration::from_secs(6), "{:?}", oldest(&world));
        world.platform.mode = Mode::Down;
        world.run_for(Duration::from_secs(60));
        assert!(oldest(&world) > Duration::from_secs(59), "{:?}", oldest(&world));
        assert!(world.all(|view| view.ready));
        assert!(world.all(|view| view.vms.values().all(|vm| vm.state == State::Live)));
    };
}
