//! Ages, which are passed on between VMs as durations.

use std::time::Duration;

use crate::time::Instant;

/// How old something was at an instant of this process's clock.
///
/// The thing may be older than the process, in which case no [`Instant`] can
/// express when it was made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Age {
    span: Duration,
    at: Instant,
}

impl Age {
    /// The age of something that was `span` old at `at`.
    pub fn new(span: Duration, at: Instant) -> Age {
        Age { span, at }
    }

    /// The age at `now`.
    pub fn at(self, now: Instant) -> Duration {
        self.span + now.since(self.at)
    }

    /// The instant at which the age reaches `limit`.
    pub fn reaches(self, limit: Duration) -> Instant {
        self.at + limit.saturating_sub(self.span)
    }
}

/// The younger of two ages; `None` counts as older than any age.
pub fn younger(a: Option<Age>, b: Option<Age>, now: Instant) -> Option<Age> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.at(now) < a.at(now) { b } else { a }),
        (a, b) => a.or(b),
    }
}
