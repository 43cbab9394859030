//! The pause before a peer is dialled again.

use std::time::Duration;

use tokio::time::Instant;

use super::Limits;

/// The pause of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    pause: Duration,
    until: Option<Instant>,
}

impl Backoff {
    /// Notes that a connection was lost at a time. One that the peer had
    /// accepted starts the pause over.
    pub fn lose(&mut self, at: Instant, accepted: bool, limits: &Limits) {
        let longer = if accepted { limits.backoff_min } else { self.pause * 2 };
        self.pause = longer.clamp(limits.backoff_min, limits.backoff_max);
        self.until = Some(at + self.pause);
    }

    /// Tells whether the peer may be dialled.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }
}
