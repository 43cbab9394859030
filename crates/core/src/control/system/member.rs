//! The states of VMs, merged from all reports.

use super::pause;
use crate::{
    claims,
    control::{
        engine::Context,
        message::{Contact, Health, Member},
        request::Source,
        table::{Tables, gossip::Key, vm::Vm},
    },
    log::{Event, Line},
    name::Name,
    view,
};

/// Merges the state of a VM as `from` reported it.
pub fn apply(tables: &mut Tables, cx: &mut Context<'_>, member: Member, from: &Name) {
    if member.vm == tables.own.vm.name {
        return refute(tables, cx, &member);
    }
    let source = Source::Peer(from.clone());
    merge(tables, cx, member, source);
}

/// Notes that the VM `from` runs in `incarnation`, as a message of its own
/// shows.
pub fn confirm_running(tables: &mut Tables, cx: &mut Context<'_>, from: &Name, incarnation: u64) {
    let Some(row) = tables.vms.rows.get(from) else { return };
    if incarnation <= row.member.incarnation {
        return;
    }
    let member = Member { incarnation, health: Health::Live, leaving: false, ..row.member.clone() };
    merge(tables, cx, member, Source::Peer(from.clone()));
}

/// Adds a VM from the platform's list unless it is known. The list lags and
/// does not tell when the VM started, so anything that the VM reports itself
/// takes precedence.
pub fn add_listed(tables: &mut Tables, cx: &mut Context<'_>, vm: &view::Vm) {
    if vm.name == tables.own.vm.name || tables.vms.rows.contains_key(&vm.name) {
        return;
    }
    let contact =
        Contact { domain: vm.domain.clone(), control: vm.control, traffic: vm.traffic.clone() };
    let leaving = vm.state == view::State::Leaving;
    let member =
        Member { vm: vm.name.clone(), incarnation: 0, health: Health::Live, leaving, contact };
    merge(tables, cx, member, Source::List);
}

/// Marks a live VM that did not answer as suspect.
pub fn mark_suspect(tables: &mut Tables, cx: &mut Context<'_>, vm: &Name) {
    let Some(row) = tables.vms.rows.get(vm) else { return };
    if row.member.health == Health::Live {
        let member = Member { health: Health::Suspect, ..row.member.clone() };
        merge(tables, cx, member, Source::Own);
    }
}

/// Marks a VM as gone that was suspect for too long.
pub fn mark_gone(tables: &mut Tables, cx: &mut Context<'_>, vm: &Name) {
    let Some(row) = tables.vms.rows.get(vm) else { return };
    let member = Member { health: Health::Gone, ..row.member.clone() };
    merge(tables, cx, member, Source::Own);
}

/// Overrides a wrong report about this VM by taking a higher incarnation.
fn refute(tables: &mut Tables, cx: &mut Context<'_>, update: &Member) {
    let own = &mut tables.own;
    let current = update.incarnation == own.vm.incarnation;
    if update.incarnation > own.vm.incarnation {
        own.vm.incarnation = update.incarnation + 1;
    } else if current && update.health == Health::Suspect {
        own.vm.incarnation += 1;
    } else if current && update.health == Health::Gone {
        return pause::resume(tables, cx, "declared gone");
    } else {
        return;
    }
    tables.gossip.add(Key::Member(tables.own.vm.name.clone()));
    tables.view_changed = true;
}

/// Merges a report into the row of its VM. A higher incarnation replaces the
/// state; within one incarnation the worse health wins and a VM that is leaving
/// stays so. The order in which reports arrive therefore makes no difference.
fn merge(tables: &mut Tables, cx: &mut Context<'_>, update: Member, source: Source) {
    let name = update.vm.clone();
    let Some(row) = tables.vms.rows.get_mut(&name) else {
        if update.health != Health::Gone {
            insert(tables, cx, update, source);
        }
        return;
    };
    let old = row.member.clone();
    let new = if update.incarnation > old.incarnation {
        update
    } else if update.incarnation < old.incarnation {
        return;
    } else {
        let health = old.health.max(update.health);
        Member { health, leaving: old.leaving || update.leaving, ..old.clone() }
    };
    if new == old {
        return;
    }
    row.gone_at = match new.health {
        Health::Suspect if old.incarnation == new.incarnation && old.health == new.health => {
            row.gone_at
        }
        Health::Suspect => Some(cx.now + cx.limits.suspicion_timeout),
        Health::Live | Health::Gone => None,
    };
    if old.incarnation != new.incarnation {
        row.acked_incarnation = 0;
    }
    if (old.health, old.leaving) != (new.health, new.leaving) {
        row.since = cx.now;
        row.source = source;
        log_change(cx, &new);
    }
    let health = new.health;
    row.member = new;
    changed(tables, &name, health);
    tables.gossip.add(Key::Member(name));
}

fn insert(tables: &mut Tables, cx: &mut Context<'_>, member: Member, source: Source) {
    let name = member.vm.clone();
    let gone_at =
        (member.health == Health::Suspect).then_some(cx.now + cx.limits.suspicion_timeout);
    log_change(cx, &member);
    // Every VM reads the platform's list, so a listed VM need not be gossiped.
    if source != Source::List {
        tables.gossip.add(Key::Member(name.clone()));
    }
    let row = Vm { member, listed: false, since: cx.now, source, gone_at, acked_incarnation: 0 };
    let health = row.member.health;
    tables.vms.rows.insert(name.clone(), row);
    changed(tables, &name, health);
}

fn changed(tables: &mut Tables, vm: &Name, health: Health) {
    if health != Health::Live {
        // Claims that wait for an answer of this VM as their home go to the
        // next home.
        tables.claims.events.push(claims::Event::Unreachable { vm: vm.clone() });
    }
    tables.vms.update_index(vm, health);
    tables.view_changed = true;
}

fn log_change(cx: &mut Context<'_>, member: &Member) {
    let event = match member.health {
        Health::Live if member.leaving => Event::VmLeaving,
        Health::Live => Event::VmLive,
        Health::Suspect => Event::VmSuspect,
        Health::Gone => Event::VmGone,
    };
    let fields = vec![
        ("peer", member.vm.to_string()),
        ("incarnation", member.incarnation.to_string()),
        ("leaving", member.leaving.to_string()),
    ];
    cx.out.lines.push(Line::new(event, fields));
}
