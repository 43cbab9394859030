//! Merges the result records of several shards.

/// Length of a record; a reply body is a sequence of records without separators.
pub const RECORD_BYTES: usize = 16;

/// The smallest number of records after which those beyond the greatest are dropped.
const MIN_BATCH: usize = 1024;

/// Returns the `top` greatest records of `parts`, greatest first, compared byte
/// by byte. Trailing bytes of a part that do not fill a record are ignored, and
/// duplicates are kept.
///
/// It holds at most twice as many records as it returns, or [`MIN_BATCH`]: parts may have
/// millions, and a list of all of them would take as much memory as they do.
pub fn greatest<'a>(parts: impl Iterator<Item = &'a [u8]>, top: usize) -> Vec<u8> {
    let batch = top.saturating_mul(2).max(MIN_BATCH);
    let mut records: Vec<&[u8]> = Vec::new();
    for record in parts.flat_map(|part| part.chunks_exact(RECORD_BYTES)) {
        if records.len() == batch {
            keep_greatest(&mut records, top);
        }
        records.push(record);
    }
    keep_greatest(&mut records, top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.concat()
}

/// Drops all but the `top` greatest records, in no order.
fn keep_greatest(records: &mut Vec<&[u8]>, top: usize) {
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
}
