//! Merges the records of several parts.

/// The size of a record in bytes.
pub const RECORD: usize = 16;

/// The `top` greatest records of `parts`, greatest first, compared byte by
/// byte. A remainder shorter than a record is none; equal records all count.
pub fn greatest<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(RECORD)).collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
