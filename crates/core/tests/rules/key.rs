//! Ranges and sets of keys: union, removal, intersection and coverage.

use std::collections::BTreeSet;

use laburnum_core::key::{Range, Set};
use proptest::{collection, prelude::any};

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

/// The highest key in the sets that are compared key by key.
const MAX_KEY: u64 = 40;

fn keys(set: &Set) -> BTreeSet<u64> {
    set.ranges().iter().flat_map(|range| range.first()..=range.last()).collect()
}

/// Compares a `Set` with a set of single keys after each of many random
/// changes.
fn compare_with_single_keys() {
    let change = (any::<bool>(), 0..=MAX_KEY, 0..=MAX_KEY);
    proptest::proptest!(|(changes in collection::vec(change, 1..40))| {
        let (mut set, mut single) = (Set::new(), BTreeSet::new());
        for (adds, a, b) in changes {
            let changed = range(a.min(b), a.max(b));
            let common: BTreeSet<u64> =
                single.iter().copied().filter(|&key| changed.contains(key)).collect();
            assert_eq!(keys(&set.intersection(changed)), common);
            if adds {
                set.insert(changed);
                single.extend(changed.first()..=changed.last());
            } else {
                set.remove(changed);
                single.retain(|&key| !changed.contains(key));
            }
            assert_eq!(keys(&set), single);
            assert!(set.ranges().windows(2).all(|pair| pair[0].last() + 1 < pair[1].first()));
        }
    });
}

cases! {
    a_set_holds_what_single_keys_would => compare_with_single_keys();
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
