//! Ranges of the key space and sets of disjoint ranges.

use std::{fmt, ops};

use serde::{Deserialize, Serialize};

/// A million parts, the unit of a stated coverage.
const MILLION: u128 = 1_000_000;

/// A range of keys with both ends included, so that the whole key space has a
/// representation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "(u64, u64)", into = "(u64, u64)")]
pub struct Range {
    first: u64,
    last: u64,
}

/// The error of a range whose first key lies behind its last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reversed {
    /// The first key that was given.
    pub first: u64,
    /// The last key that was given.
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

    /// The first key of the range.
    pub fn first(self) -> u64 {
        self.first
    }

    /// The last key of the range.
    pub fn last(self) -> u64 {
        self.last
    }

    /// Tells whether `key` lies in the range.
    pub fn contains(self, key: u64) -> bool {
        self.first <= key && key <= self.last
    }

    /// Tells whether all of `other` lies in the range.
    pub fn covers(self, other: Range) -> bool {
        self.first <= other.first && other.last <= self.last
    }

    /// The keys that both ranges hold.
    pub fn intersection(self, other: Range) -> Option<Range> {
        let first = self.first.max(other.first);
        let last = self.last.min(other.last);
        (first <= last).then_some(Range { first, last })
    }

    /// The number of keys in the range.
    pub fn size(self) -> u128 {
        u128::from(self.last) - u128::from(self.first) + 1
    }
}

impl fmt::Display for Range {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.first, self.last)
    }
}

/// A set of keys, kept as disjoint ranges in ascending order.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Set(Vec<Range>);

impl Set {
    /// The set of no keys.
    pub fn new() -> Set {
        Set::default()
    }

    /// The set of all keys in `range`.
    pub fn from_range(range: Range) -> Set {
        Set(vec![range])
    }

    /// The disjoint ranges of the set in ascending order.
    pub fn ranges(&self) -> &[Range] {
        &self.0
    }

    /// Tells whether the set holds no key.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Tells whether the set holds all of `range`.
    pub fn covers(&self, range: Range) -> bool {
        self.0.iter().any(|own| own.covers(range))
    }

    /// Adds the keys of `range`; neighbours are joined.
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

    /// Takes the keys of `range` out of the set.
    pub fn remove(&mut self, range: Range) {
        let met = self.meeting(range);
        let (Some(&start), Some(&end)) = (self.0[met.clone()].first(), self.0[met.clone()].last())
        else {
            return;
        };
        let before = (start.first < range.first)
            .then(|| Range { first: start.first, last: range.first - 1 });
        let after =
            (range.last < end.last).then(|| Range { first: range.last + 1, last: end.last });
        self.0.splice(met, before.into_iter().chain(after));
    }

    /// The keys of `range` that the set holds.
    pub fn intersection(&self, range: Range) -> Set {
        Set(self.0[self.meeting(range)].iter().filter_map(|own| own.intersection(range)).collect())
    }

    /// The places of the ranges that share a key with `range`.
    fn meeting(&self, range: Range) -> ops::Range<usize> {
        let start = self.0.partition_point(|own| own.last < range.first);
        let end = self.0.partition_point(|own| own.first <= range.last);
        start..end.max(start)
    }

    /// The keys of `range` that the set does not hold.
    pub fn missing(&self, range: Range) -> Set {
        let mut missing = Set::from_range(range);
        for &own in &self.0 {
            missing.remove(own);
        }
        missing
    }

    /// The number of keys in the set.
    pub fn size(&self) -> u128 {
        self.0.iter().map(|own| own.size()).sum()
    }

    /// The part of `range` that the set holds, in parts per million.
    ///
    /// It is rounded down, so that a million is stated only for a set that
    /// misses no key.
    pub fn parts_per_million(&self, range: Range) -> u32 {
        let held = self.intersection(range).size();
        let parts = held * MILLION / range.size();
        u32::try_from(parts).unwrap_or(u32::MAX)
    }
}

fn touches(a: Range, b: Range) -> bool {
    let a_before_b = a.last < b.first && b.first - a.last > 1;
    let b_before_a = b.last < a.first && a.first - b.last > 1;
    !(a_before_b || b_before_a)
}
