//! Where a claim is stored: the bucket of its key and the bucket's text.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::{claim::Key, rank};

/// The key of the floor in the platform's service.
pub const FLOOR: &str = "claims/floor";

/// How keys are laid out over buckets.
///
/// It is part of the stored format and must be the same on every VM for as long
/// as a claim is remembered: two VMs with different layouts would look for the
/// same key in different places. It is therefore no setting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Layout {
    /// The length of a time slot.
    pub slot: Duration,
    /// The parts of a time slot.
    pub parts: u16,
}

impl Layout {
    /// The layout in use.
    pub const V1: Layout = Layout { slot: Duration::from_secs(1), parts: 8 };

    /// The bucket of `key`, or none if the key holds no time of issue.
    pub fn bucket(&self, key: &Key) -> Option<Bucket> {
        let slot = self.slot_at(key.issued_millis()?);
        let part = xxh3_64(key.0.as_bytes()) % u64::from(self.parts);
        Some(Bucket { slot, part: part as u16 })
    }

    /// The time slot of a wall-clock time in milliseconds.
    pub fn slot_at(&self, millis: u64) -> u64 {
        millis / self.slot_millis()
    }

    /// The first millisecond of a time slot.
    pub fn start(&self, slot: u64) -> u64 {
        slot.saturating_mul(self.slot_millis())
    }

    fn slot_millis(&self) -> u64 {
        (self.slot.as_millis() as u64).max(1)
    }
}

/// One value in the platform's service: the claims of one part of one slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Bucket {
    /// The time slot of issue.
    pub slot: u64,
    /// The part of the key's hash.
    pub part: u16,
}

impl Bucket {
    /// The key of the bucket in the platform's service.
    pub fn text(&self) -> String {
        format!("{}{:04}", prefix(self.slot), self.part)
    }

    /// Reads the key of a bucket back.
    pub fn parse(text: &str) -> Option<Bucket> {
        let (slot, part) = text.strip_prefix("claims/")?.split_once('/')?;
        Some(Bucket { slot: slot.parse().ok()?, part: part.parse().ok()? })
    }
}

/// The prefix of the keys of all parts of `slot`.
pub fn prefix(slot: u64) -> String {
    format!("claims/{slot:014}/")
}

/// The seed by which the home of a part is ranked. It leaves the slot out, so
/// that one VM paces all writes of a part.
pub fn part_seed(part: u16) -> u64 {
    rank::seed(&["claims", &part.to_string()])
}

/// The seed by which the VM that moves the floor is ranked.
pub fn floor_seed() -> u64 {
    rank::seed(&[FLOOR])
}
