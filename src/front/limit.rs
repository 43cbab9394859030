//! What callers may send, and how long they may take.

use std::time::Duration;

use super::body;
use crate::settings::traffic::Callers;

/// Limits on connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request in bytes.
    pub header_size: usize,
    /// The time in which the head must arrive, from its first byte.
    pub header_timeout: Duration,
    /// The time after which a connection without a request is closed, and one
    /// whose caller does not take the response.
    pub idle_timeout: Duration,
    /// The number of connections that are open at a time.
    pub connections: usize,
}

impl From<&Callers> for Limits {
    fn from(callers: &Callers) -> Limits {
        Limits {
            header_size: to_usize(callers.header_limit),
            header_timeout: callers.header_read,
            idle_timeout: callers.idle,
            connections: to_usize(callers.open_connections.into()),
        }
    }
}

/// A number of bytes or connections, which the memory of the VM bounds anyway.
pub fn to_usize(limit: u64) -> usize {
    usize::try_from(limit).unwrap_or(usize::MAX)
}

/// Tells the limits, which may change while the VM runs.
pub trait Provider: Send + Sync {
    /// The limits on a connection that opens now.
    fn connection(&self) -> Limits;
    /// The limits on a body that begins to arrive now.
    fn body(&self) -> body::Limits;
}

/// Limits that never change.
#[derive(Clone, Copy, Debug)]
pub struct Fixed {
    /// The limits on connections.
    pub connection: Limits,
    /// The limits on bodies.
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
