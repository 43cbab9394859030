//! Makes the limits of the decisions and of the wire from the settings.

use std::net::SocketAddr;

use laburnum_core::{claims, control, name::Name, traffic};

use crate::{
    settings::{Settings, traffic::Callers},
    wire,
};

/// The number of status reads of a target that may be missed before its last
/// known status is too old to act on.
const MAX_MISSED_STATUS_READS: u32 = 2;

/// Returns the limits of one traffic thread.
pub fn traffic(settings: &Settings) -> traffic::Limits {
    traffic::Limits {
        open_requests: count_to_usize(share(settings, settings.callers.open_requests)),
        connect_timeout: settings.targets.connect_timeout,
        status_interval: settings.targets.status_interval,
        status_max_age: settings.targets.status_interval * MAX_MISSED_STATUS_READS,
        status_timeout: settings.targets.status_timeout,
        connections: settings.targets.connections,
        lost_targets: count_to_usize(settings.quarantine.lost_targets),
        suspect_ttl: settings.quarantine.suspect_time,
        retry_burst: settings.retry.burst,
        ..traffic::Limits::default()
    }
}

/// Returns the limits on the callers of one traffic thread.
pub fn callers(settings: &Settings) -> Callers {
    let open_connections = share(settings, settings.callers.open_connections);
    Callers { open_connections, ..settings.callers.clone() }
}

/// Divides a limit of the whole VM evenly over its traffic threads, rounded up.
fn share(settings: &Settings, limit: u32) -> u32 {
    let threads = u32::try_from(settings.listen.traffic.len()).unwrap_or(u32::MAX);
    limit.div_ceil(threads.max(1))
}

/// Returns the limits of the control thread.
pub fn control(settings: &Settings) -> control::Limits {
    let membership = &settings.membership;
    control::Limits {
        probe_interval: membership.probe_interval,
        ack_timeout: membership.probe_timeout,
        indirect_probes: count_to_usize(membership.indirect_probes),
        suspicion_timeout: membership.gone_after,
        list_interval: membership.list_interval,
        watchers: count_to_usize(membership.watchers),
        stale_after: membership.stale_after,
        isolation_timeout: membership.unready_after,
        call_timeout: settings.platform.call_timeout,
        suspect_duration: settings.quarantine.suspect_time,
        lost_targets: usize::try_from(settings.quarantine.lost_targets).unwrap_or(usize::MAX),
        quarantine_duration: settings.quarantine.hold_time,
        max_fingerprints: count_to_usize(settings.quarantine.capacity),
        ..control::Limits::default()
    }
}

/// Returns the VMs that the control thread asks when the platform's list cannot
/// be read.
pub fn seeds(settings: &Settings) -> Vec<(Name, SocketAddr)> {
    let seeds = settings.membership.seeds.iter();
    seeds.map(|seed| (seed.name.clone(), seed.control)).collect()
}

/// Returns the limits of the claims.
pub fn claims(settings: &Settings) -> claims::Limits {
    claims::Limits {
        window: settings.claims.window,
        skew: settings.claims.clock_skew,
        call_timeout: settings.platform.call_timeout,
        batch_delay: settings.claims.batch_delay,
        bucket_bytes: bytes_to_usize(settings.claims.value_limit_bytes),
        ..claims::Limits::default()
    }
}

/// Returns the limits of the connections between VMs.
pub fn wire(settings: &Settings) -> wire::Limits {
    let peers = &settings.peers;
    wire::Limits {
        frame_bytes: bytes_to_usize(peers.frame_limit_bytes),
        queue_bytes: bytes_to_usize(peers.queue_limit_bytes),
        ping_interval: peers.ping_interval,
        ping_timeout: peers.ping_timeout,
        ..wire::Limits::default()
    }
}

fn count_to_usize(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}

fn bytes_to_usize(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
