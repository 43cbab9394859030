//! An age that is passed on between VMs as a duration.

use std::time::Duration;

use crate::time::Instant;

/// How old something was at some time of this process's clock. It may be older
/// than the process, so that an instant cannot express it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Age {
    span: Duration,
    at: Instant,
}

impl Age {
    /// Something that was `span` old at `at`.
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

/// The younger of two ages, where none is older than any.
pub fn younger(a: Option<Age>, b: Option<Age>, now: Instant) -> Option<Age> {
    match (a, b) {
        (Some(a), Some(b)) => Some(if b.at(now) < a.at(now) { b } else { a }),
        (a, b) => a.or(b),
    }
}
