//! The limits of the decisions, from the settings.

use laburnum_core::{claims, control, traffic};

use crate::{settings::Settings, wire};

/// The limits of a traffic thread.
pub fn traffic(settings: &Settings) -> traffic::Limits {
    let threads = settings.listen.traffic.len().max(1);
    let open = usize::try_from(settings.callers.open_requests).unwrap_or(usize::MAX);
    traffic::Limits {
        open_requests: open.div_ceil(threads),
        open: settings.targets.open_limit,
        poll: settings.targets.probe_interval,
        silent: settings.targets.silent_after,
        connections: settings.targets.spare_connections + 1,
        lost_targets: usize::try_from(settings.quarantine.lost_targets).unwrap_or(usize::MAX),
        suspect: settings.quarantine.hold,
        budget: settings.retry.burst,
        ..traffic::Limits::default()
    }
}

/// The limits of the control thread.
pub fn control(settings: &Settings) -> control::Limits {
    let membership = &settings.membership;
    control::Limits {
        probe: membership.probe_interval,
        ack: membership.probe_limit,
        indirect: usize::try_from(membership.indirect_probes).unwrap_or(usize::MAX),
        suspicion: membership.suspect_after,
        list: membership.list_interval,
        watchers: usize::try_from(membership.watchers).unwrap_or(usize::MAX),
        stale: membership.stale_after,
        isolation: membership.unready_after,
        call: settings.platform.call_limit,
        condemned_fingerprint: settings.quarantine.hold,
        fingerprints: usize::try_from(settings.quarantine.capacity).unwrap_or(usize::MAX),
        ..control::Limits::default()
    }
}

/// The limits of the claims.
pub fn claims(settings: &Settings) -> claims::Limits {
    claims::Limits {
        window: settings.claims.window,
        skew: settings.claims.future,
        call: settings.platform.call_limit,
        gather: settings.claims.gather,
        ..claims::Limits::default()
    }
}

/// The limits of the connections between VMs.
pub fn wire(settings: &Settings) -> wire::Limits {
    let peers = &settings.peers;
    wire::Limits {
        frame: usize::try_from(peers.frame_limit).unwrap_or(usize::MAX),
        queue_bytes: usize::try_from(peers.queue_limit).unwrap_or(usize::MAX),
        ping_interval: peers.ping_interval,
        ping_limit: peers.ping_limit,
        ..wire::Limits::default()
    }
}
