//! Limits of the traffic threads: callers, targets, other VMs and retries.

use std::time::Duration;

use laburnum_core::traffic::Limits;

use super::{
    document::Document,
    section::up_to,
    size::{KIB, MIB},
};
use crate::wire;

/// The default of [`Callers::body_limit`] in bytes.
pub const BODY_LIMIT: u64 = 64 * KIB;
/// The default of [`Callers::header_limit`] in bytes.
pub const HEADER_LIMIT: u64 = 16 * KIB;
/// The default of [`Callers::header_read`].
pub const HEADER_READ: Duration = Duration::from_secs(5);
/// The default of [`Callers::body_read`].
pub const BODY_READ: Duration = Duration::from_secs(10);
/// The default of [`Callers::idle`].
pub const IDLE: Duration = Duration::from_secs(60);
/// The default of [`Callers::open_requests`].
pub const OPEN_REQUESTS: u32 = 4096;
/// The default of [`Callers::open_connections`].
pub const OPEN_CONNECTIONS: u32 = 8192;

/// Limits on callers; a slow or oversized caller harms no other.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// The largest body of a request in bytes.
    pub body_limit: u64,
    /// The largest headers of a request in bytes.
    pub header_limit: u64,
    /// The time in which the headers must arrive.
    pub header_read: Duration,
    /// The time in which the body must arrive.
    pub body_read: Duration,
    /// The time after which a connection without a request is closed.
    pub idle: Duration,
    /// The number of requests that are open at a time.
    pub open_requests: u32,
    /// The number of connections that are open at a time.
    pub open_connections: u32,
}

impl Callers {
    pub(super) fn read(document: &mut Document<'_>) -> Callers {
        let mut section = document.section("callers");
        let callers = Callers {
            body_limit: section.size("body_limit_bytes", BODY_LIMIT, KIB..=16 * MIB),
            header_limit: section.size("header_limit_bytes", HEADER_LIMIT, 8 * KIB..=MIB),
            header_read: section.millis("header_read_ms", HEADER_READ, up_to(60)),
            body_read: section.millis("body_read_ms", BODY_READ, up_to(60)),
            idle: section.millis("idle_ms", IDLE, up_to(3600)),
            open_requests: section.count("open_requests", OPEN_REQUESTS, 1..=1_000_000),
            open_connections: section.count("open_connections", OPEN_CONNECTIONS, 1..=1_000_000),
        };
        section.finish();
        callers
    }
}

/// How targets are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Targets {
    /// The time in which a connection must open.
    pub open_limit: Duration,
    /// The time between two readings of a target's status, at most a second, so
    /// that a target which is leaving gets no new work after two.
    pub probe_interval: Duration,
    /// The time within which a target must answer a reading of its status on a
    /// connection, or the connection counts as silent.
    pub silent_after: Duration,
    /// The connections that each traffic thread holds to a target.
    pub connections: u32,
}

impl Targets {
    pub(super) fn read(document: &mut Document<'_>) -> Targets {
        let Limits { connect_timeout, status_interval, status_timeout, connections, .. } =
            Limits::default();
        let mut section = document.section("targets");
        let targets = Targets {
            open_limit: section.millis("open_limit_ms", connect_timeout, up_to(60)),
            probe_interval: section.millis("probe_interval_ms", status_interval, up_to(1)),
            silent_after: section.millis("silent_after_ms", status_timeout, up_to(60)),
            connections: section.count("connections", connections, 1..=64),
        };
        section.finish();
        targets
    }
}

/// How messages between VMs are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The time between two pings on a connection.
    pub ping_interval: Duration,
    /// The time after which a ping without an answer condemns the connection.
    pub ping_limit: Duration,
    /// The largest frame in bytes.
    pub frame_limit: u64,
    /// The bytes that may wait for one VM; what goes beyond is dropped.
    pub queue_limit: u64,
}

impl Peers {
    pub(super) fn read(document: &mut Document<'_>) -> Peers {
        let limits = wire::Limits::default();
        let (frame, queue) = (limits.frame_bytes as u64, limits.queue_bytes as u64);
        let mut section = document.section("peers");
        let peers = Peers {
            ping_interval: section.millis("ping_interval_ms", limits.ping_interval, up_to(60)),
            ping_limit: section.millis("ping_limit_ms", limits.ping_timeout, up_to(60)),
            frame_limit: section.size("frame_limit_bytes", frame, 64 * KIB..=64 * MIB),
            queue_limit: section.size("queue_limit_bytes", queue, 64 * KIB..=256 * MIB),
        };
        section.finish();
        peers
    }
}

/// What retries and hedges may cost. Each profile states its extra load itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The extra attempts that a profile may save up while it needs none.
    pub burst: u32,
}

impl Retry {
    pub(super) fn read(document: &mut Document<'_>) -> Retry {
        let mut section = document.section("retry");
        let burst = section.count("burst", Limits::default().retry_burst, 0..=10_000);
        section.finish();
        Retry { burst }
    }
}
