//! Maps idempotency keys to buckets, and buckets to keys of the store.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::{claim::Key, rank};

/// The key of the floor in the store.
pub const FLOOR_KEY: &str = "claims/floor";

/// How idempotency keys are distributed over buckets.
///
/// The layout is part of the stored format. It must be the same on every VM for
/// as long as claims are kept, because two VMs with different layouts would look
/// up the same key in different buckets. It is therefore not a setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The length of a time slot.
    pub slot_length: Duration,
    /// The number of partitions, and so of buckets, in a time slot.
    pub partitions: u16,
}

impl Layout {
    /// The layout in use.
    pub const V1: Layout = Layout { slot_length: Duration::from_secs(1), partitions: 8 };

    /// Returns the bucket of `key`, or `None` if the key holds no time of issue.
    pub fn bucket(&self, key: &Key) -> Option<Bucket> {
        let slot = self.slot_at(key.issued_millis()?);
        let partition = xxh3_64(key.0.as_bytes()) % u64::from(self.partitions);
        Some(Bucket { slot, partition: partition as u16 })
    }

    /// Returns the time slot that contains a wall-clock time in milliseconds.
    pub fn slot_at(&self, millis: u64) -> u64 {
        millis / self.slot_millis()
    }

    /// Returns the wall-clock time in milliseconds at which a time slot begins.
    pub fn slot_start(&self, slot: u64) -> u64 {
        slot.saturating_mul(self.slot_millis())
    }

    fn slot_millis(&self) -> u64 {
        (self.slot_length.as_millis() as u64).max(1)
    }
}

/// The unit of storage: the claims of one partition of one time slot, which are
/// one value in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Bucket {
    /// The time slot in which the keys were issued.
    pub slot: u64,
    /// The hash of the key modulo the number of partitions.
    pub partition: u16,
}

impl Bucket {
    /// Returns the key of the bucket in the store.
    pub fn key(&self) -> String {
        format!("{}{:04}", slot_prefix(self.slot), self.partition)
    }

    /// Parses a store key; returns `None` if it is not the key of a bucket.
    pub fn parse(text: &str) -> Option<Bucket> {
        let (slot, partition) = text.strip_prefix("claims/")?.split_once('/')?;
        Some(Bucket { slot: slot.parse().ok()?, partition: partition.parse().ok()? })
    }
}

/// The prefix of the store keys of all buckets of `slot`.
pub fn slot_prefix(slot: u64) -> String {
    format!("claims/{slot:014}/")
}

/// The seed that ranks the VMs as homes of a partition. It does not depend on the
/// slot, so that one VM applies the rate limit to all writes of a partition.
pub fn partition_seed(partition: u16) -> u64 {
    rank::seed(&["claims", &partition.to_string()])
}

/// The seed that ranks the VMs for advancing the floor.
pub fn floor_seed() -> u64 {
    rank::seed(&[FLOOR_KEY])
}
