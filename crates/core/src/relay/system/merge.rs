//! Merges the result records of several shards.

/// Length of a record; a reply body is a sequence of records without separators.
pub const RECORD_BYTES: usize = 16;

/// Returns the `top` greatest records of `parts`, greatest first, compared byte
/// by byte. Trailing bytes of a part that do not fill a record are ignored, and
/// duplicates are kept.
pub fn greatest<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let mut records: Vec<&[u8]> = parts.flat_map(|part| part.chunks_exact(RECORD_BYTES)).collect();
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}
