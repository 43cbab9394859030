//! The pause before a peer is dialled again.

use std::time::Duration;

use tokio::time::Instant;

use super::Limits;

/// The pause before the next dial of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    pause: Duration,
    until: Option<Instant>,
}

impl Backoff {
    /// Records that a connection was lost at the time `at`. The pause starts
    /// over at its minimum if the peer had accepted the connection, and doubles
    /// otherwise.
    pub fn record_loss(&mut self, at: Instant, accepted: bool, limits: &Limits) {
        let next = if accepted { limits.backoff_min } else { self.pause * 2 };
        self.pause = next.clamp(limits.backoff_min, limits.backoff_max);
        self.until = Some(at + self.pause);
    }

    /// Returns whether the peer may be dialled again.
    pub fn is_over(&self, now: Instant) -> bool {
        self.until.is_none_or(|until| until <= now)
    }
}
