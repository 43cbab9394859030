//! The role of a VM: whether it forwards requests itself or hands them to larger VMs.

use std::{collections::BTreeMap, time::Duration};

use rand::RngExt;

use super::{
    Limits,
    context::Context,
    probe,
    table::{Purpose, Role, Tables},
};
use crate::{
    log::{Event, Line},
    name::Name,
    relay::{Reach, View, view::Vm},
    time::Instant,
};

/// A VM hands its requests only to VMs with at least this many times its processor
/// time, as the gain must be worth the extra round trip.
const LARGER_VM_FACTOR: u32 = 3;

/// The longest time by which a VM delays the write of an entry that the store has lost.
const MAX_REGISTRATION_DELAY: Duration = Duration::from_millis(500);

/// Returns the VMs that have enough processor time to be handed requests by this one.
pub fn larger_vms(tables: &Tables) -> BTreeMap<Name, Vm> {
    let min_share = tables.own.vm.share.saturating_mul(LARGER_VM_FACTOR);
    let vms = tables.view.vms.iter().filter(|(_, vm)| vm.share >= min_share);
    vms.map(|(name, vm)| (name.clone(), vm.clone())).collect()
}

/// Chooses the role after the list of VMs was read, or schedules another reading.
pub fn choose_role(tables: &mut Tables, cx: &mut Context<'_>) {
    if !larger_vms(tables).is_empty() {
        set_role(tables, Role::Handing, cx);
        return;
    }
    let register_at = registration_time(tables, cx);
    if tables.own_entry.is_some() || register_at <= cx.now {
        set_role(tables, Role::Forwarding, cx);
        tables.next_purpose = Some(Purpose::Scan);
    } else {
        tables.next_purpose = Some(Purpose::ListVms);
        tables.not_before = register_at;
    }
}

/// Returns when this VM may register itself. VMs that start together for the first
/// time find an empty list. The larger ones register first, so that the smaller
/// ones find them and need no registration.
fn registration_time(tables: &Tables, cx: &Context<'_>) -> Instant {
    let share = Duration::from_secs(1).mul_f64(f64::from(tables.own.vm.share.min(1000)) / 1000.0);
    let delay_share = Duration::from_secs(1).saturating_sub(share).as_secs_f64();
    tables.started.unwrap_or(cx.now) + cx.limits.registration_window.mul_f64(delay_share)
}

fn set_role(tables: &mut Tables, role: Role, cx: &mut Context<'_>) {
    tables.role = role;
    tables.is_changed = true;
    log_role(tables, cx);
}

fn log_role(tables: &Tables, cx: &mut Context<'_>) {
    let text = if tables.is_handing() { "hands requests on" } else { "forwards requests" };
    let fields = vec![
        ("part", text.to_owned()),
        ("larger", larger_vms(tables).len().to_string()),
        ("vms", tables.view.vms.len().to_string()),
    ];
    cx.out.lines.push(Line::new(Event::RoleDecided, fields));
}

/// Decides whether a VM that hands its requests over reads the routes itself.
pub fn update_reading(tables: &mut Tables, reach: Reach, cx: &mut Context<'_>) {
    if tables.reach != reach {
        tables.reach = reach;
        tables.reach_since = cx.now;
    }
    if reading_change_at(tables, cx.limits).is_none_or(|at| at > cx.now) {
        return;
    }
    tables.is_reading = !tables.is_reading;
    if !tables.is_reading {
        stop_reading(tables);
    } else if reach == Reach::Stale {
        let spread = cx.limits.stale_delay.mul_f64(cx.random.random::<f64>());
        probe::start(tables, cx.now + spread);
    }
    log_role(tables, cx);
}

/// Returns when this VM starts or stops reading the routes itself if nothing changes
/// until then.
pub fn reading_change_at(tables: &Tables, limits: &Limits) -> Option<Instant> {
    let delay = match (tables.reach, tables.is_reading) {
        _ if tables.role != Role::Handing => return None,
        (Reach::Served, false) | (Reach::Stale | Reach::Lost, true) => return None,
        (Reach::Served, true) if !tables.view.is_current => Duration::ZERO,
        (Reach::Served, true) => limits.served_delay,
        (Reach::Stale, false) => limits.stale_delay,
        (Reach::Lost, false) => Duration::ZERO,
    };
    Some(tables.reach_since + delay)
}

/// Forgets what was read, except the VMs: it would be old when this VM needs it again.
fn stop_reading(tables: &mut Tables) {
    tables.abandon_call();
    tables.probe = None;
    tables.next_purpose = None;
    tables.reading.reset();
    tables.missing.clear();
    tables.missing_requests.clear();
    tables.held_back.clear();
    let View { vms, larger, assumed_vms, .. } = std::mem::take(&mut tables.view);
    tables.view = View { vms, larger, assumed_vms, ..View::default() };
    tables.is_changed = true;
}

/// Schedules the call that follows a scan. A VM whose entry the store has lost writes it
/// again after a random delay, as the others do so too.
pub fn continue_after_scan(tables: &mut Tables, cx: &mut Context<'_>) {
    let purpose = after_scan(tables);
    tables.next_purpose = Some(purpose);
    if purpose == Purpose::Register && tables.was_registered {
        let delay = MAX_REGISTRATION_DELAY.mul_f64(cx.random.random::<f64>());
        tables.not_before = cx.now + delay;
    }
}

/// Returns the purpose of the call that follows a scan.
pub fn after_scan(tables: &Tables) -> Purpose {
    let is_listed = tables.own_entry.is_some();
    if is_listed || tables.role != Role::Forwarding { Purpose::Watch } else { Purpose::Register }
}
