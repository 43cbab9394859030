//! Messages between VMs about how far each has read the store.
//!
//! A watch that is never answered looks the same as one for which nothing
//! changed. A VM that learns of a change therefore announces to a few others how
//! far it has read. A VM that stays behind reads everything again, and does not
//! count as current until it has.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    system::{Context, set_current},
    table::{Purpose, Role, Tables},
};
use crate::{
    log::{Event, Line},
    name::Name,
};

/// The number of VMs that an announcement goes to: more than one, so that a VM
/// that is gone or cut off does not end its propagation.
const ANNOUNCE_FANOUT: usize = 4;

/// How long a VM may be behind others. It must exceed the time for which a VM lets
/// changes accumulate between two watches.
const MAX_LAG: Duration = Duration::from_millis(1000);

/// How far a VM has read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The version of the newest entry.
    pub latest: u64,
}

/// Records how far another VM has read, and starts the time limit for catching up.
pub fn receive(tables: &mut Tables, progress: Progress, cx: &Context<'_>) {
    if progress.latest > tables.latest.max(tables.latest_of_others) {
        tables.latest_of_others = progress.latest;
        tables.lag_deadline.get_or_insert(cx.now + MAX_LAG);
    }
}

/// Announces to the next few VMs, in the order of their names, how far this one or
/// any VM that announced its progress to it has read. VMs pass announcements on
/// because, where the store does not answer most VMs, the few that it answers do
/// not reach all others themselves.
pub fn announce(tables: &mut Tables, cx: &mut Context<'_>) {
    let latest = tables.latest.max(tables.latest_of_others);
    if tables.announced >= latest || tables.role != Role::Forwarding {
        return;
    }
    tables.announced = latest;
    let progress = Progress { latest };
    cx.out.progress.extend(recipients(tables).into_iter().map(|to| (to, progress)));
}

fn recipients(tables: &Tables) -> Vec<SocketAddr> {
    let own = &tables.own.name;
    let is_after = |name: &Name| name > own;
    let after = tables.view.vms.iter().filter(|(name, _)| is_after(name));
    let before = tables.view.vms.iter().filter(|(name, _)| *name < own);
    after.chain(before).take(ANNOUNCE_FANOUT).map(|(_, vm)| vm.address).collect()
}

/// Schedules a new scan of the store if this VM has stayed behind others for too
/// long.
pub fn rescan_if_behind(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.latest_of_others <= tables.latest {
        tables.lag_deadline = None;
        return;
    }
    if tables.lag_deadline.is_none_or(|at| at > cx.now) {
        return;
    }
    tables.lag_deadline = Some(cx.now + MAX_LAG);
    if !matches!(tables.call, Some((_, Purpose::Watch))) {
        return;
    }
    let fields =
        vec![("own", tables.latest.to_string()), ("heard", tables.latest_of_others.to_string())];
    cx.out.lines.push(Line::new(Event::StoreSilent, fields));
    // A late reply to this watch matches no call and is dropped.
    tables.call = None;
    tables.next_purpose = Some(Purpose::Scan);
    tables.not_before = cx.now;
    set_current(tables, false);
}
