//! Tests of a store that comes back from an older copy of its data: it loses changes that it
//! had acknowledged, and gives their numbers out again in a new era.

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{
    digest::Fingerprint,
    log::Event,
    relay::feed::progress::Reason,
    store::{Call, Position},
    time::Instant,
};

use crate::{
    fleet::Fleet,
    harness::ms,
    store::{HOLD, STEP, World},
};

/// The time after its acknowledgement within which a version must be in force.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// What happens to the calls that are open when the store goes away.
#[derive(Clone, Copy, Debug)]
enum Open {
    /// Their connections end.
    Ends,
    /// Their connections go silent for good.
    Silent,
}

/// One return of the store from an older copy.
#[derive(Clone, Copy, Debug)]
struct Drill {
    open: Open,
    /// The number of changes that are lost.
    lost: u32,
    /// The number of changes that are written again before the next version.
    rewritten: u32,
    /// How long the store is away.
    away: Duration,
}

const DRILL: Drill = Drill { open: Open::Silent, lost: 100, rewritten: 0, away: ms(300) };

fn is_grant(call: &&Call) -> bool {
    matches!(call, Call::Grant { .. })
}

impl World {
    /// Brings the store back from its copy at once.
    fn restore(&mut self, open: Open) {
        self.store.restore();
        match open {
            Open::Ends => self.own.end_calls(),
            Open::Silent => self.own.lose_calls(),
        }
    }
}

/// Returns a world in which a target left after the copy.
fn world_that_a_target_left() -> World {
    let mut world = World::new();
    world.pass(ms(3000));
    world.store.take_copy();
    world.remove("target/desk-2");
    world.pass(ms(1000));
    world
}

/// Writes entries of targets, as when targets register.
fn register_targets(fleet: &mut Fleet, count: u32) {
    for number in 0..count {
        fleet.store.put(&format!("target/late-{}", number % 5), "desk");
    }
}

/// Plays a drill: the version `lost` is read by all VMs and lost with the changes after the
/// copy. What others than VMs wrote is written again.
fn play(fleet: &mut Fleet, drill: Drill, lost: u64) {
    fleet.store.take_copy();
    fleet.store.put("config", &lost.to_string());
    register_targets(fleet, drill.lost);
    fleet.pass(ms(4000));
    assert!(fleet.without_version(lost).is_empty());
    match drill.open {
        Open::Silent => fleet.lose_calls(),
        Open::Ends => fleet.end_calls(),
    }
    // A store that is away answers no new calls either.
    fleet.store.is_down = true;
    fleet.pass(drill.away);
    fleet.store.is_down = false;
    fleet.store.restore();
    register_targets(fleet, drill.rewritten);
}

/// Writes a version, and asserts that it is in force at every VM in time and that no VM goes
/// back to an older one meanwhile.
fn assert_in_force(fleet: &mut Fleet, version: u64) {
    fleet.store.put("config", &version.to_string());
    let mut newest: Vec<Option<u64>> = fleet.vms.iter().map(|vm| vm.version()).collect();
    let end = fleet.now + IN_FORCE_LIMIT;
    while fleet.now < end {
        fleet.pass(STEP);
        for (vm, newest) in fleet.vms.iter().zip(&mut newest) {
            assert!(vm.version() >= *newest, "went back from {newest:?} to {:?}", vm.version());
            *newest = vm.version();
        }
    }
    let behind = fleet.without_version(version);
    assert!(behind.is_empty(), "behind are {behind:?}");
}

/// Asserts that a version is in force in time that is written at once after a drill.
fn assert_drill(count: u16, drill: Drill) {
    let mut fleet = Fleet::settled(count);
    play(&mut fleet, drill, 4);
    assert_in_force(&mut fleet, 5);
}

cases! {
    a_watch_that_was_silenced_with_the_store_hides_no_version => assert_drill(15, DRILL);
    numbers_that_are_given_out_again_hide_no_version => {
        for rewritten in [1, 50, 98, 99, 100, 101, 150] {
            assert_drill(15, Drill { rewritten, ..DRILL });
        }
    };
    connections_that_end_hide_no_version => {
        for rewritten in [0, 50, 100, 150] {
            assert_drill(15, Drill { open: Open::Ends, rewritten, ..DRILL });
        }
    };
    a_store_that_is_back_at_once_hides_no_version => {
        for open in [Open::Ends, Open::Silent] {
            assert_drill(15, Drill { open, away: Duration::ZERO, rewritten: 100, ..DRILL });
        }
    };
    a_long_absence_hides_no_version => {
        for open in [Open::Ends, Open::Silent] {
            assert_drill(15, Drill { open, away: ms(4500), rewritten: 20, ..DRILL });
        }
    };
    a_fleet_of_any_size_misses_no_version => {
        for count in [1, 2, 5, 100] {
            assert_drill(count, DRILL);
        }
    };
    two_drills_in_a_row_hide_no_version => {
        let mut fleet = Fleet::settled(15);
        play(&mut fleet, DRILL, 4);
        fleet.store.restore();
        fleet.lose_calls();
        assert_in_force(&mut fleet, 5);
        play(&mut fleet, Drill { rewritten: 100, ..DRILL }, 6);
        assert_in_force(&mut fleet, 7);
    };
    a_confirmation_of_an_ended_era_confirms_nothing => {
        let mut world = World::new();
        world.store.take_copy();
        world.pass(ms(3000));
        let ended = world.position();
        world.store.restore();
        world.own.lose_calls();
        for _ in 0..4 {
            world.announce_at(Position { change: ended.change + 50, ..ended }, Reason::Confirmation);
            world.pass(ms(500));
        }
        let era = |(_, call): &&(Instant, Call)| matches!(call, Call::Scan { .. });
        assert!(world.own.calls.iter().filter(era).count() >= 3, "{:?}", world.own.calls);
        world.pass(ms(1000));
        assert!(world.own.view.is_current);
    };
    a_registration_that_was_lost_is_written_again => {
        let mut world = World::new();
        world.store.take_copy();
        world.pass(ms(3000));
        assert!(world.store.has("vm/own"));
        world.store.restore();
        world.own.end_calls();
        assert!(!world.store.has("vm/own"));
        world.pass(ms(2000));
        assert!(world.store.has("vm/own"));
        let writes = world.own.calls.iter().filter(|(_, call)| matches!(call, Call::Swap { .. }));
        assert_eq!(writes.count(), 2, "once in each era");
    };
    an_older_registration_that_came_back_is_replaced => {
        let mut world = World::new();
        world.put("vm/own", "500");
        world.store.take_copy();
        world.pass(ms(6000));
        assert_eq!(world.store.value("vm/own"), Some("170@10.9.9.9:7000"));
        world.store.restore();
        world.own.end_calls();
        world.pass(ms(2000));
        assert_eq!(world.store.value("vm/own"), Some("170@10.9.9.9:7000"));
    };
    targets_that_were_lost_stay_until_they_had_time_to_register_again => {
        for open in [Open::Ends, Open::Silent] {
            let mut world = World::new();
            world.pass(ms(3000));
            world.store.take_copy();
            world.put("target/back", "desk");
            world.put("target/gone", "desk");
            world.pass(ms(1000));
            world.restore(open);
            world.store.put("config", "4");
            let end = world.now + ms(2000);
            while world.now < end {
                assert!(world.own.has_target("back") && world.own.has_target("gone"));
                world.pass(STEP);
            }
            world.put("target/back", "desk");
            world.pass(ms(4000));
            assert!(world.own.has_target("back") && !world.own.has_target("gone"));
        }
    };
    a_target_that_left_does_not_come_back_with_the_copy => {
        for open in [Open::Ends, Open::Silent] {
            let mut world = world_that_a_target_left();
            assert!(!world.own.has_target("desk-2"));
            world.restore(open);
            let end = world.now + ms(4500);
            while world.now < end {
                world.pass(STEP);
                assert!(!world.own.has_target("desk-2"), "it is used again");
            }
            world.remove("target/desk-2");
            world.pass(ms(5000));
            assert!(!world.own.has_target("desk-2"));
        }
    };
    a_target_that_left_and_registers_again_is_used_at_once => {
        let mut world = world_that_a_target_left();
        world.restore(Open::Ends);
        world.pass(ms(1000));
        world.put("target/desk-2", "desk");
        world.pass(ms(1000));
        assert!(world.own.has_target("desk-2"));
    };
    a_target_that_only_seemed_to_leave_is_used_again_in_time => {
        let mut world = world_that_a_target_left();
        world.restore(Open::Ends);
        world.pass(ms(6000));
        assert!(world.own.has_target("desk-2"), "its entry is still there");
    };
    a_quarantine_outlives_the_loss_of_its_entry => {
        for open in [Open::Ends, Open::Silent] {
            let request = Fingerprint(7);
            let key = format!("held/{request}");
            let mut fleet = Fleet::settled(5);
            fleet.store.take_copy();
            fleet.quarantine_at_first(request);
            fleet.pass(ms(1000));
            assert!(fleet.store.has(&key));
            fleet.store.restore();
            match open {
                Open::Ends => fleet.end_calls(),
                Open::Silent => fleet.lose_calls(),
            }
            let end = fleet.now + ms(6000);
            while fleet.now < end {
                fleet.pass(STEP);
                assert!(fleet.vms.iter().all(|vm| vm.view.quarantined.contains(&request)));
            }
            assert!(fleet.store.has(&key));
            let Some(Call::Grant { ttl }) = fleet.vms[0].reports.iter().rfind(is_grant) else { panic!() };
            assert!((HOLD - ms(4000)..HOLD).contains(ttl), "{ttl:?}");
        }
    };
    registrations_are_not_written_again_all_at_once => {
        let mut fleet = Fleet::new(100, 7);
        fleet.store.take_copy();
        fleet.pass(ms(15_000));
        fleet.store.restore();
        fleet.end_calls();
        let (start, mut most) = (fleet.now, 0);
        while fleet.now.since(start) < ms(2000) {
            let before = fleet.store.registrations();
            fleet.pass(ms(20));
            most = most.max(fleet.store.registrations() - before);
        }
        assert_eq!(fleet.store.registrations(), 100);
        assert!(most <= 30, "{most} writes within 20 ms");
    };
    a_store_that_counts_its_eras_anew_is_read_again => {
        for open in [Open::Ends, Open::Silent] {
            let mut world = World::new();
            world.store.take_copy();
            (0..3).for_each(|_| world.store.restore());
            world.pass(ms(3000));
            world.store.count_eras_anew();
            world.restore(open);
            world.put("config", "4");
            world.pass(ms(6000));
            assert_eq!(world.own.version(), Some(4));
            assert!(world.own.view.is_current);
            world.put("config", "5");
            world.pass(ms(1000));
            assert_eq!(world.own.version(), Some(5));
        }
    };
    a_new_era_of_the_store_is_logged => {
        let mut world = World::new();
        world.pass(ms(3000));
        world.store.take_copy();
        world.put("config", "4");
        world.pass(ms(1000));
        let read = world.position().change;
        world.store.restore();
        world.own.lose_calls();
        world.pass(ms(5000));
        let line = world.own.lines.iter().find(|line| line.event == Event::StoreRestored).unwrap();
        let fields: BTreeMap<&str, String> = line.fields.iter().cloned().collect();
        assert_eq!((&*fields["era"], &*fields["before"]), ("1", "0"));
        assert_eq!(fields["own"], read.to_string());
    };
    an_announcement_of_an_ended_era_keeps_no_vm_behind => {
        let mut fleet = Fleet::settled(15);
        play(&mut fleet, Drill { open: Open::Ends, ..DRILL }, 4);
        fleet.pass(ms(3000));
        let before: usize = fleet.vms.iter().map(|vm| vm.logged(Event::StoreSilent)).sum();
        fleet.pass(ms(10_000));
        let after: usize = fleet.vms.iter().map(|vm| vm.logged(Event::StoreSilent)).sum();
        assert_eq!(after - before, 0, "VMs hold their watch for silent");
        assert!(fleet.vms.iter().all(|vm| vm.view.is_current));
    };
}
