//! Limits on the connections and bodies of a front.

use std::time::Duration;

use super::body;
use crate::settings::traffic::Callers;

/// The rate that a caller must keep up on average while it reads a response, in bytes a
/// second.
pub const MIN_READ_RATE: usize = 4 << 10;

/// What a connection takes beside its head, in bytes: buffers of the HTTP library for what
/// follows the head and for what is sent, the task, and short messages.
const CONNECTION_BYTES: usize = 16 << 10;

/// The most bytes of the next request that are read while one is answered.
const READ_AHEAD_BYTES: usize = 8 << 10;

/// Limits on connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest request head (request line and headers) in bytes.
    pub header_size: usize,
    /// The time within which a whole head must arrive, counted from its first
    /// byte.
    pub header_timeout: Duration,
    /// The time after which a connection is closed that has no request, or
    /// whose caller does not read the response.
    pub idle_timeout: Duration,
    /// The rate that a caller must keep up on average while it reads a response, in bytes a
    /// second, after `idle_timeout`.
    pub min_rate: usize,
    /// The most connections that are open at a time.
    pub connections: usize,
}

impl Limits {
    /// Returns the most bytes that the HTTP library buffers of what a connection sends.
    pub fn read_buffer(&self) -> usize {
        self.header_size.saturating_add(READ_AHEAD_BYTES)
    }

    /// Returns the bytes that a connection takes by itself.
    pub fn connection_bytes(&self) -> usize {
        self.header_size.saturating_add(CONNECTION_BYTES)
    }
}

impl From<&Callers> for Limits {
    fn from(callers: &Callers) -> Limits {
        Limits {
            header_size: to_usize(callers.header_limit_bytes),
            header_timeout: callers.header_read_timeout,
            idle_timeout: callers.idle_timeout,
            min_rate: MIN_READ_RATE,
            connections: to_usize(callers.open_connections.into()),
        }
    }
}

/// Converts a limit, capped at the largest `usize`. Memory runs out before a
/// number of bytes or connections gets there.
pub fn to_usize(limit: u64) -> usize {
    usize::try_from(limit).unwrap_or(usize::MAX)
}

/// Provides the limits in force, which may change while the VM runs.
pub trait Provider: Send + Sync {
    /// Returns the limits on a connection that opens now.
    fn connection(&self) -> Limits;
    /// Returns the limits on a body that begins to arrive now.
    fn body(&self) -> body::Limits;
}

/// Limits that never change.
#[derive(Clone, Copy, Debug)]
pub struct Fixed {
    pub connection: Limits,
    pub body: body::Limits,
}

impl Provider for Fixed {
    fn connection(&self) -> Limits {
        self.connection
    }

    fn body(&self) -> body::Limits {
        self.body
    }
}
