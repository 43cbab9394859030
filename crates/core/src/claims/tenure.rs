//! Keeps track of the partitions of which this VM is the home, and so of the claims that
//! it knows in full.
//!
//! In a new era a key that is not found may have been claimed and lost. A home that was
//! the only one for as long as a copy may be old remembers all claims that can be lost;
//! any other VM does not. See `docs/design/claims.md`.

use std::time::Duration;

use crate::{name::Name, rank, view::State};

use super::{
    Context,
    layout::{self, Bucket},
    table::{Tables, Tenure},
};

/// The time between two checks of which partitions this VM is home of.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The longest time between two checks within which no other VM can have taken over.
const MAX_GAP: Duration = Duration::from_secs(2);

/// Updates the table of tenures.
pub fn run(tables: &mut Tables, context: &Context<'_>) {
    let Tenure { since, checked_at, .. } = &mut tables.tenure;
    let gap = checked_at.map(|at| context.now.since(at));
    if gap.is_some_and(|gap| gap < CHECK_INTERVAL) {
        return;
    }
    if gap.is_some_and(|gap| gap > MAX_GAP) {
        since.clear();
    }
    *checked_at = Some(context.now);
    for partition in 0..context.limits.layout.partitions {
        if home(context, partition) == Some(context.vm) {
            since.entry(partition).or_insert(context.now);
        } else {
            since.remove(&partition);
        }
    }
}

/// Returns the home of a partition, the first live VM in rank.
pub fn home<'a>(context: &Context<'a>, partition: u16) -> Option<&'a Name> {
    let live = context.vms.values().filter(|vm| vm.state == State::Live);
    rank::first(layout::partition_seed(partition), live.map(|vm| &vm.name))
}

/// Records of which partitions this VM knows all claims that the store can have lost at
/// the end of an era. What was in doubt before remains so.
pub fn end_era(tables: &mut Tables, context: &Context<'_>) {
    let Some(answered_at) = tables.history.answered_at else { return tables.doubt.clear() };
    let loss = tables.history.loss.take();
    for partition in 0..context.limits.layout.partitions {
        let since = tables.tenure.since.get(&partition);
        let knows_all = since.is_some_and(|&since| since + context.limits.copy_age <= answered_at);
        let before = tables.doubt.remove(&partition).or(loss.map(|loss| loss.below));
        if let Some(below) = before.filter(|_| knows_all) {
            tables.doubt.insert(partition, below);
        }
    }
}

/// Whether a key of the bucket that is not found may have been claimed in an ended era
/// and lost, as far as this VM can know.
pub fn is_doubtful(tables: &Tables, bucket: Bucket) -> bool {
    let doubt = tables.doubt.get(&bucket.partition).copied();
    let below = doubt.or(tables.history.loss.map(|loss| loss.below));
    below.is_some_and(|below| bucket.slot < below)
}
