//! Computes when the next tick is needed without an event.

use crate::time::Instant;

use super::{
    Limits, decide,
    layout::Bucket,
    table::{Cache, Row, Tables},
};

/// Returns the earliest deadline, retry, due write or check in the tables.
pub fn earliest(tables: &Tables, limits: &Limits) -> Option<Instant> {
    let operations = tables.operations.values().map(|row| row.deadline.min(row.next_send));
    let reports = tables.reports.values().map(|row| row.deadline.min(row.next_send));
    let calls = tables.calls.values().map(|call| call.deadline);
    let buckets =
        tables.buckets.iter().filter_map(|(bucket, row)| bucket_wake(tables, limits, bucket, row));
    let sweep = if tables.sweep.busy {
        None
    } else if tables.sweep.entries.is_empty() {
        Some(tables.sweep.next_check)
    } else {
        Some(tables.sweep.next_removal)
    };
    let confirm = (!tables.grants.is_empty()).then_some(tables.next_confirm);
    let confirm = confirm.into_iter().chain(tables.grants.iter().map(|g| g.pending.deadline));
    operations.chain(confirm).chain(reports).chain(calls).chain(buckets).chain(sweep).min()
}

/// Returns the earliest time at which a claim of the bucket expires or the next
/// call of the bucket can start.
fn bucket_wake(tables: &Tables, limits: &Limits, bucket: &Bucket, row: &Row) -> Option<Instant> {
    let expiry = row.claims.iter().chain(&row.held).map(|pending| pending.deadline).min();
    if row.call.is_some() {
        return expiry;
    }
    let start = match row.cache {
        Cache::Known { .. } => {
            let limiter = tables.limiters.get(&bucket.partition).copied().unwrap_or_default();
            decide::write_due(row, limits)
                .map(|due| due.max(decide::earliest_write(limiter, limits)).max(row.retry_at))
        }
        _ => (!row.claims.is_empty() || !row.records.is_empty()).then_some(row.retry_at),
    };
    let later = [decide::hold_end(row), row.restore_at];
    let later = later.into_iter().flatten().map(|at| at.max(row.retry_at));
    expiry.into_iter().chain(start).chain(later).min()
}
