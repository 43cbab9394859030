//! The platform's service comes back from a copy that is some seconds old, and has lost
//! publications that it acknowledged since.

use std::time::Duration;

use laburnum_core::{
    control::{Answer, Codec, Record, Request, codec},
    name::Name,
    profile::Revision,
    store::{Call, Era},
};

use crate::{
    fixture::{Json, profiles, vm},
    platform::{Copy, Mode},
    world::World,
};

/// The time within which the service holds again what it lost.
const RESTORE_TIME: Duration = Duration::from_secs(8);

/// The era of a service that has come back several times, before it counts anew.
const HIGH_ERA: Era = Era(9);
/// The era with which the service counts anew.
const LOW_ERA: Era = Era(1);

struct Drill {
    world: World,
    copy: Copy,
}

/// Five VMs with revision 1 in force, which the copy holds.
fn drill(seed: u64) -> Drill {
    let mut world = World::new(5, seed);
    assert!(world.run_until(Duration::from_secs(3), World::settled).is_some());
    world.run_for(Duration::from_secs(3));
    let mut drill = Drill { copy: world.platform.copy(), world };
    assert_eq!(drill.publish(&vm(1), 1), Revision(1));
    drill.copy = drill.world.platform.copy();
    drill
}

impl Drill {
    fn publish(&mut self, at: &Name, mark: u32) -> Revision {
        let id = self.world.publish(at, mark, None);
        let Answer::Accepted { revision, .. } = self.world.answer(id) else { panic!() };
        self.world.run_for(Duration::from_secs(1));
        revision
    }

    fn restore(&mut self) {
        self.world.platform.restore(self.copy.clone());
    }

    fn stored(&self, key: &str) -> Option<Record> {
        let entry = self.world.platform.values.get(key)?;
        Some(Json.decode(&entry.value).unwrap())
    }
}

/// A drill whose VMs know a high era.
fn drill_in_high_era(seed: u64) -> Drill {
    let mut drill = drill(seed);
    drill.world.platform.restore_in(drill.copy.clone(), HIGH_ERA);
    drill.world.run_for(RESTORE_TIME);
    drill.copy = drill.world.platform.copy();
    drill
}

/// Counts the calls of the service in a time without changes.
fn count_calls(world: &mut World) -> u64 {
    let before = world.platform.calls;
    world.run_for(Duration::from_secs(60));
    world.platform.calls - before
}

/// Loses a publication whose answer is lost, the given time after it took effect, and
/// checks that its operator is told whether it is in force in the end.
fn lose_publication(drill: Drill, after: Duration) {
    let era = Era(drill.world.platform.era.0 + 1);
    lose_publication_in(drill, after, era);
}

/// Loses a publication as [`lose_publication`] does, to a service that comes back in `era`.
fn lose_publication_in(mut drill: Drill, after: Duration, era: Era) {
    let writes = drill.world.platform.writes;
    let id = drill.world.publish(&vm(1), 9, None);
    // The document is read and its entry in the history written.
    drill.world.run_for(Duration::from_millis(3));
    drill.world.platform.mode = Mode::ReplyLost;
    let is_written = |world: &World| world.platform.writes > writes;
    assert!(drill.world.run_until(Duration::from_secs(3), is_written).is_some());
    drill.world.run_for(after);
    drill.world.platform.mode = Mode::Up;
    drill.world.platform.restore_in(drill.copy.clone(), era);
    let answer = drill.world.answer(id);
    drill.world.run_for(RESTORE_TIME);
    let stored = drill.stored(codec::CURRENT_KEY).unwrap();
    let is_in_force = drill.world.document(&vm(3)).profiles == profiles(9);
    match answer {
        Answer::Accepted { revision, .. } => {
            assert_eq!(stored.document.revision, revision);
            assert!(is_in_force);
        }
        Answer::Unsettled { token } => {
            let id = drill.world.submit(&vm(1), Request::Settle { token });
            let answer = drill.world.answer(id);
            assert_eq!(matches!(answer, Answer::Accepted { .. }), is_in_force, "{answer:?}");
        }
        answer => assert!(!is_in_force, "{answer:?}"),
    }
}

cases! {
    a_lost_publication_is_written_again => {
        let mut drill = drill(1);
        assert_eq!(drill.publish(&vm(2), 2), Revision(2));
        let published = drill.stored(codec::CURRENT_KEY).unwrap();
        drill.restore();
        drill.world.run_for(RESTORE_TIME);
        assert_eq!(drill.stored(codec::CURRENT_KEY), Some(published));
        let replaced = drill.stored(&codec::history_key(1)).unwrap();
        assert_eq!(replaced.document.revision, Revision(1));
        assert_eq!(drill.world.platform.writes, 3, "it is written again once");
    };
    the_first_publication_is_written_again_although_the_service_holds_none => {
        let mut drill = drill(2);
        let published = drill.stored(codec::CURRENT_KEY);
        drill.copy = World::new(1, 1).platform.copy();
        drill.restore();
        drill.world.run_for(RESTORE_TIME);
        assert_eq!(drill.stored(codec::CURRENT_KEY), published);
    };
    a_vm_that_starts_after_the_loss_gets_the_lost_revision => {
        let mut drill = drill(3);
        drill.publish(&vm(2), 2);
        drill.restore();
        drill.world.run_for(RESTORE_TIME);
        for number in 0..5 {
            drill.world.kill(&vm(number));
        }
        drill.world.start(&vm(7));
        drill.world.run_for(Duration::from_secs(5));
        assert_eq!(drill.world.revision(&vm(7)), Revision(2));
    };
    a_watch_is_not_continued_in_a_new_era => {
        let mut drill = drill(4);
        drill.publish(&vm(2), 2);
        drill.restore();
        // Other changes give out the numbers again up to where the watches stand.
        for at in 0..4 {
            let key = format!("other/{at}");
            let call = Call::Swap { key, expect: None, value: Vec::new(), lease: None };
            let now = drill.world.now;
            let era = drill.world.platform.era;
            drill.world.platform.apply_late(now, era, call);
        }
        drill.world.run_for(RESTORE_TIME);
        assert_eq!(drill.stored(codec::CURRENT_KEY).unwrap().document.revision, Revision(2));
    };
    a_publication_that_was_lost_as_eras_are_counted_anew_is_written_again => {
        let mut drill = drill_in_high_era(7);
        assert_eq!(drill.publish(&vm(2), 2), Revision(2));
        let published = drill.stored(codec::CURRENT_KEY);
        drill.world.platform.restore_in(drill.copy.clone(), LOW_ERA);
        drill.world.run_for(RESTORE_TIME);
        assert_eq!(drill.stored(codec::CURRENT_KEY), published);
    };
    a_service_that_counts_its_eras_anew_is_read_as_rarely_as_before => {
        let mut drill = drill_in_high_era(8);
        let before = count_calls(&mut drill.world);
        drill.world.platform.restore_in(drill.copy.clone(), LOW_ERA);
        drill.world.run_for(RESTORE_TIME);
        let after = count_calls(&mut drill.world);
        assert!(after <= before * 2, "{after} calls in place of {before}");
    };
    a_publication_during_a_new_count_of_eras_is_answered_truly => {
        for after in [0, 1, 5, 500] {
            lose_publication_in(drill_in_high_era(9), Duration::from_millis(after), LOW_ERA);
        }
    };
    a_publication_that_was_lost_before_it_spread_is_answered_truly => {
        lose_publication(drill(5), Duration::ZERO);
    };
    a_publication_that_was_lost_after_it_spread_is_answered_truly => {
        lose_publication(drill(5), Duration::from_millis(500));
    };
    a_publication_that_was_lost_with_the_one_before_is_answered_truly => {
        let mut drill = drill(6);
        drill.publish(&vm(2), 2);
        lose_publication(drill, Duration::from_millis(500));
    };
}
