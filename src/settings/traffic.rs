//! Limits of the traffic threads: callers, targets, other VMs and retries.

use std::time::Duration;

use super::{
    document::Document,
    section::up_to,
    size::{KIB, MIB},
};

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

/// The default of [`Targets::open_limit`].
pub const OPEN_LIMIT: Duration = Duration::from_millis(250);
/// The default of [`Targets::probe_interval`].
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The default of [`Targets::silent_after`].
pub const SILENT_AFTER: Duration = Duration::from_millis(1000);
/// The default of [`Targets::spare_connections`].
pub const SPARE_CONNECTIONS: u32 = 1;

/// The default of [`Peers::ping_interval`].
pub const PING_INTERVAL: Duration = Duration::from_millis(1000);
/// The default of [`Peers::ping_limit`].
pub const PING_LIMIT: Duration = Duration::from_millis(500);
/// The default of [`Peers::frame_limit`] in bytes.
pub const FRAME_LIMIT: u64 = 4 * MIB;
/// The default of [`Peers::queue_limit`] in bytes.
pub const QUEUE_LIMIT: u64 = 8 * MIB;

/// The default of [`Retry::budget`] in parts per million of first attempts.
pub const RETRY_BUDGET: u32 = 100_000;
/// The default of [`Retry::burst`] in attempts.
pub const RETRY_BURST: u32 = 10;
/// The default of [`Retry::attempts`].
pub const RETRY_ATTEMPTS: u32 = 3;
/// The default of [`Retry::pause`].
pub const RETRY_PAUSE: Duration = Duration::from_millis(2);

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
    /// The time between two readings of a target's status.
    pub probe_interval: Duration,
    /// The time without a byte after which a connection with work is suspected,
    /// where no latency estimate gives a shorter one.
    pub silent_after: Duration,
    /// The idle connections that are kept open to each target.
    pub spare_connections: u32,
}

impl Targets {
    pub(super) fn read(document: &mut Document<'_>) -> Targets {
        let mut section = document.section("targets");
        let targets = Targets {
            open_limit: section.millis("open_limit_ms", OPEN_LIMIT, up_to(60)),
            probe_interval: section.millis("probe_interval_ms", PROBE_INTERVAL, up_to(60)),
            silent_after: section.millis("silent_after_ms", SILENT_AFTER, up_to(60)),
            spare_connections: section.count("spare_connections", SPARE_CONNECTIONS, 0..=64),
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
        let mut section = document.section("peers");
        let peers = Peers {
            ping_interval: section.millis("ping_interval_ms", PING_INTERVAL, up_to(60)),
            ping_limit: section.millis("ping_limit_ms", PING_LIMIT, up_to(60)),
            frame_limit: section.size("frame_limit_bytes", FRAME_LIMIT, 64 * KIB..=64 * MIB),
            queue_limit: section.size("queue_limit_bytes", QUEUE_LIMIT, 64 * KIB..=256 * MIB),
        };
        section.finish();
        peers
    }
}

/// What retries and hedges may cost.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retry {
    /// The attempts beyond the first, in parts per million of first attempts.
    /// A profile may state less and not more.
    pub budget: u32,
    /// The attempts that may be saved up while none are needed.
    pub burst: u32,
    /// The most attempts of one leg.
    pub attempts: u32,
    /// The longest random pause before a retry.
    pub pause: Duration,
}

impl Retry {
    pub(super) fn read(document: &mut Document<'_>) -> Retry {
        let mut section = document.section("retry");
        let retry = Retry {
            budget: section.count("budget_ppm", RETRY_BUDGET, 0..=1_000_000),
            burst: section.count("burst", RETRY_BURST, 0..=10_000),
            attempts: section.count("attempts", RETRY_ATTEMPTS, 1..=10),
            pause: section.millis("pause_ms", RETRY_PAUSE, Duration::ZERO..=Duration::from_secs(1)),
        };
        section.finish();
        retry
    }
}
