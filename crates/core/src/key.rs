//! Ranges of the key space and sets of disjoint ranges.

use std::{fmt, ops};

use serde::{Deserialize, Serialize};

const PARTS_PER_WHOLE: u128 = 1_000_000;

/// A range of keys. Both ends are inclusive, because an exclusive end could not
/// express the whole key space.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "(u64, u64)", into = "(u64, u64)")]
pub struct Range {
    first: u64,
    last: u64,
}

/// The error for a range whose first key is greater than its last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reversed {
    pub first: u64,
    pub last: u64,
}

impl fmt::Display for Reversed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "key range starts at {} but ends at {}", self.first, self.last)
    }
}

impl std::error::Error for Reversed {}

impl TryFrom<(u64, u64)> for Range {
    type Error = Reversed;

    fn try_from((first, last): (u64, u64)) -> Result<Range, Reversed> {
        if first <= last { Ok(Range { first, last }) } else { Err(Reversed { first, last }) }
    }
}

impl From<Range> for (u64, u64) {
    fn from(range: Range) -> (u64, u64) {
        (range.first, range.last)
    }
}

impl Range {
    /// The whole key space.
    pub const ALL: Range = Range { first: 0, last: u64::MAX };

    pub fn first(self) -> u64 {
        self.first
    }

    pub fn last(self) -> u64 {
        self.last
    }

    /// Returns whether `key` lies in the range.
    pub fn contains(self, key: u64) -> bool {
        self.first <= key && key <= self.last
    }

    /// Returns whether the range contains all of `other`.
    pub fn covers(self, other: Range) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// Returns the keys that both ranges contain.
    pub fn intersection(self, other: Range) -> Option<Range> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(Range { first, last })
    }

    /// Returns the number of keys; the whole key space has one more than `u64::MAX`.
    pub fn size(self) -> u128 {
        u128::from(self.last) - u128::from(self.first) + 1
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.first, self.last)
    }
}

/// A set of keys, stored as disjoint ranges in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set(Vec<Range>);

impl Set {
    /// Creates the empty set.
    pub fn new() -> Set {
        Set::default()
    }

    /// Creates the set of all keys in `range`.
    pub fn from_range(range: Range) -> Set {
        Set(vec![range])
    }

    /// Returns the disjoint ranges of the set in ascending order.
    pub fn ranges(&self) -> &[Range] {
        &self.0
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether the set contains all of `range`.
    pub fn covers(&self, range: Range) -> bool {
        self.0.iter().any(|own| own.covers(range))
    }

    /// Adds the keys of `range` and merges adjacent ranges.
    pub fn insert(&mut self, range: Range) {
        let start = self.0.partition_point(|own| own.last < range.first && !touches(*own, range));
        let end = self.0.partition_point(|own| own.first <= range.last || touches(*own, range));
        let mut joined = range;
        for own in &self.0[start..end] {
            joined.first = joined.first.min(own.first);
            joined.last = joined.last.max(own.last);
        }
        self.0.splice(start..end, [joined]);
    }

    /// Removes the keys of `range` from the set.
    pub fn remove(&mut self, range: Range) {
        let overlap = self.overlapping(range);
        let (Some(&start), Some(&end)) =
            (self.0[overlap.clone()].first(), self.0[overlap.clone()].last())
        else {
            return;
        };
        let before = (start.first < range.first)
            .then(|| Range { first: start.first, last: range.first - 1 });
        let after =
            (range.last < end.last).then(|| Range { first: range.last + 1, last: end.last });
        self.0.splice(overlap, before.into_iter().chain(after));
    }

    /// Returns the keys of `range` that the set contains.
    pub fn intersection(&self, range: Range) -> Set {
        Set(self.0[self.overlapping(range)]
            .iter()
            .filter_map(|own| own.intersection(range))
            .collect())
    }

    /// Returns the indices of the ranges that overlap `range`.
    fn overlapping(&self, range: Range) -> ops::Range<usize> {
        let start = self.0.partition_point(|own| own.last < range.first);
        let end = self.0.partition_point(|own| own.first <= range.last);
        start..end.max(start)
    }

    /// Returns the keys of `range` that the set does not contain.
    pub fn missing(&self, range: Range) -> Set {
        let mut missing = Set::from_range(range);
        for &own in &self.0 {
            missing.remove(own);
        }
        missing
    }

    /// Returns the number of keys.
    pub fn size(&self) -> u128 {
        self.0.iter().map(|own| own.size()).sum()
    }

    /// Returns the fraction of `range` that the set contains, in parts per
    /// million.
    ///
    /// It is rounded down, so that only a set which contains all of `range`
    /// yields a million.
    pub fn parts_per_million(&self, range: Range) -> u32 {
        let held = self.intersection(range).size();
        let parts = held * PARTS_PER_WHOLE / range.size();
        u32::try_from(parts).unwrap_or(u32::MAX)
    }
}

/// Returns whether the ranges overlap or are adjacent.
fn touches(a: Range, b: Range) -> bool {
    let a_before_b = a.last < b.first && b.first - a.last > 1;
    let b_before_a = b.last < a.first && a.first - b.last > 1;
    !(a_before_b || b_before_a)
}
