//! Settings of the control thread: membership, claims, quarantine, shutdown,
//! log.

use std::time::Duration;

use super::{
    document::Document,
    section::up_to,
    size::{KIB, MIB},
};

/// The default of [`Membership::probe_interval`].
pub const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// The default of [`Membership::probe_limit`].
pub const PROBE_LIMIT: Duration = Duration::from_millis(200);
/// The default of [`Membership::indirect_probes`].
pub const INDIRECT_PROBES: u32 = 3;
/// The default of [`Membership::suspect_after`].
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1000);
/// The default of [`Membership::gone_after`].
pub const GONE_AFTER: Duration = Duration::from_secs(10);
/// The default of [`Membership::list_interval`].
pub const LIST_INTERVAL: Duration = Duration::from_secs(2);
/// The default of [`Membership::watchers`].
pub const WATCHERS: u32 = 3;
/// The default of [`Membership::stale_after`].
pub const STALE_AFTER: Duration = Duration::from_secs(3);
/// The default of [`Membership::unready_after`].
pub const UNREADY_AFTER: Duration = Duration::from_secs(10);

/// The default of [`Claims::window`].
pub const CLAIM_WINDOW: Duration = Duration::from_secs(600);
/// The default of [`Claims::slot`].
pub const CLAIM_SLOT: Duration = Duration::from_secs(1);
/// The default of [`Claims::slot_limit`] in bytes.
pub const CLAIM_SLOT_LIMIT: u64 = 256 * KIB;
/// The default of [`Claims::parts`].
pub const CLAIM_PARTS: u32 = 16;
/// The default of [`Claims::future`].
pub const CLAIM_FUTURE: Duration = Duration::from_secs(5);
/// The default of [`Claims::gather`].
pub const CLAIM_GATHER: Duration = Duration::from_millis(5);

/// The default of [`Quarantine::capacity`].
pub const QUARANTINE_CAPACITY: u32 = 1024;
/// The default of [`Quarantine::hold`].
pub const QUARANTINE_HOLD: Duration = Duration::from_secs(600);
/// The default of [`Quarantine::lost_targets`].
pub const QUARANTINE_LOST_TARGETS: u32 = 2;

/// The default of [`Shutdown::limit`].
pub const SHUTDOWN_LIMIT: Duration = Duration::from_secs(65);
/// The default of [`Shutdown::announce`].
pub const SHUTDOWN_ANNOUNCE: Duration = Duration::from_secs(2);

/// The default of [`Log::queue`] in lines.
pub const LOG_QUEUE: u32 = 4096;
/// The default of [`Log::rate`] in lines a second for each event.
pub const LOG_RATE: u32 = 50;

/// How VMs learn of each other and of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The time between two probes of other VMs.
    pub probe_interval: Duration,
    /// The time after which a probe without an answer has failed.
    pub probe_limit: Duration,
    /// The VMs that are asked to probe one that did not answer.
    pub indirect_probes: u32,
    /// The time without an answer after which a VM is suspect.
    pub suspect_after: Duration,
    /// The time as suspect after which a VM is gone.
    pub gone_after: Duration,
    /// The time between two readings of the platform's list by a watcher.
    pub list_interval: Duration,
    /// The number of VMs that hold watches on the platform's service.
    pub watchers: u32,
    /// The age of the last confirmation after which a VM asks for itself.
    pub stale_after: Duration,
    /// The age of the last confirmation after which a VM is not ready.
    pub unready_after: Duration,
}

impl Membership {
    pub(super) fn read(document: &mut Document<'_>) -> Membership {
        let mut section = document.section("membership");
        let membership = Membership {
            probe_interval: section.millis("probe_interval_ms", PROBE_INTERVAL, up_to(60)),
            probe_limit: section.millis("probe_limit_ms", PROBE_LIMIT, up_to(60)),
            indirect_probes: section.count("indirect_probes", INDIRECT_PROBES, 0..=16),
            suspect_after: section.millis("suspect_after_ms", SUSPECT_AFTER, up_to(600)),
            gone_after: section.millis("gone_after_ms", GONE_AFTER, up_to(3600)),
            list_interval: section.millis("list_interval_ms", LIST_INTERVAL, up_to(60)),
            watchers: section.count("watchers", WATCHERS, 1..=16),
            stale_after: section.millis("stale_after_ms", STALE_AFTER, up_to(600)),
            unready_after: section.millis("unready_after_ms", UNREADY_AFTER, up_to(86_400)),
        };
        section.finish();
        membership
    }
}

/// How operations are claimed. All VMs of a deployment have the same values of
/// `window`, `slot` and `parts`, because they give a key its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claims {
    /// The time for which a key is remembered after its issue.
    pub window: Duration,
    /// The span of issue times that share a value in the platform's service.
    pub slot: Duration,
    /// The largest value of a slot in bytes.
    pub slot_limit: u64,
    /// The parts that the keys of a slot are spread over.
    pub parts: u32,
    /// How far ahead of this VM's clock a key's time of issue may lie.
    pub future: Duration,
    /// The time in which claims for one write are gathered.
    pub gather: Duration,
}

impl Claims {
    pub(super) fn read(document: &mut Document<'_>) -> Claims {
        let mut section = document.section("claims");
        let claims = Claims {
            window: section.millis("window_ms", CLAIM_WINDOW, up_to(86_400)),
            slot: section.millis("slot_ms", CLAIM_SLOT, up_to(3600)),
            slot_limit: section.size("slot_limit_bytes", CLAIM_SLOT_LIMIT, KIB..=MIB),
            parts: section.count("parts", CLAIM_PARTS, 1..=1024),
            future: section.millis("future_ms", CLAIM_FUTURE, up_to(600)),
            gather: section.millis(
                "gather_ms",
                CLAIM_GATHER,
                Duration::ZERO..=Duration::from_secs(1),
            ),
        };
        section.finish();
        claims
    }
}

/// How requests that crash targets are held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// The number of requests that are held back at a time.
    pub capacity: u32,
    /// The time for which a request is held back.
    pub hold: Duration,
    /// The number of lost targets after which a request is held back.
    pub lost_targets: u32,
}

impl Quarantine {
    pub(super) fn read(document: &mut Document<'_>) -> Quarantine {
        let mut section = document.section("quarantine");
        let quarantine = Quarantine {
            capacity: section.count("capacity", QUARANTINE_CAPACITY, 1..=100_000),
            hold: section.millis("hold_ms", QUARANTINE_HOLD, up_to(86_400)),
            lost_targets: section.count("lost_targets", QUARANTINE_LOST_TARGETS, 1..=2),
        };
        section.finish();
        quarantine
    }
}

/// How the VM shuts down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// The time for which the VM says that it is not ready and still takes
    /// requests, so that the balancer can turn away from it.
    pub announce: Duration,
    /// The time after which the VM exits, whatever is in flight.
    pub limit: Duration,
}

impl Shutdown {
    pub(super) fn read(document: &mut Document<'_>) -> Shutdown {
        let mut section = document.section("shutdown");
        let announce = Duration::ZERO..=Duration::from_secs(60);
        let shutdown = Shutdown {
            announce: section.millis("announce_ms", SHUTDOWN_ANNOUNCE, announce),
            limit: section.millis("limit_ms", SHUTDOWN_LIMIT, up_to(3600)),
        };
        section.finish();
        shutdown
    }
}

/// For whom the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON document a line.
    Json,
    /// Lines for people.
    Text,
}

/// How the log is written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    /// For whom.
    pub format: Format,
    /// The least level that is written.
    pub level: laburnum_core::log::Level,
    /// The lines that may wait to be written; what goes beyond is counted.
    pub queue: u32,
    /// The lines a second for each event; what goes beyond is counted.
    pub rate: u32,
}

impl Log {
    pub(super) fn read(document: &mut Document<'_>) -> Log {
        use laburnum_core::log::Level;
        let formats = [("json", Format::Json), ("text", Format::Text)];
        let levels = [
            ("error", Level::Error),
            ("warning", Level::Warning),
            ("info", Level::Info),
            ("debug", Level::Debug),
        ];
        let mut section = document.section("log");
        let log = Log {
            format: section.choice("format", Format::Json, &formats),
            level: section.choice("level", Level::Info, &levels),
            queue: section.count("queue", LOG_QUEUE, 16..=1_000_000),
            rate: section.count("rate", LOG_RATE, 1..=100_000),
        };
        section.finish();
        log
    }
}
