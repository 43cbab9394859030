//! Ranges and sets of keys.

use laburnum_core::key::{Range, Set};

fn range(first: u64, last: u64) -> Range {
    Range::try_from((first, last)).unwrap()
}

fn set(ranges: &[(u64, u64)]) -> Set {
    let mut set = Set::new();
    for &(first, last) in ranges {
        set.insert(range(first, last));
    }
    set
}

cases! {
    a_reversed_range_is_refused => {
        assert!(Range::try_from((2, 1)).is_err());
    };
    neighbours_are_joined => {
        assert_eq!(set(&[(0, 4), (5, 9)]).ranges(), &[range(0, 9)]);
    };
    a_gap_stays_a_gap => {
        assert_eq!(set(&[(6, 9), (0, 4)]).ranges(), &[range(0, 4), range(6, 9)]);
    };
    removing_the_middle_leaves_both_ends => {
        let mut keys = Set::from_range(Range::ALL);
        keys.remove(range(10, 19));
        assert_eq!(keys.ranges(), &[range(0, 9), range(20, u64::MAX)]);
    };
    one_missing_key_is_not_whole_coverage => {
        let mut keys = Set::from_range(Range::ALL);
        keys.remove(range(7, 7));
        assert_eq!(keys.parts_per_million(Range::ALL), 999_999);
    };
    all_keys_are_a_million_parts => {
        assert_eq!(Set::from_range(Range::ALL).parts_per_million(Range::ALL), 1_000_000);
    };
}
