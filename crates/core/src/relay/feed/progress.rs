//! Messages between VMs about how far each has read the store.
//!
//! A watch that is never answered looks the same as one for which nothing
//! changed. A VM that learns of a change therefore announces to a few others how
//! far it has read. A VM that stays behind reads everything again, and does not
//! count as current until it has. A VM that doubts that the store answers announces
//! that too, because an outage usually silences the watches of all VMs at once.

use std::{net::SocketAddr, time::Duration};

use rand::RngExt;
use serde::{Deserialize, Serialize};

use super::{
    availability::set_current,
    confirm,
    context::Context,
    probe,
    reading::{Heard, Remedy, Standing},
    table::{Purpose, Role, Tables},
};
use crate::{
    log::{Event, Line},
    name::Name,
    store::Position,
};

/// The longest time by which a VM delays its scan after it learns that the store has begun a
/// new era, so that not all VMs scan and register at the same moment.
const MAX_ERA_DELAY: Duration = Duration::from_millis(200);

/// How long a VM takes up no further doubt after one.
const DOUBT_PAUSE: Duration = Duration::from_secs(1);

/// What a VM announces about its reading of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The VM that announces it.
    pub from: Name,
    /// The newest change that it knows of.
    pub position: Position,
    pub reason: Reason,
}

/// Why a VM announces its progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reason {
    /// It has learned of a newer change.
    Change,
    /// It doubts that the store answers, so that the receiver should check.
    Doubt,
    /// The store has just confirmed that there is no newer change.
    Confirmation,
}

/// Records what another VM announced. It confirms the state of this VM only if this VM has
/// read as far in the same era.
pub fn receive(tables: &mut Tables, progress: Progress, cx: &mut Context<'_>) {
    let Progress { from, position, reason } = progress;
    record_latest(tables, position, Some(from), cx);
    match reason {
        Reason::Doubt => probe::take_up_doubt(tables, cx),
        Reason::Change | Reason::Confirmation if tables.reading.is_complete_at(position) => {
            confirm::record(tables, cx);
        }
        Reason::Change | Reason::Confirmation => {}
    }
}

/// Records that the store has a change at `position`, as the VM `from` or a check of this VM
/// says, and starts the time limit for reading it.
pub fn record_latest(
    tables: &mut Tables,
    position: Position,
    from: Option<Name>,
    cx: &mut Context<'_>,
) {
    if !tables.reading.hear(position, from, cx.now) {
        return;
    }
    if tables.reading.standing() == Standing::Superseded {
        leave_era(tables, cx);
    } else {
        // A change is also read late because this VM pauses between two watches.
        tables.reading.start_lag(cx.now.max(tables.not_before));
    }
    if let Some(probe) = &mut tables.probe {
        probe.next_at = cx.now;
    }
}

/// Schedules a scan because the era in which this VM has read is over. Its watch continues
/// nothing, and may never be answered.
pub fn leave_era(tables: &mut Tables, cx: &mut Context<'_>) {
    set_current(tables, false);
    let delay = MAX_ERA_DELAY.mul_f64(cx.random.random::<f64>());
    tables.reading.schedule_scan(cx.now + delay);
}

/// Announces how far this VM or any VM that announced its progress to it has read. VMs
/// pass announcements on because, where the store does not answer most VMs, the few
/// that it answers do not reach all others themselves.
pub fn announce(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.reading.has_news() && tables.role == Role::Forwarding {
        send(tables, Reason::Change, cx);
    }
}

/// Announces that the store did not answer this VM or another one in time.
pub fn announce_doubt(tables: &mut Tables, cx: &mut Context<'_>) {
    tables.doubt_pause_until = cx.now + DOUBT_PAUSE;
    if tables.role == Role::Forwarding {
        send(tables, Reason::Doubt, cx);
    }
}

/// Tells all VMs that the store has just confirmed how far this one has read.
pub fn send_to_all(tables: &Tables, cx: &mut Context<'_>) {
    let Some(position) = tables.reading.position() else { return };
    let progress =
        Progress { from: tables.own.name.clone(), position, reason: Reason::Confirmation };
    cx.out.progress.extend(tables.others().map(|(_, vm)| (vm.address, progress.clone())));
}

fn send(tables: &mut Tables, reason: Reason, cx: &mut Context<'_>) {
    let position = tables.reading.announce();
    let progress = Progress { from: tables.own.name.clone(), position, reason };
    cx.out.progress.extend(recipients(tables).into_iter().map(|to| (to, progress.clone())));
}

/// Returns the VMs at distances 1, 2, 4, 8 and so on after this one, in the order of
/// their names, so that an announcement reaches all VMs in few steps and by several
/// ways.
fn recipients(tables: &Tables) -> Vec<SocketAddr> {
    let own = &tables.own.name;
    let after = tables.view.vms.iter().filter(|(name, _)| *name > own);
    let before = tables.view.vms.iter().filter(|(name, _)| *name < own);
    let others: Vec<SocketAddr> = after.chain(before).map(|(_, vm)| vm.address).collect();
    let distances = std::iter::successors(Some(1_usize), |distance| Some(distance * 2));
    distances.map_while(|distance| others.get(distance - 1).copied()).collect()
}

/// Schedules a new scan of the store if this VM has stayed behind others for too long. What
/// several scans have not confirmed does not exist, and is dropped.
pub fn rescan_if_behind(tables: &mut Tables, cx: &mut Context<'_>) {
    if !tables.reading.is_overdue(cx.now) || !tables.can_rescan() {
        return;
    }
    match tables.reading.remedy(cx.now) {
        Remedy::Forget => {
            cx.out.lines.push(Line::new(Event::AnnouncementDropped, lag(tables, cx)));
            tables.reading.forget_heard();
        }
        Remedy::Scan => {
            cx.out.lines.push(Line::new(Event::StoreSilent, lag(tables, cx)));
            tables.abandon_call();
            cx.out.drop_idle = true;
            tables.next_purpose = Some(Purpose::Scan);
            tables.not_before = cx.now;
            set_current(tables, false);
        }
    }
}

/// Returns the fields of a line about a VM that is behind others: how far each is, by whose
/// word and since when, and what the store itself said last.
fn lag(tables: &Tables, cx: &Context<'_>) -> Vec<(&'static str, String)> {
    let own = tables.reading.position().unwrap_or_default();
    let Heard { position: heard, from, at, .. } = tables.reading.heard();
    let mut fields = vec![
        ("own", own.change.to_string()),
        ("own_era", own.era.0.to_string()),
        ("heard", heard.change.to_string()),
        ("heard_era", heard.era.0.to_string()),
        ("from", from.as_ref().map_or_else(String::new, Name::to_string)),
        ("heard_ms_ago", cx.now.since(*at).as_millis().to_string()),
    ];
    if let Some(scan) = tables.reading.last_scan() {
        fields.push(("scanned", scan.position.change.to_string()));
        fields.push(("scanned_ms_ago", cx.now.since(scan.at).as_millis().to_string()));
    }
    fields
}
