//! Settings of the control thread: membership, claims, quarantine, shutdown,
//! log.

use std::{net::SocketAddr, time::Duration};

use laburnum_core::{
    claims,
    control::{Limits, codec::MAX_VALUE_BYTES},
    name::Name,
    traffic,
};
use toml::{Spanned, de::DeValue};

use super::{
    document::Document,
    section::{Section, up_to_secs},
    size::KIB,
};

/// The default of [`Shutdown::limit`].
pub const DEFAULT_SHUTDOWN_LIMIT: Duration = Duration::from_secs(65);
/// The default of [`Shutdown::announce`].
pub const DEFAULT_SHUTDOWN_ANNOUNCE: Duration = Duration::from_secs(2);

/// The default of [`Log::queue_lines`].
pub const DEFAULT_LOG_QUEUE_LINES: u32 = 4096;
/// The default of [`Log::lines_per_second`].
pub const DEFAULT_LOG_LINES_PER_SECOND: u32 = 50;

/// How VMs learn of each other and of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The time between two probes of other VMs.
    pub probe_interval: Duration,
    /// The time after which a probe without an answer has failed.
    pub probe_timeout: Duration,
    /// The number of VMs that are asked to probe one that did not answer.
    pub indirect_probes: u32,
    /// The time for which a VM is suspect before it counts as gone.
    pub gone_after: Duration,
    /// The time between two reads of the platform's list by a watcher.
    pub list_interval: Duration,
    /// The number of VMs that hold watches on the platform's service.
    pub watchers: u32,
    /// The age of the last confirmation after which a VM reads the platform's
    /// service itself.
    pub stale_after: Duration,
    /// The time without contact with any VM or the platform's service after
    /// which this VM is not ready.
    pub unready_after: Duration,
    /// VMs that are contacted when the platform's list cannot be read, so that
    /// a VM can start during an outage of the service.
    pub seeds: Vec<Seed>,
}

/// A VM that another one contacts when it starts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    pub name: Name,
    /// The address of its control thread.
    pub control: SocketAddr,
}

fn seed<'i>(
    document: &mut Document<'i>,
    path: String,
    line: usize,
    item: Spanned<DeValue<'i>>,
) -> Option<Seed> {
    let mut section: Section<'_, 'i> = document.open(path, line, item);
    let name = section.name("name");
    let control = section.address("control");
    section.finish();
    Some(Seed { name: name?, control: control? })
}

impl Membership {
    pub(super) fn read(document: &mut Document<'_>) -> Membership {
        let limits = Limits::default();
        let (indirect_probes, watchers) = (count(limits.indirect_probes), count(limits.watchers));
        let mut section = document.section("membership");
        let items = section.tables("seeds");
        let mut membership = Membership {
            probe_interval: section.millis(
                "probe_interval_ms",
                limits.probe_interval,
                up_to_secs(60),
            ),
            probe_timeout: section.millis("probe_limit_ms", limits.ack_timeout, up_to_secs(60)),
            indirect_probes: section.count("indirect_probes", indirect_probes, 0..=16),
            gone_after: section.millis("gone_after_ms", limits.suspicion_timeout, up_to_secs(3600)),
            list_interval: section.millis("list_interval_ms", limits.list_interval, up_to_secs(60)),
            watchers: section.count("watchers", watchers, 1..=16),
            stale_after: section.millis("stale_after_ms", limits.stale_after, up_to_secs(600)),
            unready_after: section.millis(
                "unready_after_ms",
                limits.isolation_timeout,
                up_to_secs(86_400),
            ),
            seeds: Vec::new(),
        };
        section.finish();
        let seeds =
            items.into_iter().filter_map(|(path, line, item)| seed(document, path, line, item));
        membership.seeds = seeds.collect();
        membership
    }
}

/// How operations are claimed. The layout of keys over values is part of the
/// stored format and cannot be set; see [`claims::layout::Layout`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claims {
    /// The time for which an idempotency key is remembered after its issue.
    pub window: Duration,
    /// The largest value that holds claims in the platform's service, in bytes.
    pub value_limit_bytes: u64,
    /// The most by which the time of issue of a key may lie ahead of this VM's
    /// clock.
    pub clock_skew: Duration,
    /// The time for which an outcome waits for others, to be written with them.
    pub batch_delay: Duration,
}

/// The least allowed [`Claims::value_limit_bytes`].
const MIN_VALUE_LIMIT_BYTES: u64 = 64 * KIB;

impl Claims {
    pub(super) fn read(document: &mut Document<'_>) -> Claims {
        let limits = claims::Limits::default();
        let allowed_bytes = MIN_VALUE_LIMIT_BYTES..=MAX_VALUE_BYTES as u64;
        let allowed_delay = Duration::ZERO..=Duration::from_secs(1);
        let mut section = document.section("claims");
        let claims = Claims {
            window: section.millis("window_ms", limits.window, up_to_secs(86_400)),
            value_limit_bytes: section.size(
                "value_limit_bytes",
                limits.bucket_bytes as u64,
                allowed_bytes,
            ),
            clock_skew: section.millis("future_ms", limits.skew, up_to_secs(600)),
            batch_delay: section.millis("gather_ms", limits.batch_delay, allowed_delay),
        };
        section.finish();
        claims
    }
}

/// How requests that crash targets are held back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// The most requests that are held back at a time.
    pub capacity: u32,
    /// The time for which a request is held back.
    pub hold_time: Duration,
    /// The time for which a request that crashed a target is remembered.
    pub suspect_time: Duration,
    /// The number of lost targets after which a request is held back.
    pub lost_targets: u32,
}

impl Quarantine {
    pub(super) fn read(document: &mut Document<'_>) -> Quarantine {
        let limits = Limits::default();
        let (hold_time, suspect_time) = (limits.quarantine_duration, limits.suspect_duration);
        let lost_targets = count(traffic::Limits::default().lost_targets);
        let mut section = document.section("quarantine");
        let quarantine = Quarantine {
            capacity: section.count("capacity", count(limits.max_fingerprints), 1..=100_000),
            hold_time: section.millis("hold_ms", hold_time, up_to_secs(86_400)),
            suspect_time: section.millis("suspect_ms", suspect_time, up_to_secs(3600)),
            lost_targets: section.count("lost_targets", lost_targets, 1..=2),
        };
        section.finish();
        quarantine
    }
}

/// Converts a default of the core's limits to the type of the settings.
fn count(default: usize) -> u32 {
    u32::try_from(default).unwrap_or(u32::MAX)
}

/// How the VM shuts down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shutdown {
    /// The time for which the VM reports that it is not ready and still takes
    /// requests, so that the balancer can stop sending to it.
    pub announce: Duration,
    /// The time after which the VM exits even if requests are in flight.
    pub limit: Duration,
}

impl Shutdown {
    pub(super) fn read(document: &mut Document<'_>) -> Shutdown {
        let mut section = document.section("shutdown");
        let announce = Duration::ZERO..=Duration::from_secs(60);
        let shutdown = Shutdown {
            announce: section.millis("announce_ms", DEFAULT_SHUTDOWN_ANNOUNCE, announce),
            limit: section.millis("limit_ms", DEFAULT_SHUTDOWN_LIMIT, up_to_secs(3600)),
        };
        section.finish();
        shutdown
    }
}

/// The format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON document for each line.
    Json,
    /// Plain text.
    Text,
}

/// The format, level and limits of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Log {
    pub format: Format,
    /// The least severe level that is written.
    pub level: laburnum_core::log::Level,
    /// The lines that may wait to be written. Lines beyond it are dropped and
    /// counted.
    pub queue_lines: u32,
    /// The lines written each second for each event. Lines beyond it are
    /// suppressed and counted.
    pub lines_per_second: u32,
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
            queue_lines: section.count("queue", DEFAULT_LOG_QUEUE_LINES, 16..=1_000_000),
            lines_per_second: section.count("rate", DEFAULT_LOG_LINES_PER_SECOND, 1..=100_000),
        };
        section.finish();
        log
    }
}
