//! The closed list of what is counted.

use std::collections::BTreeMap;

use crate::fault::Kind;

/// Why an attempt was followed by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Retry {
    /// The target shed it.
    Shed,
    /// The target is leaving.
    Draining,
    /// The target no longer holds the version.
    VersionGone,
    /// The target no longer holds the range.
    RangeMoved,
    /// The request could not be handed to the connection.
    Unsent,
    /// The connection was lost.
    ConnectionLost,
    /// The connection went silent.
    ConnectionSilent,
    /// The reply was cut, crossed or failed its check.
    Garbled,
    /// The home of the shard is unreachable or silent.
    HomeUnreachable,
}

/// Why a reply was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Drop {
    /// Its attempt or leg is no longer waited for.
    Late,
    /// It carries the id of another attempt.
    Crossed,
    /// It was cut or its digest does not match.
    Cut,
    /// It was read at another version.
    WrongVersion,
    /// It holds rows outside the range.
    OutsideRange,
    /// It holds a row twice.
    Doubled,
}

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Count {
    /// Requests of callers.
    Requests,
    /// Complete answers.
    Complete,
    /// Partial answers.
    Partial,
    /// Refusals by kind.
    Refused(Kind),
    /// First attempts.
    FirstAttempts,
    /// All attempts.
    Attempts,
    /// Attempts made beside another that was slow.
    Hedges,
    /// Attempts that followed another, by reason.
    Retried(Retry),
    /// Replies that were dropped, by reason.
    Dropped(Drop),
    /// Extra attempts that the budget did not allow.
    BudgetSpent,
    /// Queries that started over on another version.
    Restarts,
    /// Attempts that were withdrawn at the target.
    Cancelled,
}

/// The counts since they were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts(BTreeMap<Count, u64>);

impl Counts {
    /// Adds one.
    pub fn add(&mut self, count: Count) {
        self.add_many(count, 1);
    }

    /// Adds `many`.
    pub fn add_many(&mut self, count: Count, many: u64) {
        *self.0.entry(count).or_default() += many;
    }

    /// The count.
    pub fn get(&self, count: Count) -> u64 {
        self.0.get(&count).copied().unwrap_or(0)
    }

    /// The counts in order.
    pub fn iter(&self) -> impl Iterator<Item = (Count, u64)> + '_ {
        self.0.iter().map(|(&count, &many)| (count, many))
    }
}
