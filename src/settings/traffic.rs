//! Settings of the traffic threads: callers, targets, other VMs and retries.

use std::time::Duration;

use laburnum_core::traffic::Limits;

use super::{
    document::Document,
    section::up_to_secs,
    size::{KIB, MIB},
};
use crate::wire;

/// The default of [`Callers::body_limit_bytes`].
pub const DEFAULT_BODY_LIMIT_BYTES: u64 = 64 * KIB;
/// The default of [`Callers::header_limit_bytes`].
pub const DEFAULT_HEADER_LIMIT_BYTES: u64 = 16 * KIB;
/// The default of [`Callers::header_read_timeout`].
pub const DEFAULT_HEADER_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// The default of [`Callers::body_read_timeout`].
pub const DEFAULT_BODY_READ_TIMEOUT: Duration = Duration::from_secs(10);
/// The default of [`Callers::idle_timeout`].
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The default of [`Callers::open_requests`].
pub const DEFAULT_OPEN_REQUESTS: u32 = 4096;
/// The default of [`Callers::open_connections`].
pub const DEFAULT_OPEN_CONNECTIONS: u32 = 8192;

/// Limits on callers, so that a slow caller or a large request harms no
/// other caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Callers {
    /// The largest request body in bytes.
    pub body_limit_bytes: u64,
    /// The largest total size of the headers of a request in bytes.
    pub header_limit_bytes: u64,
    /// The time within which all headers of a request must arrive.
    pub header_read_timeout: Duration,
    /// The time within which the whole body of a request must arrive.
    pub body_read_timeout: Duration,
    /// The time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// The most requests that may be open at a time, over all traffic threads.
    pub open_requests: u32,
    /// The most connections that may be open at a time, over all traffic
    /// threads.
    pub open_connections: u32,
}

impl Callers {
    pub(super) fn read(document: &mut Document<'_>) -> Callers {
        let mut section = document.section("callers");
        let callers = Callers {
            body_limit_bytes: section.size(
                "body_limit_bytes",
                DEFAULT_BODY_LIMIT_BYTES,
                KIB..=16 * MIB,
            ),
            header_limit_bytes: section.size(
                "header_limit_bytes",
                DEFAULT_HEADER_LIMIT_BYTES,
                8 * KIB..=MIB,
            ),
            header_read_timeout: section.millis(
                "header_read_ms",
                DEFAULT_HEADER_READ_TIMEOUT,
                up_to_secs(60),
            ),
            body_read_timeout: section.millis(
                "body_read_ms",
                DEFAULT_BODY_READ_TIMEOUT,
                up_to_secs(60),
            ),
            idle_timeout: section.millis("idle_ms", DEFAULT_IDLE_TIMEOUT, up_to_secs(3600)),
            open_requests: section.count("open_requests", DEFAULT_OPEN_REQUESTS, 1..=1_000_000),
            open_connections: section.count(
                "open_connections",
                DEFAULT_OPEN_CONNECTIONS,
                1..=1_000_000,
            ),
        };
        section.finish();
        callers
    }
}

/// Connections to targets and the probes of their status.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Targets {
    /// The time within which a connection to a target must open.
    pub connect_timeout: Duration,
    /// The time between two status probes of a target. At most one second is
    /// allowed, so that a target that is leaving gets no new work after two
    /// seconds.
    pub status_interval: Duration,
    /// The time within which a target must answer a status probe on a
    /// connection. After it the connection counts as silent.
    pub status_timeout: Duration,
    /// The number of connections that each traffic thread holds to a target.
    pub connections: u32,
}

impl Targets {
    pub(super) fn read(document: &mut Document<'_>) -> Targets {
        let Limits { connect_timeout, status_interval, status_timeout, connections, .. } =
            Limits::default();
        let mut section = document.section("targets");
        let targets = Targets {
            connect_timeout: section.millis("open_limit_ms", connect_timeout, up_to_secs(60)),
            status_interval: section.millis("probe_interval_ms", status_interval, up_to_secs(1)),
            status_timeout: section.millis("silent_after_ms", status_timeout, up_to_secs(60)),
            connections: section.count("connections", connections, 1..=64),
        };
        section.finish();
        targets
    }
}

/// Connections between VMs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peers {
    /// The time between two pings on a connection.
    pub ping_interval: Duration,
    /// The time after which a connection is closed if a ping got no answer.
    pub ping_timeout: Duration,
    pub frame_limit_bytes: u64,
    /// The bytes of frames that may wait to be sent to one VM. Frames beyond it
    /// are dropped.
    pub queue_limit_bytes: u64,
}

impl Peers {
    pub(super) fn read(document: &mut Document<'_>) -> Peers {
        let limits = wire::Limits::default();
        let (frame_bytes, queue_bytes) = (limits.frame_bytes as u64, limits.queue_bytes as u64);
        let mut section = document.section("peers");
        let peers = Peers {
            ping_interval: section.millis("ping_interval_ms", limits.ping_interval, up_to_secs(60)),
            ping_timeout: section.millis("ping_limit_ms", limits.ping_timeout, up_to_secs(60)),
            frame_limit_bytes: section.size("frame_limit_bytes", frame_bytes, 64 * KIB..=64 * MIB),
            queue_limit_bytes: section.size("queue_limit_bytes", queue_bytes, 64 * KIB..=256 * MIB),
        };
        section.finish();
        peers
    }
}

/// The budget for retries and hedges. Each profile sets its own share of extra
/// load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The most unused extra attempts that a profile may accumulate.
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
