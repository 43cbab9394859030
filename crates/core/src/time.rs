//! Monotonic time as the systems see it: an argument, never a clock reading.

use std::{ops::Add, time::Duration};

use serde::{Deserialize, Serialize};

/// A point on the monotonic clock of one process, in microseconds.
///
/// It never leaves the process: between VMs a deadline travels as the time that
/// remains, because clocks of two machines do not agree.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Instant(pub u64);

impl Instant {
    /// The time from `earlier` to `self`, or zero if `earlier` is later.
    pub fn since(self, earlier: Instant) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// The time that remains from `now` until `self`, or zero if it has passed.
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
/// It is used only where a time must outlive a process: the time of issue of
/// an idempotency key and the entries of the audit trail.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Wall(pub u64);
