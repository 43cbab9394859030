//! The earliest time at which a system has something to do.

use super::reading;
use crate::{
    control::{Limits, table::Tables},
    time::Instant,
};

/// The earliest time at which a system has something to do without an event.
pub fn next(tables: &Tables, limits: &Limits) -> Option<Instant> {
    let vms = &tables.vms;
    let suspects = vms.suspects.iter().filter_map(|vm| vms.rows[vm].gone_at).min();
    let isolation = tables.own.learnt && !vms.rows.is_empty();
    let publications = tables.publications.values().map(|row| match row.call {
        Some(_) => row.until,
        None => row.until.min(row.next),
    });
    let stale = reading::stale(tables, limits);
    let times = [
        Some(vms.next),
        Some(vms.compare),
        (!vms.gone.is_empty()).then_some(vms.revive),
        suspects,
        vms.probes.values().map(|probe| probe.until).min(),
        isolation.then(|| tables.own.heard + limits.isolation_timeout),
        tables.gossip.fresh.then_some(tables.gossip.next),
        tables.calls.rows.values().map(|row| row.until).min(),
        reading::profiles_due(tables, stale),
        reading::list_due(tables, stale),
        publications.min(),
        tables.quarantine.next(),
    ];
    times.into_iter().flatten().min()
}
