//! How long the watch of a VM waits.
//!
//! A watch that was lost is noticed when it is due. The VMs that are listed therefore
//! renew their watches one after the other, so that one of them notices soon that all
//! watches were lost, and tells the others. The order starts again after each change,
//! because a change ends all watches at the same moment.

use std::time::Duration;

use super::{Limits, table::Tables};

/// Returns how long the next watch of this VM waits for a change.
pub fn wait(tables: &Tables, limits: &Limits) -> Duration {
    let own = &tables.own.name;
    let Some(rank) = tables.view.vms.keys().position(|name| name == own) else {
        return limits.unlisted_watch_wait;
    };
    let vms = u32::try_from(tables.view.vms.len()).unwrap_or(u32::MAX);
    let round = limits.watch_spacing.saturating_mul(vms);
    let round = round.clamp(limits.min_watch_wait, limits.max_watch_wait);
    if tables.is_watch_quiet {
        return round;
    }
    round.mul_f64((rank + 1) as f64 / f64::from(vms))
}
