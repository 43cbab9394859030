//! The earliest time at which a system is due.

use super::{reading, restore};
use crate::{
    control::{Limits, table::Tables},
    time::Instant,
};

/// The earliest time at which a system is due even if no event arrives.
pub fn next(tables: &Tables, limits: &Limits) -> Option<Instant> {
    let vms = &tables.vms;
    let suspects = vms.suspects.iter().filter_map(|vm| vms.rows[vm].gone_at).min();
    let isolation = tables.own.learnt && !vms.rows.is_empty();
    let publications = tables.publications.values().map(|row| match row.call {
        Some(_) => row.until,
        None => row.until.min(row.next),
    });
    let stale = reading::stale_age(tables, limits);
    let times = [
        Some(vms.next_probe),
        Some(vms.next_sync),
        (!vms.gone.is_empty()).then_some(vms.next_reconnect),
        suspects,
        vms.probes.values().map(|probe| probe.until).min(),
        isolation.then(|| tables.own.last_received + limits.isolation_timeout),
        tables.gossip.has_new.then_some(tables.gossip.next_round),
        tables.calls.rows.values().map(|row| row.until).min(),
        reading::profiles_due(tables, stale),
        reading::list_due(tables, stale),
        restore::due(tables),
        publications.min(),
        tables.quarantine.next(),
    ];
    times.into_iter().flatten().min()
}
