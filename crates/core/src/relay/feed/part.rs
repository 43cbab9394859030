//! How a VM serves requests: by itself, or through larger ones.

use std::{collections::BTreeMap, time::Duration};

use super::{
    system::Context,
    table::{Part, Purpose, Tables},
};
use crate::{
    log::{Event, Line},
    name::Name,
    relay::view::Vm,
    time::Instant,
};

/// How many times the processor time of a VM another one must have to be handed
/// its requests: the way there and back must be worth it.
const LARGER: u32 = 3;

/// The VMs with so much more processor time than this one.
pub fn larger(tables: &Tables) -> BTreeMap<Name, Vm> {
    let least = tables.own.vm.share.saturating_mul(LARGER);
    let vms = tables.view.vms.iter().filter(|(_, vm)| vm.share >= least);
    vms.map(|(name, vm)| (name.clone(), vm.clone())).collect()
}

/// Decides after a reading of the list of VMs.
pub fn decide(tables: &mut Tables, cx: &mut Context<'_>) {
    if !larger(tables).is_empty() {
        take(tables, Part::Handing, cx);
        return;
    }
    let turn = turn(tables, cx);
    if tables.entered.is_some() || turn <= cx.now {
        take(tables, Part::Forwarding, cx);
        tables.next = Some(Purpose::All);
    } else {
        tables.next = Some(Purpose::Vms);
        tables.not_before = turn;
    }
}

/// When this VM may enter itself. VMs that start together for the first time
/// find an empty list; the larger ones enter themselves first, so that the
/// smaller ones find them and need no entry.
fn turn(tables: &Tables, cx: &Context<'_>) -> Instant {
    let share = Duration::from_secs(1).mul_f64(f64::from(tables.own.vm.share.min(1000)) / 1000.0);
    let part = Duration::from_secs(1).saturating_sub(share).as_secs_f64();
    tables.started.unwrap_or(cx.now) + cx.limits.entry.mul_f64(part)
}

fn take(tables: &mut Tables, part: Part, cx: &mut Context<'_>) {
    tables.part = part;
    tables.is_changed = true;
    let text = if part == Part::Handing { "hands requests on" } else { "forwards requests" };
    let fields = vec![
        ("part", text.to_owned()),
        ("larger", larger(tables).len().to_string()),
        ("vms", tables.view.vms.len().to_string()),
    ];
    cx.out.lines.push(Line::new(Event::RoleDecided, fields));
}

/// What follows a reading of everything.
pub fn after_reading(tables: &Tables) -> Purpose {
    let is_listed = tables.view.vms.get(&tables.own.name) == Some(&tables.own.vm);
    if is_listed || tables.part != Part::Forwarding { Purpose::Watch } else { Purpose::Entry }
}
