//! Remembers what the store acknowledged, and writes it again if the store loses it.
//!
//! The store may come back from a copy that is up to [`Limits::copy_age`] old. What a
//! home read or wrote within that time is kept apart from the cached buckets, which are
//! evicted at any time. In a new era it is merged into the first value that is read of
//! each bucket, and that value is written if the store lacks a part of it. See
//! `docs/design/claims.md`.

use std::{sync::Arc, time::Duration};

use xxhash_rust::xxh3::xxh3_64;

use super::{
    Context, Limits, intake,
    layout::Bucket,
    table::{Cache, Memory, Row, Tables},
    value::Value,
};

/// The time over which the buckets are read again in a new era, so that not all VMs
/// read at once.
const RESTORE_SPREAD: Duration = Duration::from_secs(2);

/// Remembers the value that the store holds for a bucket in the present era.
pub fn remember(tables: &mut Tables, context: &Context<'_>, bucket: Bucket, value: Arc<Value>) {
    let era = tables.history.era;
    tables.memory.insert(bucket, Memory { value, era, at: context.now });
    let mut bytes: usize = tables.memory.values().map(|row| row.value.encoded_len()).sum();
    while bytes > context.limits.memory_bytes {
        let oldest = tables.memory.iter().min_by_key(|(_, row)| row.at);
        let Some((&bucket, row)) = oldest else { return };
        bytes -= row.value.encoded_len();
        tables.memory.remove(&bucket);
    }
}

/// Forgets what no copy can lack. Called when the store answers in the present era: it
/// cannot have come back since from a copy made before `copy_age`.
pub fn expire(tables: &mut Tables, context: &Context<'_>) {
    let era = tables.history.era;
    tables
        .memory
        .retain(|_, row| row.era != era || context.now.since(row.at) <= context.limits.copy_age);
}

/// Lets every remembered bucket be read in the new era, at a time that differs between
/// VMs and buckets.
pub fn schedule_restore(tables: &mut Tables, context: &Context<'_>) {
    tables.memory.retain(|bucket, _| is_kept(tables.floor, context, *bucket));
    let buckets: Vec<Bucket> = tables.memory.keys().copied().collect();
    for bucket in buckets {
        let at = context.now + restore_delay(context, bucket);
        intake::bucket_row(tables, context, bucket).restore_at = Some(at);
    }
}

/// Whether the claims of a bucket are still kept. A bucket that was removed because of
/// its age must not be written again.
fn is_kept(floor: u64, context: &Context<'_>, bucket: Bucket) -> bool {
    let Limits { layout, window, .. } = context.limits;
    let window = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
    let end = layout.slot_start(bucket.slot).saturating_add(window);
    bucket.slot >= floor && end > context.wall.0
}

fn restore_delay(context: &Context<'_>, bucket: Bucket) -> Duration {
    let seed = format!("{}/{}", context.vm, bucket.key());
    let spread = RESTORE_SPREAD.as_micros() as u64;
    Duration::from_micros(xxh3_64(seed.as_bytes()) % spread)
}

/// Adds to the value of a bucket that was just read what this VM remembers of an ended
/// era, and remembers the value if the store holds all of it.
pub fn merge(tables: &mut Tables, context: &Context<'_>, bucket: Bucket, row: &mut Row) {
    row.restore_at = None;
    let Cache::Known { value, is_ahead, .. } = &mut row.cache else { return };
    let remembered = tables.memory.get(&bucket).filter(|known| known.era != tables.history.era);
    if let Some(known) = remembered
        && is_kept(tables.floor, context, bucket)
    {
        *is_ahead = Arc::make_mut(value).merge(&known.value);
    }
    if !*is_ahead {
        let value = Arc::clone(value);
        remember(tables, context, bucket, value);
    }
}
