//! The limits of the decisions, from the settings.

use std::net::SocketAddr;

use laburnum_core::{claims, control, name::Name, traffic};

use crate::{
    settings::{Settings, traffic::Callers},
    wire,
};

/// The reads of a target's status that may go missing before its word that it
/// takes work is too old to act on.
const PROBES_MISSED: u32 = 2;

/// The limits of a traffic thread.
pub fn traffic(settings: &Settings) -> traffic::Limits {
    traffic::Limits {
        open_requests: size(share(settings, settings.callers.open_requests)),
        connect_timeout: settings.targets.connect_timeout,
        status_interval: settings.targets.status_interval,
        status_max_age: settings.targets.status_interval * PROBES_MISSED,
        status_timeout: settings.targets.status_timeout,
        connections: settings.targets.connections,
        lost_targets: size(settings.quarantine.lost_targets),
        suspect_ttl: settings.quarantine.suspect_time,
        retry_burst: settings.retry.burst,
        ..traffic::Limits::default()
    }
}

/// The limits on the callers of one traffic thread.
pub fn callers(settings: &Settings) -> Callers {
    let open_connections = share(settings, settings.callers.open_connections);
    Callers { open_connections, ..settings.callers.clone() }
}

/// What each traffic thread has of a limit of the whole VM.
fn share(settings: &Settings, limit: u32) -> u32 {
    let threads = u32::try_from(settings.listen.traffic.len()).unwrap_or(u32::MAX);
    limit.div_ceil(threads.max(1))
}

/// The limits of the control thread.
pub fn control(settings: &Settings) -> control::Limits {
    let membership = &settings.membership;
    control::Limits {
        probe_interval: membership.probe_interval,
        ack_timeout: membership.probe_timeout,
        indirect_probes: size(membership.indirect_probes),
        suspicion_timeout: membership.gone_after,
        list_interval: membership.list_interval,
        watchers: size(membership.watchers),
        stale_after: membership.stale_after,
        isolation_timeout: membership.unready_after,
        call_timeout: settings.platform.call_timeout,
        suspect_duration: settings.quarantine.suspect_time,
        lost_targets: usize::try_from(settings.quarantine.lost_targets).unwrap_or(usize::MAX),
        quarantine_duration: settings.quarantine.hold_time,
        max_fingerprints: size(settings.quarantine.capacity),
        ..control::Limits::default()
    }
}

/// The VMs that the control thread asks at the start.
pub fn seeds(settings: &Settings) -> Vec<(Name, SocketAddr)> {
    let seeds = settings.membership.seeds.iter();
    seeds.map(|seed| (seed.name.clone(), seed.control)).collect()
}

/// The limits of the claims.
pub fn claims(settings: &Settings) -> claims::Limits {
    claims::Limits {
        window: settings.claims.window,
        skew: settings.claims.clock_skew,
        call_timeout: settings.platform.call_timeout,
        batch_delay: settings.claims.batch_delay,
        bucket_bytes: bytes(settings.claims.value_limit_bytes),
        ..claims::Limits::default()
    }
}

/// The limits of the connections between VMs.
pub fn wire(settings: &Settings) -> wire::Limits {
    let peers = &settings.peers;
    wire::Limits {
        frame: bytes(peers.frame_limit_bytes),
        queue_bytes: bytes(peers.queue_limit_bytes),
        ping_interval: peers.ping_interval,
        ping_limit: peers.ping_timeout,
        ..wire::Limits::default()
    }
}

fn size(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}

fn bytes(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
