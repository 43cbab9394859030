//! Points in time, which the systems receive as arguments and never read from a
//! clock.

use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in microseconds.
///
/// It is never sent to another process. Messages between VMs state a deadline as
/// the remaining time, because the clocks of two machines differ.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// Returns the time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time `span` earlier, or zero if that would be negative.
    pub fn before(self, span: Duration) -> Instant {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_sub(micros))
    }

    /// Returns the time from `now` until `self`, or zero if `self` has passed.
    pub fn remaining(self, now: Instant) -> Duration {
        self.since(now)
    }
}

impl Add<Duration> for Instant {
    type Output = Instant;

    fn add(self, span: Duration) -> Instant {
        let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
        Instant(self.0.saturating_add(micros))
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
///
/// It is used only for times that must outlive a process: the time of issue of
/// an idempotency key and the entries of the audit trail.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Wall(pub u64);
