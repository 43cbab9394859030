//! The earliest time at which a step has something to do without an event.

use crate::time::Instant;

use super::{
    Limits, decide,
    layout::Bucket,
    table::{Hint, Row, Tables},
};

/// Computes the time.
pub fn run(tables: &Tables, limits: &Limits) -> Option<Instant> {
    let operations = tables.operations.values().map(|row| row.deadline.min(row.next));
    let reports = tables.reports.values().map(|row| row.deadline.min(row.next));
    let calls = tables.calls.values().map(|flight| flight.deadline);
    let buckets = tables.buckets.iter().filter_map(|(bucket, row)| of(tables, limits, bucket, row));
    let sweep = if tables.sweep.busy {
        None
    } else if tables.sweep.entries.is_empty() {
        Some(tables.sweep.next)
    } else {
        Some(tables.sweep.remove)
    };
    let confirm = (!tables.grants.is_empty()).then_some(tables.confirm);
    let confirm = confirm.into_iter().chain(tables.grants.iter().map(|g| g.pending.deadline));
    operations.chain(confirm).chain(reports).chain(calls).chain(buckets).chain(sweep).min()
}

fn of(tables: &Tables, limits: &Limits, bucket: &Bucket, row: &Row) -> Option<Instant> {
    let expiry = row.claims.iter().map(|pending| pending.deadline).min();
    if row.call.is_some() {
        return expiry;
    }
    let start = match row.hint {
        Hint::Known { .. } => {
            let pace = tables.paces.get(&bucket.part).copied().unwrap_or_default();
            decide::due(row, limits).map(|due| due.max(decide::paced(pace, limits)).max(row.retry))
        }
        _ => (!row.claims.is_empty() || !row.records.is_empty()).then_some(row.retry),
    };
    expiry.into_iter().chain(start).min()
}
