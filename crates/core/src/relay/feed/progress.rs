//! What VMs tell each other about the store.
//!
//! A watch that is never answered looks like one for which nothing changed. So a
//! VM that learns of a change tells a few others how far it has read; one that
//! stays behind reads everything again, and is not current until it has.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    system::{Context, set_current},
    table::{Part, Purpose, Tables},
};
use crate::{
    log::{Event, Line},
    name::Name,
};

/// The VMs that are told, so that one that is gone or cut off does not end the
/// chain.
const LISTENERS: usize = 4;

/// The time that a VM may be behind: its own watch gathers changes for a while.
const BEHIND: Duration = Duration::from_millis(1000);

/// How far a VM has read the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The version of the newest entry.
    pub latest: u64,
}

/// Takes what another VM says.
pub fn hear(tables: &mut Tables, progress: Progress, cx: &Context<'_>) {
    if progress.latest > tables.latest.max(tables.heard) {
        tables.heard = progress.latest;
        tables.behind_at.get_or_insert(cx.now + BEHIND);
    }
}

/// Tells the next few VMs in the order of their names how far this one has read,
/// or has heard that others have: where the store ignores most VMs, the few that
/// read do not reach all others themselves.
pub fn tell(tables: &mut Tables, cx: &mut Context<'_>) {
    let latest = tables.latest.max(tables.heard);
    if tables.told >= latest || tables.part != Part::Forwarding {
        return;
    }
    tables.told = latest;
    let progress = Progress { latest };
    cx.out.progress.extend(listeners(tables).into_iter().map(|to| (to, progress)));
}

fn listeners(tables: &Tables) -> Vec<SocketAddr> {
    let own = &tables.own.name;
    let is_after = |name: &Name| name > own;
    let after = tables.view.vms.iter().filter(|(name, _)| is_after(name));
    let before = tables.view.vms.iter().filter(|(name, _)| *name < own);
    after.chain(before).take(LISTENERS).map(|(_, vm)| vm.address).collect()
}

/// Reads everything again if this VM stayed behind.
pub fn check(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.heard <= tables.latest {
        tables.behind_at = None;
        return;
    }
    if tables.behind_at.is_none_or(|at| at > cx.now) {
        return;
    }
    tables.behind_at = Some(cx.now + BEHIND);
    if !matches!(tables.call, Some((_, Purpose::Watch))) {
        return;
    }
    let fields = vec![("own", tables.latest.to_string()), ("heard", tables.heard.to_string())];
    cx.out.lines.push(Line::new(Event::StoreSilent, fields));
    // A reply that still comes belongs to no call any more.
    tables.call = None;
    tables.next = Some(Purpose::All);
    tables.not_before = cx.now;
    set_current(tables, false);
}
