//! Tests of what outlives a time in which the store was away, or its return from an older copy.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use laburnum_core::{
    digest::Fingerprint,
    log::Event as Logged,
    relay::{
        Answer, Event, Hop, View,
        feed::progress::Reason,
        hop,
        view::{Target, Vm},
    },
    store::{Call, Position},
};

use crate::{
    fleet::Fleet,
    harness::{Harness, ms, name, request, single, success},
    store::{LIMITS, STEP, World},
};

/// The time after an answer of the store within which everything that was missed is in force
/// (docs/design/platform.md).
const CATCH_UP_LIMIT: Duration = Duration::from_secs(2);

/// The time after its acknowledgement within which a version must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// The longest time without a confirmation after which a VM checks the store.
fn longest_reliance() -> Duration {
    LIMITS.confirmation_limit.mul_f64(1.2) + STEP
}

fn synced_world() -> World {
    let mut world = World::new();
    world.pass(ms(3000));
    assert!(world.own.feed.is_ready());
    world
}

/// Returns a world with so many VMs that a watch waits for several seconds.
fn world_with_long_watches() -> World {
    let mut world = synced_world();
    (0..20).for_each(|n| world.put(&format!("vm/other-{n}"), "170"));
    world.pass(ms(2000));
    world
}

/// Returns a world whose store has just come back without the entry of a target.
fn world_that_lost(key: &str) -> World {
    let mut world = synced_world();
    world.store.take_copy();
    world.put(key, "desk");
    world.pass(ms(1000));
    world.store.restore();
    world.own.end_calls();
    world
}

/// Passes `span`, and returns the number of ticks after which the feed asks to run again at
/// once although nothing has happened.
fn count_idle_wakes(world: &mut World, span: Duration) -> usize {
    let end = world.now + span;
    let mut count = 0;
    while world.now < end {
        let ticked_at = world.now;
        world.pass(STEP);
        count += usize::from(world.own.feed.wake().is_some_and(|at| at <= ticked_at));
    }
    count
}

/// Returns the number of checks of the store among the calls from number `from` on.
fn checks_since(world: &World, from: usize) -> usize {
    let is_check = |call: &Call| matches!(call, Call::Scan { prefix } if prefix == "vm/own");
    world.own.calls[from..].iter().filter(|(_, call)| is_check(call)).count()
}

fn entry_of(harness: &Harness, id: &str) -> Target {
    (*harness.engine.tables().view.targets[&name(id)]).clone()
}

fn with_target(harness: &Harness, id: &str, entry: Option<Target>) -> View {
    let mut view = (*harness.engine.tables().view).clone();
    match entry {
        Some(entry) => drop(view.targets.insert(name(id), Arc::new(entry))),
        None => drop(view.targets.remove(&name(id))),
    }
    view
}

cases! {
    a_vm_that_is_behind_a_silent_store_does_not_spin => {
        let mut world = synced_world();
        let own = world.position();
        world.store.is_silent = true;
        world.announce_at(Position { change: own.change + 5, ..own }, Reason::Change);
        let count = count_idle_wakes(&mut world, ms(6000));
        assert!(count <= 10, "{count} of 1200 ticks ask for another tick at once");
    };
    a_vm_that_knows_of_a_later_era_of_an_absent_store_does_not_spin => {
        let mut world = synced_world();
        world.store.is_down = true;
        world.announce_at(Position::new(1, 5), Reason::Change);
        let count = count_idle_wakes(&mut world, ms(6000));
        assert!(count <= 10, "{count} of 1200 ticks ask for another tick at once");
    };
    a_target_that_registers_again_while_it_runs_a_request_is_used_again => {
        let mut harness = Harness::with_route(single("desk"));
        harness.submit(request("/fetch/1"));
        let sent = harness.take_one_sent();
        let id = sent.target().to_owned();
        let other = if id == "desk-1" { "desk-2" } else { "desk-1" };
        let entry = entry_of(&harness, &id);
        harness.set_view(with_target(&harness, other, None));
        harness.set_view(with_target(&harness, &id, None));
        harness.set_view(with_target(&harness, &id, Some(entry)));
        harness.reply(&sent, success("d", 1));
        harness.advance(ms(60_000));
        let call = harness.submit(request("/fetch/2"));
        for connection in std::mem::take(&mut harness.opened) {
            harness.tick(vec![Event::Opened { connection }]);
        }
        assert_eq!(harness.take_sent().len(), 1, "{:?}", harness.answers.get(&call));
    };
    a_target_that_registers_again_while_it_runs_nothing_is_used_again => {
        let mut harness = Harness::with_route(single("desk"));
        let entry = entry_of(&harness, "desk-1");
        harness.set_view(with_target(&harness, "desk-2", None));
        harness.set_view(with_target(&harness, "desk-1", None));
        harness.set_view(with_target(&harness, "desk-1", Some(entry)));
        harness.open_first_connections();
        harness.submit(request("/fetch/2"));
        assert_eq!(harness.take_sent().len(), 1);
    };
    an_older_start_of_a_target_replaces_no_newer_one => {
        let mut world = synced_world();
        world.put("target/desk-1", "desk@1");
        world.store.take_copy();
        world.put("target/desk-1", "desk@2");
        world.pass(ms(1000));
        let born = |world: &World| world.own.view.targets[&name("desk-1")].born;
        assert_eq!(born(&world), 2);
        world.store.restore();
        world.own.end_calls();
        let end = world.now + ms(4500);
        while world.now < end {
            world.pass(STEP);
            assert_eq!(born(&world), 2);
        }
        world.put("target/desk-1", "desk@3");
        world.pass(ms(1000));
        assert_eq!(born(&world), 3);
    };
    a_larger_vm_that_was_behind_when_it_was_lost_is_asked_for_its_state => {
        let address = "10.1.0.1:7000".parse().unwrap();
        let vm = Vm { domain: name("near"), address, share: 500 };
        let mut harness = Harness::empty();
        harness.set_view(View { larger: BTreeMap::from([(name("a"), vm)]), ..View::default() });
        harness.submit(request("/fetch/1"));
        let Some((_, Hop::Request { id, .. })) = harness.hops.pop() else { panic!() };
        let answer = Answer::Forwarded(Box::new(success("d", 1)));
        let state = hop::State { is_current: true, version: 4 };
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::Answer { id, answer, state } }]);
        // It started anew and read the older configuration of the copy.
        let older = hop::State { is_current: true, version: 3 };
        harness.tick(vec![Event::Hop { from: name("a"), hop: Hop::State(older) }]);
        let lost = Event::HopLost { to: name("a"), detail: "reset".into(), maybe_received: true };
        harness.tick(vec![lost]);
        harness.advance(ms(10_000));
        assert!(!harness.asked.is_empty(), "it is never asked again");
    };
    a_second_return_gives_lost_targets_their_time_again => {
        let mut world = world_that_lost("target/back");
        world.pass(ms(2000));
        assert!(world.own.has_target("back"));
        world.store.restore();
        world.own.end_calls();
        let end = world.now + ms(1800);
        while world.now < end {
            world.pass(STEP);
            assert!(world.own.has_target("back"), "removed {:?} before its time ended", end.since(world.now));
        }
    };
    a_target_is_not_removed_while_the_store_cannot_say_that_it_is_back => {
        let mut world = world_that_lost("target/back");
        world.pass(ms(1000));
        assert!(world.own.has_target("back"));
        world.store.is_down = true;
        world.pass(ms(100));
        world.put("target/back", "desk");
        world.pass(ms(3000));
        assert!(world.own.has_target("back"), "it registered again 1.1 s after the return");
    };
    a_confirmation_that_is_older_than_what_was_read_confirms_nothing => {
        let mut world = world_with_long_watches();
        (0..20).for_each(|_| world.put("target/late", "desk"));
        world.pass(ms(2000));
        let own = world.position();
        world.own.lose_calls();
        let from = world.own.calls.len();
        let end = world.now + longest_reliance();
        while world.now < end {
            world.announce_at(Position { change: own.change - 10, ..own }, Reason::Confirmation);
            world.pass(ms(250));
        }
        assert!(checks_since(&world, from) > 0, "the silent watch was relied on all the while");
    };
    a_confirmation_of_an_ended_era_at_a_lower_number_confirms_nothing => {
        let mut world = world_with_long_watches();
        world.store.take_copy();
        world.store.restore();
        world.own.end_calls();
        world.pass(ms(1000));
        (0..20).for_each(|_| world.put("target/late", "desk"));
        world.pass(ms(2000));
        let own = world.position();
        assert_eq!(own.era.0, 1);
        world.own.lose_calls();
        let from = world.own.calls.len();
        let end = world.now + longest_reliance();
        while world.now < end {
            world.announce_at(Position::new(0, own.change - 10), Reason::Confirmation);
            world.pass(ms(250));
        }
        assert!(checks_since(&world, from) > 0, "the silent watch was relied on all the while");
    };
    a_watch_that_is_answered_in_the_next_era_hides_no_version => {
        let mut world = synced_world();
        world.store.take_copy();
        (0..10).for_each(|_| world.put("target/late", "desk"));
        world.pass(ms(2000));
        world.store.restore();
        world.put("config", "4");
        (0..20).for_each(|_| world.put("target/later", "desk"));
        world.pass(ms(1000));
        assert_eq!(world.own.version(), Some(4));
    };
    an_era_that_a_report_learns_of_is_read_at_once => {
        let mut world = world_with_long_watches();
        world.store.take_copy();
        world.store.restore();
        world.own.lose_calls();
        world.put("config", "4");
        world.quarantined.push(Fingerprint(7));
        world.pass(ms(300));
        assert_eq!(world.own.version(), Some(4));
    };
    a_scan_that_was_silenced_with_the_store_hides_no_version => {
        let mut world = synced_world();
        world.store.take_copy();
        world.put("target/late", "desk");
        world.pass(ms(1000));
        world.compact();
        world.own.end_calls();
        let is_scan = |world: &World| matches!(world.own.calls.last(), Some((_, Call::Scan { prefix })) if prefix.is_empty());
        let limit = world.now + ms(2000);
        while !is_scan(&world) && world.now < limit {
            world.put("target/late", "desk");
            world.compact();
            world.pass(STEP);
        }
        assert!(is_scan(&world));
        world.own.lose_calls();
        world.store.restore();
        world.put("config", "4");
        world.announce(Reason::Change);
        world.pass(IN_FORCE_LIMIT);
        assert_eq!(world.own.version(), Some(4));
    };
    a_report_under_way_at_the_return_is_written_after_it => {
        let request = Fingerprint(7);
        let mut fleet = Fleet::settled(5);
        fleet.store.take_copy();
        fleet.quarantine_at_first(request);
        fleet.pass(STEP);
        assert_eq!(fleet.vms[0].reports.len(), 1);
        fleet.end_calls();
        fleet.store.restore();
        fleet.pass(ms(6000));
        assert!(fleet.store.has(&format!("held/{request}")), "{:?}", fleet.vms[0].reports);
    };
    a_quarantine_outlives_the_lapse_of_its_lease_in_an_outage => {
        let request = Fingerprint(7);
        let key = format!("held/{request}");
        let mut fleet = Fleet::settled(5);
        fleet.quarantine_at_first(request);
        fleet.pass(ms(1000));
        assert!(fleet.store.has(&key));
        fleet.store.is_down = true;
        fleet.pass(ms(1000));
        fleet.store.remove(&key);
        fleet.store.is_down = false;
        let end = fleet.now + ms(6000);
        while fleet.now < end {
            fleet.pass(STEP);
            let free = fleet.vms.iter().filter(|vm| !vm.view.quarantined.contains(&request)).count();
            assert_eq!(free, 0, "VMs let the request through again");
        }
    };
    a_silent_watch_that_hides_a_change_costs_few_checks => {
        let mut world = synced_world();
        world.own.lose_calls();
        world.put("config", "4");
        let from = world.own.calls.len();
        world.pass(CATCH_UP_LIMIT);
        assert_eq!(world.own.version(), Some(4));
        let checks = checks_since(&world, from);
        assert!(checks <= 3, "{checks} checks of a store that answered each within 5 ms");
    };
    a_silent_watch_of_an_ended_era_costs_few_checks => {
        let mut fleet = Fleet::settled(100);
        fleet.store.take_copy();
        (0..100).for_each(|n| fleet.store.put(&format!("target/late-{}", n % 5), "desk"));
        fleet.pass(ms(6000));
        fleet.store.restore();
        fleet.lose_calls();
        let before = fleet.count_calls();
        fleet.pass(ms(1000));
        let calls = fleet.count_calls() - before;
        assert!(calls <= 4 * 100, "{calls} calls of 100 VMs within a second");
    };
    a_change_that_was_dropped_is_not_believed_again => {
        let mut world = world_with_long_watches();
        world.put("target/late", "desk");
        world.pass(ms(1000));
        world.own.lose_calls();
        let never = Position::new(u64::MAX, 1);
        world.announce_at(never, Reason::Change);
        world.pass(ms(2500));
        assert_eq!(world.own.logged(Logged::AnnouncementDropped), 1);
        // A VM that has not dropped it yet doubts the store.
        world.announce_at(never, Reason::Doubt);
        world.pass(ms(2500));
        assert_eq!(world.own.logged(Logged::AnnouncementDropped), 1);
    };
}
