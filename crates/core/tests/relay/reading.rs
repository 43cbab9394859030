//! Tests of what a VM concludes from what it has read and heard of the store.

use laburnum_core::{
    relay::feed::reading::{Reading, Remedy, Standing},
    store::{Era, Position},
    time::Instant,
};

/// Returns the reading of a VM that has scanned the store at a position.
fn scanned(era: u64, change: u64) -> Reading {
    let mut reading = Reading::default();
    reading.state_era(Era(era));
    assert!(reading.finish_scan(Position::new(era, change), Instant(1)));
    reading
}

/// Returns the standing of a VM that has scanned and then heard of a position.
fn standing_after(own: Position, heard: Position) -> Standing {
    let mut reading = scanned(own.era.0, own.change);
    reading.hear(heard, None, Instant(2));
    reading.standing()
}

cases! {
    positions_compare_the_era_before_the_number => {
        let own = Position::new(2, 10);
        assert_eq!(standing_after(own, Position::new(2, 10)), Standing::Newest);
        assert_eq!(standing_after(own, Position::new(2, 11)), Standing::Behind);
        assert_eq!(standing_after(own, Position::new(1, 99)), Standing::Newest);
        assert_eq!(standing_after(own, Position::new(3, 1)), Standing::Superseded);
        assert_eq!(Reading::default().standing(), Standing::Unread);
    };
    only_the_own_position_confirms_a_reading => {
        let reading = scanned(2, 10);
        assert!(reading.is_complete_at(Position::new(2, 10)));
        for (era, change) in [(2, 9), (2, 11), (1, 10), (1, 99), (3, 10), (3, 1)] {
            assert!(!reading.is_complete_at(Position::new(era, change)), "{era}.{change}");
        }
    };
    an_era_that_the_store_states_supersedes_what_was_read => {
        let mut reading = scanned(2, 10);
        assert_eq!(reading.state_era(Era(2)), None);
        assert_eq!(reading.state_era(Era(1)), None);
        assert_eq!(reading.standing(), Standing::Newest);
        assert_eq!(reading.state_era(Era(3)), Some(Era(2)));
        assert_eq!(reading.standing(), Standing::Superseded);
    };
    a_scan_of_an_ended_era_that_arrives_late_is_not_accepted => {
        let mut reading = scanned(2, 10);
        reading.state_era(Era(3));
        assert!(!reading.finish_scan(Position::new(2, 90), Instant(2)));
        assert_eq!(reading.position(), Some(Position::new(2, 10)));
        assert!(reading.finish_scan(Position::new(3, 5), Instant(3)));
        assert_eq!(reading.position(), Some(Position::new(3, 5)));
    };
    several_scans_of_an_earlier_era_in_a_row_are_accepted => {
        let mut reading = scanned(3, 10);
        for _ in 0..4 {
            assert!(!reading.finish_scan(Position::new(1, 5), Instant(2)));
        }
        assert!(reading.finish_scan(Position::new(3, 11), Instant(2)), "the count starts again");
        for _ in 0..4 {
            assert!(!reading.finish_scan(Position::new(1, 5), Instant(3)));
        }
        assert!(reading.finish_scan(Position::new(1, 5), Instant(3)));
        assert_eq!(reading.standing(), Standing::Newest);
    };
    a_watch_continues_only_its_own_era => {
        let mut reading = scanned(2, 10);
        assert!(reading.advance(Position::new(2, 12)));
        for era in [1, 3] {
            assert!(!reading.advance(Position::new(era, 20)));
        }
        assert_eq!(reading.position(), Some(Position::new(2, 12)));
    };
    only_scans_that_were_answered_refute_an_announcement => {
        let mut reading = scanned(2, 10);
        reading.hear(Position::new(2, 99), None, Instant(2));
        for _ in 0..9 {
            assert_eq!(reading.remedy(Instant(3)), Remedy::Scan);
        }
        for _ in 0..5 {
            assert_eq!(reading.remedy(Instant(4)), Remedy::Scan);
            reading.finish_scan(Position::new(2, 10), Instant(4));
        }
        assert_eq!(reading.remedy(Instant(5)), Remedy::Forget);
    };
    a_vm_whose_era_is_over_reads_again_after_it_has_dropped_an_announcement => {
        let mut reading = scanned(2, 10);
        reading.hear(Position::new(2, 99), None, Instant(2));
        (0..5).for_each(|_| assert!(reading.finish_scan(Position::new(2, 10), Instant(3))));
        reading.state_era(Era(3));
        assert_eq!(reading.remedy(Instant(4)), Remedy::Forget);
        reading.forget_heard();
        assert_eq!(reading.standing(), Standing::Superseded);
        assert!(reading.lag_deadline().is_some());
    };
    what_was_dropped_is_not_heard_again => {
        let mut reading = scanned(2, 10);
        let never = Position::new(2, 99);
        assert!(reading.hear(never, None, Instant(2)));
        reading.forget_heard();
        assert!(!reading.hear(never, None, Instant(3)));
        assert!(reading.hear(Position::new(2, 11), None, Instant(3)));
    };
}
