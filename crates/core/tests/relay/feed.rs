//! Tests of how a VM keeps its configuration and targets up to date from the store.

use std::collections::BTreeMap;

use laburnum_core::{
    log::Event,
    relay::{
        Reach,
        feed::progress::{Progress, Reason},
    },
    store::{Call, Position},
    time::Instant,
};

use crate::{
    harness::{ms, name},
    store::{LIMITS, World},
};

fn synced_world() -> World {
    let mut world = World::new();
    world.pass(ms(3000));
    assert!(world.own.feed.is_ready());
    world
}

/// Returns a store with a configuration, a target and the entries of `others`, for a
/// VM with the share `own`.
fn world_with_vms(own: u32, others: &[(&str, u32)]) -> World {
    let mut world = World::with_share(own);
    world.put("config", "3");
    world.put("target/desk-1", "desk");
    for (name, share) in others {
        world.put(&format!("vm/{name}"), &share.to_string());
    }
    world
}

cases! {
    a_vm_knows_everything_after_one_reading => {
        let world = synced_world();
        assert_eq!(world.own.version(), Some(3));
        assert!(world.own.has_target("desk-1") && world.own.has_target("desk-2"));
        let full_price = world.own.calls.iter().filter(|(_, call)| !matches!(call, Call::Peek { .. }));
        assert_eq!(full_price.count(), 4, "a scan, a registration and two watches: {:?}", world.own.calls);
    };
    a_vm_that_is_listed_starts_at_once => {
        let mut world = world_with_vms(170, &[("own", 170), ("other", 170)]);
        world.pass(ms(100));
        assert!(world.own.feed.is_ready());
        assert_eq!(world.own.view.sharing_vms(), 2);
    };
    a_vm_registers_itself_once => {
        let mut world = world_with_vms(170, &[("other", 170)]);
        world.pass(ms(4000));
        assert_eq!(world.own.view.sharing_vms(), 2);
        let writes = world.own.calls.iter().filter(|(_, call)| matches!(call, Call::Swap { .. }));
        assert_eq!(writes.count(), 1);
    };
    vms_that_come_and_go_are_counted => {
        let mut world = world_with_vms(170, &[("own", 170)]);
        world.pass(ms(1000));
        world.put("vm/new", "170");
        world.pass(ms(1000));
        assert_eq!(world.own.view.sharing_vms(), 2);
        world.remove("vm/new");
        world.pass(ms(1000));
        assert_eq!(world.own.view.sharing_vms(), 1);
    };
    a_small_vm_asks_for_the_list_of_vms_only => {
        let mut world = world_with_vms(84, &[("large", 500)]);
        world.pass(ms(30_000));
        assert!(world.own.feed.is_ready());
        assert_eq!(world.own.view.larger.len(), 1);
        assert!(matches!(&world.own.calls[..], [(_, Call::Peek { .. })]), "{:?}", world.own.calls);
    };
    a_small_vm_finds_larger_ones_that_start_with_it => {
        let mut world = world_with_vms(84, &[]);
        world.pass(ms(1100));
        world.put("vm/large", "500");
        world.pass(ms(5000));
        assert_eq!(world.own.view.larger.len(), 1);
        assert!(world.own.calls.iter().all(|(_, call)| matches!(call, Call::Peek { .. })));
    };
    a_large_vm_registers_itself_before_a_small_one => {
        let entered = |share| {
            let mut world = world_with_vms(share, &[]);
            world.pass(ms(4000));
            let is_write = |(_, call): &&(_, Call)| matches!(call, Call::Swap { .. });
            world.own.calls.iter().find(is_write).unwrap().0
        };
        assert!(entered(84).since(entered(500)) > ms(500));
    };
    a_small_vm_that_reaches_no_larger_one_reads_the_routes => {
        let mut world = world_with_vms(84, &[("large", 500)]);
        world.pass(ms(1000));
        world.own.reach = Reach::Lost;
        world.pass(ms(1000));
        assert_eq!(world.own.version(), Some(3));
        assert!(world.own.feed.is_ready());
        assert!(!world.own.calls.iter().any(|(_, call)| matches!(call, Call::Swap { .. })));
    };
    a_small_vm_stops_reading_when_larger_ones_serve_it_again => {
        let mut world = world_with_vms(84, &[("large", 500)]);
        world.pass(ms(1000));
        world.own.reach = Reach::Lost;
        world.pass(ms(3000));
        world.own.reach = Reach::Served;
        world.pass(ms(6000));
        let before = world.own.calls.len();
        world.pass(ms(30_000));
        assert_eq!(world.own.calls.len(), before, "{:?}", &world.own.calls[before..]);
        assert!(world.own.feed.is_ready() && !world.own.view.is_current);
        assert_eq!(world.own.version(), None, "old routes would be used when it reads again");
        assert_eq!(world.own.view.larger.len(), 1);
        world.put("config", "4");
        world.own.reach = Reach::Lost;
        world.pass(ms(1000));
        assert_eq!(world.own.version(), Some(4));
        assert!(world.own.view.is_current);
    };
    a_small_vm_does_not_read_while_the_store_answers_nobody => {
        let mut world = world_with_vms(84, &[("large", 500)]);
        world.pass(ms(1000));
        let before = world.own.calls.len();
        world.store.is_silent = true;
        world.own.reach = Reach::Stale;
        world.pass(ms(4500));
        world.store.is_silent = false;
        world.own.reach = Reach::Served;
        world.pass(ms(10_000));
        assert!(world.own.calls.len() - before <= 4, "{:?}", world.own.calls);
        assert!(!world.own.calls.iter().any(|(_, call)| matches!(call, Call::Watch { .. })));
    };
    a_small_vm_that_reads_is_ready_while_a_larger_one_takes_its_requests => {
        let mut world = world_with_vms(84, &[("large", 500)]);
        world.pass(ms(1000));
        world.store.is_silent = true;
        world.own.reach = Reach::Stale;
        for _ in 0..100 {
            world.pass(ms(100));
            assert!(world.own.feed.is_ready());
        }
        world.own.reach = Reach::Lost;
        world.pass(ms(100));
        assert!(!world.own.feed.is_ready());
    };
    a_small_vm_reads_the_routes_if_the_store_answers_it_alone => {
        let mut world = world_with_vms(84, &[("large", 500)]);
        world.pass(ms(1000));
        world.own.reach = Reach::Stale;
        world.pass(ms(4500));
        assert_eq!(world.own.version(), Some(3));
        assert!(world.own.view.is_current);
    };
    a_vm_is_not_ready_before_it_has_read => {
        let mut world = World::new();
        world.store.is_down = true;
        world.pass(ms(3000));
        assert!(!world.own.feed.is_ready());
        world.store.is_down = false;
        world.pass(ms(2000));
        assert!(world.own.feed.is_ready());
    };
    while_nothing_changes_only_the_watch_is_renewed => {
        let mut world = synced_world();
        let before = world.own.calls.len();
        world.pass(ms(25_000));
        let calls = &world.own.calls[before..];
        assert!(calls.len() <= 25, "the only VM renews its watch each second: {}", calls.len());
        assert!(calls.iter().all(|(_, call)| matches!(call, Call::Watch { .. })));
    };
    a_change_is_in_force_within_a_second => {
        let mut world = synced_world();
        for version in 4..12 {
            world.put("config", &version.to_string());
            world.pass(ms(800));
            assert_eq!(world.own.version(), Some(version));
        }
    };
    changes_in_quick_succession_share_calls => {
        let mut world = synced_world();
        for version in 4..104 {
            world.put("config", &version.to_string());
            world.pass(ms(20));
        }
        world.pass(ms(1000));
        assert_eq!(world.own.version(), Some(103));
        assert!(world.own.calls.len() < 15, "{}", world.own.calls.len());
    };
    an_older_version_is_never_taken => {
        let mut world = synced_world();
        world.put("config", "9");
        world.pass(ms(1000));
        world.put("config", "5");
        world.pass(ms(1000));
        assert_eq!(world.own.version(), Some(9));
    };
    a_version_that_cannot_be_read_changes_nothing => {
        let mut world = synced_world();
        world.put("config", "no number");
        world.pass(ms(1000));
        assert_eq!(world.own.version(), Some(3));
        assert_eq!(world.own.logged(Event::RoutesUnreadable), 1);
    };
    a_registration_that_cannot_be_read_names_no_target => {
        let mut world = synced_world();
        world.put("target/odd", "Not A Name");
        world.put("target/desk-3", "desk");
        world.pass(ms(1000));
        assert!(world.own.has_target("desk-3") && !world.own.has_target("odd"));
        assert_eq!(world.own.logged(Event::TargetUnreadable), 1);
    };
    an_unreadable_registration_in_place_of_a_good_one_names_no_target => {
        let mut world = synced_world();
        world.put("target/desk-1", "Not A Name");
        world.pass(ms(1000));
        assert!(!world.own.has_target("desk-1") && world.own.has_target("desk-2"));
        world.put("target/desk-1", "desk");
        world.pass(ms(1000));
        assert!(world.own.has_target("desk-1"));
    };
    an_unreadable_entry_of_a_vm_changes_nothing => {
        let mut world = world_with_vms(170, &[("own", 170), ("other", 170)]);
        world.pass(ms(1000));
        world.put("vm/other", "no number");
        world.put("vm/odd", "-7");
        world.pass(ms(1000));
        assert_eq!(world.own.view.sharing_vms(), 2);
        assert_eq!(world.own.logged(Event::VmUnreadable), 2);
    };
    unreadable_entries_are_logged_once_for_each_change => {
        let mut world = synced_world();
        world.store.put_bytes("target/odd", &[0xff, 0xfe]);
        world.put("vm/odd", "no number");
        for _ in 0..4 {
            world.pass(ms(1000));
            // Everything is read again.
            world.store.is_down = true;
            world.put("config", "no number");
            world.pass(ms(1500));
            world.store.is_down = false;
            world.pass(ms(1500));
        }
        assert_eq!(world.own.logged(Event::TargetUnreadable), 1);
        assert_eq!(world.own.logged(Event::VmUnreadable), 1);
        assert_eq!(world.own.logged(Event::RoutesUnreadable), 4);
        world.store.put_bytes("target/odd", &[0xfe]);
        world.pass(ms(1000));
        assert_eq!(world.own.logged(Event::TargetUnreadable), 2);
    };
    any_number_of_unreadable_entries_hides_no_change => {
        let mut world = synced_world();
        (0..10_000).for_each(|n| world.put(&format!("target/odd-{n}"), "Not A Name"));
        world.put("target/desk-3", "desk");
        world.put("config", "4");
        world.pass(ms(3000));
        assert!(world.own.has_target("desk-3") && world.own.has_target("desk-1"));
        assert_eq!(world.own.version(), Some(4));
        assert_eq!(world.own.logged(Event::TargetUnreadable), 1000);
    };
    a_target_that_is_removed_is_gone => {
        let mut world = synced_world();
        world.remove("target/desk-1");
        world.pass(ms(1000));
        assert!(!world.own.has_target("desk-1") && world.own.has_target("desk-2"));
    };
    what_was_read_stays_in_use_while_the_store_is_unreachable => {
        let mut world = synced_world();
        world.store.is_down = true;
        world.put("config", "4");
        world.pass(ms(40_000));
        assert_eq!(world.own.version(), Some(3));
        assert!(world.own.has_target("desk-1") && world.own.feed.is_ready());
        assert_eq!(world.own.logged(Event::StoreDown), 1);
        world.store.is_down = false;
        world.pass(ms(2500));
        assert_eq!(world.own.version(), Some(4));
        assert_eq!(world.own.logged(Event::StoreUp), 1);
    };
    an_unreachable_store_is_called_about_once_a_second => {
        let mut world = synced_world();
        world.pass(ms(30_000));
        world.store.is_down = true;
        let before = world.own.calls.len();
        world.pass(ms(20_000));
        let calls = world.own.calls.len() - before;
        assert!((15..40).contains(&calls), "{calls}");
    };
    an_entry_that_lapsed_during_an_outage_may_come_back => {
        let mut world = synced_world();
        world.store.is_down = true;
        world.pass(ms(32_000));
        world.remove("target/desk-1");
        world.store.is_down = false;
        world.pass(ms(1500));
        assert!(world.own.has_target("desk-1"), "it is kept for the grace period");
        world.put("target/desk-1", "desk");
        world.pass(ms(5000));
        assert!(world.own.has_target("desk-1"));
        assert_eq!(world.own.logged(Event::TargetUnlisted), 0);
    };
    an_entry_that_stays_missing_after_an_outage_is_gone => {
        let mut world = synced_world();
        world.store.is_down = true;
        world.pass(ms(32_000));
        world.remove("target/desk-1");
        world.store.is_down = false;
        world.pass(ms(1500));
        assert!(world.own.has_target("desk-1"));
        world.pass(ms(LIMITS.lapse_grace.as_millis() as u64 + 1200));
        assert!(!world.own.has_target("desk-1"));
    };
    a_lost_history_is_read_again => {
        let mut world = synced_world();
        world.store.is_down = true;
        world.pass(ms(31_000));
        world.put("config", "8");
        world.remove("target/desk-2");
        world.put("target/desk-3", "desk");
        world.compact();
        world.store.is_down = false;
        world.pass(ms(6000));
        assert_eq!(world.own.version(), Some(8));
        assert!(world.own.has_target("desk-3") && !world.own.has_target("desk-2"));
    };
    routes_are_not_the_newest_before_a_lost_history_is_read => {
        let mut world = synced_world();
        assert!(world.own.view.is_current);
        world.store.is_down = true;
        world.pass(ms(32_000));
        assert!(!world.own.view.is_current);
        world.put("config", "8");
        world.compact();
        world.store.is_down = false;
        for _ in 0..1000 {
            world.pass(ms(5));
            assert!(!world.own.view.is_current || world.own.version() == Some(8));
        }
        assert!(world.own.view.is_current);
    };
    a_change_is_announced_to_a_few_others => {
        let mut world = world_with_vms(170, &[("own", 170), ("a", 170), ("b", 170), ("p", 170), ("q", 170), ("z", 170)]);
        world.pass(ms(1000));
        world.own.announced.clear();
        world.put("config", "4");
        world.pass(ms(1000));
        let announced = world.own.announced_as(Reason::Change);
        assert_eq!(announced.len(), 3, "to the VMs at distances 1, 2 and 4");
        assert!(announced.iter().all(|progress| progress.position == world.position()));
        world.pass(ms(20_000));
        assert_eq!(world.own.announced_as(Reason::Change).len(), 3, "announced once for each change");
        assert!(world.own.announced_as(Reason::Doubt).is_empty());
    };
    a_confirmation_is_told_to_all_others_at_a_bounded_rate => {
        let mut world = world_with_vms(170, &[("own", 170), ("a", 170), ("b", 170), ("p", 170), ("q", 170), ("z", 170)]);
        world.pass(ms(5000));
        world.own.announced.clear();
        world.pass(ms(20_000));
        let told = world.own.announced_as(Reason::Confirmation);
        assert_eq!(told.len() % 5, 0, "each to the five other VMs");
        assert!(told.len() / 5 >= 20_000 / 1500, "{told:?}");
        assert!(told.len() / 5 <= 20_000 / 400, "{told:?}");
        assert!(told.iter().all(|progress| progress.position == world.position()));
    };
    a_confirmation_of_another_vm_replaces_an_own_check => {
        let mut world = world_with_vms(170, &[("own", 170), ("z", 170)]);
        (0..8).for_each(|n| world.put(&format!("vm/other-{n}"), "170"));
        world.pass(ms(2000));
        let is_check = |(_, call): &&(Instant, Call)| matches!(call, Call::Scan { .. });
        let before = world.own.calls.iter().filter(is_check).count();
        for _ in 0..6 {
            world.announce(Reason::Confirmation);
            world.pass(ms(500));
        }
        assert_eq!(world.own.calls.iter().filter(is_check).count(), before);
        world.pass(ms(1500));
        assert_eq!(world.own.calls.iter().filter(is_check).count(), before + 1);
    };
    an_announcement_is_passed_on_by_a_vm_that_cannot_read_it => {
        let mut world = synced_world();
        (0..6).for_each(|n| world.put(&format!("vm/other-{n}"), "170"));
        world.pass(ms(1000));
        world.own.announced.clear();
        world.store.is_silent = true;
        let Position { era, change } = world.position();
        let position = Position { era, change: change + 7 };
        world.announce_at(position, Reason::Change);
        world.pass(ms(100));
        assert_eq!(world.own.announced.len(), 3);
        let passed_on = Progress { from: name("own"), position, reason: Reason::Change };
        assert!(world.own.announced.iter().all(|(_, progress)| *progress == passed_on));
        world.announce_at(position, Reason::Change);
        world.pass(ms(100));
        assert_eq!(world.own.announced.len(), 3, "announced once");
    };
    a_watch_that_is_never_answered_is_detected => {
        let mut world = synced_world();
        world.store.is_silent = true;
        world.put("config", "4");
        world.announce(Reason::Change);
        world.pass(ms(1200));
        assert!(!world.own.view.is_current);
        assert_eq!(world.own.logged(Event::StoreSilent), 1);
        world.store.is_silent = false;
        world.pass(ms(3500));
        assert_eq!(world.own.version(), Some(4));
        assert!(world.own.view.is_current);
    };
    a_vm_that_is_behind_logs_who_announced_what => {
        let mut world = synced_world();
        let own = world.position();
        world.own.lose_calls();
        world.announce_at(Position { change: own.change + 7, ..own }, Reason::Change);
        world.pass(ms(900));
        let lines = world.own.lines.iter().filter(|line| line.event == Event::StoreSilent);
        let fields: Vec<BTreeMap<&str, String>> =
            lines.map(|line| line.fields.iter().cloned().collect()).collect();
        let [first, second] = &fields[..] else { panic!("{fields:?}") };
        assert_eq!(first["own"], own.change.to_string());
        assert_eq!(first["heard"], (own.change + 7).to_string());
        assert_eq!((&*first["own_era"], &*first["heard_era"], &*first["from"]), ("0", "0", "other"));
        assert_eq!(first["heard_ms_ago"], "400");
        assert_eq!(second["scanned"], own.change.to_string(), "the scan between both was answered");
        assert_eq!(second["heard_ms_ago"], "800");
    };
    an_announced_change_that_does_not_exist_is_dropped => {
        let own = synced_world().position();
        let ahead = [Position { change: own.change + 100, ..own }, Position::new(u64::MAX, 1)];
        for position in ahead {
            let mut world = synced_world();
            (0..6).for_each(|n| world.put(&format!("vm/other-{n}"), "170"));
            world.pass(ms(1000));
            world.own.lose_calls();
            world.announce_at(position, Reason::Change);
            world.pass(ms(4000));
            assert_eq!(world.own.logged(Event::AnnouncementDropped), 1);
            assert!(world.own.view.is_current);
            world.own.announced.clear();
            world.put("config", "4");
            world.pass(ms(1000));
            assert_eq!(world.own.version(), Some(4));
            let news = world.own.announced_as(Reason::Change);
            assert!(news.iter().any(|progress| progress.position == world.position()), "{news:?}");
            world.pass(ms(5000));
            assert_eq!(world.own.logged(Event::StoreSilent), 5, "it has gone on watching");
        }
    };
    a_vm_that_reads_as_far_as_others_goes_on_watching => {
        let mut world = synced_world();
        world.put("config", "4");
        world.announce(Reason::Change);
        let before = world.own.calls.len();
        world.pass(ms(5000));
        assert_eq!(world.own.logged(Event::StoreSilent), 0);
        let calls = &world.own.calls[before..];
        assert!(calls.len() <= 2 + 5, "a watch each second: {calls:?}");
        assert!(calls.iter().all(|(_, call)| matches!(call, Call::Watch { .. })));
    };
    what_was_missed_in_an_outage_is_read_at_once => {
        let mut world = synced_world();
        world.pass(ms(28_000));
        world.store.is_down = true;
        for version in 4..200 {
            world.put("config", &version.to_string());
        }
        world.pass(ms(8000));
        world.store.is_down = false;
        for _ in 0..500 {
            world.pass(ms(5));
            assert!(!world.own.view.is_current || world.own.version() == Some(199));
        }
        assert_eq!(world.own.version(), Some(199));
    };
    a_long_history_is_read_without_pauses => {
        let mut world = synced_world();
        (0..300).for_each(|n| world.put(&format!("target/new-{n}"), "desk"));
        world.pass(ms(700));
        assert!(world.own.has_target("new-299"));
    };
    a_store_without_a_configuration_is_watched_for_one => {
        let mut world = World::empty();
        world.put("target/desk-1", "desk");
        world.pass(ms(2000));
        assert!(!world.own.feed.is_ready());
        world.put("config", "1");
        world.pass(ms(1000));
        assert!(world.own.feed.is_ready());
        let watches = world.own.calls.iter().filter(|(_, call)| matches!(call, Call::Watch { .. }));
        assert!(watches.count() <= 4);
    };
}
