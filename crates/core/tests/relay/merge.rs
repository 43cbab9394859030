//! Merging the result records of shards.

use laburnum_core::relay::system::merge::{RECORD_BYTES, greatest};
use proptest::{collection::vec, prelude::*};

fn record(byte: u8) -> [u8; RECORD_BYTES] {
    [byte; RECORD_BYTES]
}

fn merged(parts: &[Vec<u8>], top: usize) -> Vec<u8> {
    greatest(parts.iter().map(Vec::as_slice), top)
}

cases! {
    the_greatest_records_of_all_parts_come_first => {
        let parts = [[record(1), record(9)].concat(), [record(5), record(7)].concat()];
        assert_eq!(merged(&parts, 3), [record(9), record(7), record(5)].concat());
    };
    equal_records_all_count => {
        let parts = [[record(4), record(4)].concat(), record(4).to_vec()];
        assert_eq!(merged(&parts, 5), [record(4); 3].concat());
    };
    a_remainder_is_no_record => {
        let parts = [[&record(2)[..], &[255; 15][..]].concat()];
        assert_eq!(merged(&parts, 5), record(2).to_vec());
    };
    fewer_records_than_asked_are_all_given => {
        assert_eq!(merged(&[record(3).to_vec(), Vec::new()], 50), record(3).to_vec());
    };
    // Guards against records that are dropped too early when parts have many.
    the_greatest_of_many_records_are_found_wherever_they_stand => {
        let number = |n: u32| [[0; RECORD_BYTES - 4].as_slice(), &n.to_be_bytes()].concat();
        let up: Vec<u8> = (0..10_000).flat_map(number).collect();
        let down: Vec<u8> = (0..10_000).rev().flat_map(number).collect();
        for top in [1, 7, 700, 5000] {
            let expected: Vec<u8> = (0..10_000).rev().flat_map(|n| [n, n]).take(top).flat_map(number).collect();
            assert_eq!(merged(&[up.clone(), down.clone()], top), expected, "{top}");
        }
    };
    no_record_is_asked_for => {
        assert_eq!(merged(&[record(3).to_vec()], 0), Vec::<u8>::new());
    };
    records_are_compared_byte_by_byte_without_sign => {
        let mut low = record(0);
        low[0] = 0x7f;
        let mut high = record(0);
        high[0] = 0x80;
        assert_eq!(merged(&[[low, high].concat()], 2), [high, low].concat());
    };
}

proptest! {
    /// Compares with a plain reference: sort all records and keep the first ones.
    #[test]
    fn the_same_as_sorting_everything(
        parts in vec(vec(any::<[u8; RECORD_BYTES]>(), 0..20), 0..6),
        top in 0usize..30,
    ) {
        let mut all: Vec<[u8; RECORD_BYTES]> = parts.concat();
        all.sort_by(|a, b| b.cmp(a));
        all.truncate(top);
        let parts: Vec<Vec<u8>> = parts.iter().map(|part| part.concat()).collect();
        prop_assert_eq!(merged(&parts, top), all.concat());
    }
}
