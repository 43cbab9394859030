//! Remembers what the store acknowledged, and writes it again if the store loses it.
//!
//! The store may come back from a copy that is up to [`Limits::copy_age`](super::Limits::copy_age) old. What a
//! home read or wrote within that time is kept apart from the cached buckets, which are
//! evicted at any time. In a new era it is merged into the first value that is read of
//! each bucket, and that value is written if the store lacks a part of it. See
//! `docs/design/claims.md`.

use std::{sync::Arc, time::Duration};

use super::{
    Context, intake,
    layout::Bucket,
    spread,
    table::{Cache, Memory, Row, Tables},
    value::Value,
};

/// The time over which the buckets are read again in a new era, so that not all VMs
/// read at once.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);

/// Remembers the value that the store holds for a bucket in the present era.
pub fn remember(tables: &mut Tables, context: &Context<'_>, bucket: Bucket, value: Arc<Value>) {
    let epoch = tables.history.epoch;
    tables.memory.insert(bucket, Memory { value, epoch, at: context.now });
    let mut bytes: usize = tables.memory.values().map(|row| row.value.encoded_len()).sum();
    while bytes > context.limits.memory_bytes {
        // Without it this VM no longer knows all claims that a copy can lack.
        tables.tenure.since.clear();
        let oldest = tables.memory.iter().min_by_key(|(_, row)| row.at);
        let Some((&bucket, row)) = oldest else { return };
        bytes -= row.value.encoded_len();
        tables.memory.remove(&bucket);
    }
}

/// Forgets what no copy can lack. Called when the store answers in the present era: it
/// cannot have come back since from a copy made before `copy_age`.
pub fn expire(tables: &mut Tables, context: &Context<'_>) {
    let epoch = tables.history.epoch;
    tables.memory.retain(|_, row| {
        row.epoch != epoch || context.now.since(row.at) <= context.limits.copy_age
    });
}

/// Reads a bucket soon that another VM wrote, so that this home remembers all claims of
/// its partitions.
pub fn note_written(tables: &mut Tables, context: &Context<'_>, bucket: Bucket) {
    if bucket.slot >= tables.floor {
        let row = intake::bucket_row(tables, context, bucket);
        row.cache = Cache::Stale;
        row.restore_at = Some(context.now);
    }
}

/// Lets every remembered bucket be read in the new era, at a time that differs between
/// VMs and buckets.
pub fn schedule_restore(tables: &mut Tables, context: &Context<'_>) {
    // The keys of a bucket below the floor are refused without it.
    tables.memory.retain(|bucket, _| bucket.slot >= tables.floor);
    let buckets: Vec<Bucket> = tables.memory.keys().copied().collect();
    for bucket in buckets {
        let at = context.now + restore_delay(context, bucket);
        intake::bucket_row(tables, context, bucket).restore_at = Some(at);
    }
}

fn restore_delay(context: &Context<'_>, bucket: Bucket) -> Duration {
    spread::delay(&format!("{}/{}", context.vm, bucket.key()), RESTORE_SPREAD)
}

/// Adds to the value of a bucket that was just read what this VM remembers of an ended
/// era, and remembers the value if the store holds all of it.
pub fn merge(tables: &mut Tables, context: &Context<'_>, bucket: Bucket, row: &mut Row) {
    row.restore_at = None;
    let Cache::Known { value, is_ahead, .. } = &mut row.cache else { return };
    let remembered = tables.memory.get(&bucket).filter(|known| known.epoch != tables.history.epoch);
    if let Some(known) = remembered
        && bucket.slot >= tables.floor
    {
        *is_ahead = Arc::make_mut(value).merge(&known.value);
    }
    if !*is_ahead {
        let value = Arc::clone(value);
        remember(tables, context, bucket, value);
    }
}
