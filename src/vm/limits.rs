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
        connect_timeout: settings.targets.open_limit,
        status_interval: settings.targets.probe_interval,
        status_max_age: settings.targets.probe_interval * PROBES_MISSED,
        status_timeout: settings.targets.silent_after,
        connections: settings.targets.connections,
        lost_targets: size(settings.quarantine.lost_targets),
        suspect_ttl: settings.quarantine.suspect,
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
        probe: membership.probe_interval,
        ack: membership.probe_limit,
        indirect: size(membership.indirect_probes),
        suspicion: membership.gone_after,
        list: membership.list_interval,
        watchers: size(membership.watchers),
        stale: membership.stale_after,
        isolation: membership.unready_after,
        call: settings.platform.call_limit,
        suspect_fingerprint: settings.quarantine.suspect,
        lost_targets: usize::try_from(settings.quarantine.lost_targets).unwrap_or(usize::MAX),
        condemned_fingerprint: settings.quarantine.hold,
        fingerprints: size(settings.quarantine.capacity),
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
        skew: settings.claims.future,
        call: settings.platform.call_limit,
        gather: settings.claims.gather,
        value: bytes(settings.claims.value_limit),
        ..claims::Limits::default()
    }
}

/// The limits of the connections between VMs.
pub fn wire(settings: &Settings) -> wire::Limits {
    let peers = &settings.peers;
    wire::Limits {
        frame_bytes: bytes(peers.frame_limit),
        queue_bytes: bytes(peers.queue_limit),
        ping_interval: peers.ping_interval,
        ping_timeout: peers.ping_limit,
        ..wire::Limits::default()
    }
}

fn size(count: u32) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}

fn bytes(count: u64) -> usize {
    usize::try_from(count).unwrap_or(usize::MAX)
}
