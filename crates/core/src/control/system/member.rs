//! What is believed of VMs, merged from all that is said of them.

use super::pause;
use crate::{
    claims,
    control::{
        engine::Step,
        message::{Contact, Health, Member},
        request::Source,
        table::{Tables, news::Key, vm::Vm},
    },
    log::{Event, Line},
    name::Name,
    view,
};

/// Takes what `from` says of a VM.
pub fn learn(tables: &mut Tables, step: &mut Step<'_>, member: Member, from: &Name) {
    if member.vm == tables.own.vm.name {
        return refute(tables, step, &member);
    }
    let source = Source::Peer(from.clone());
    merge(tables, step, member, source);
}

/// Takes the word of a VM itself, which shows that it runs in `incarnation`.
pub fn speak(tables: &mut Tables, step: &mut Step<'_>, from: &Name, incarnation: u64) {
    let Some(row) = tables.vms.rows.get(from) else { return };
    if incarnation <= row.member.incarnation {
        return;
    }
    let member = Member { incarnation, health: Health::Live, leaving: false, ..row.member.clone() };
    merge(tables, step, member, Source::Peer(from.clone()));
}

/// Takes a VM from the platform's list, which lags and does not know when the
/// VM started; whatever the VM says itself goes before it.
pub fn listed(tables: &mut Tables, step: &mut Step<'_>, vm: &view::Vm) {
    if vm.name == tables.own.vm.name || tables.vms.rows.contains_key(&vm.name) {
        return;
    }
    let contact =
        Contact { domain: vm.domain.clone(), control: vm.control, traffic: vm.traffic.clone() };
    let leaving = vm.state == view::State::Leaving;
    let member =
        Member { vm: vm.name.clone(), incarnation: 0, health: Health::Live, leaving, contact };
    merge(tables, step, member, Source::List);
}

/// Marks a VM that did not answer.
pub fn suspect(tables: &mut Tables, step: &mut Step<'_>, vm: &Name) {
    let Some(row) = tables.vms.rows.get(vm) else { return };
    if row.member.health == Health::Live {
        let member = Member { health: Health::Suspect, ..row.member.clone() };
        merge(tables, step, member, Source::Own);
    }
}

/// Marks a VM that did not answer for too long.
pub fn bury(tables: &mut Tables, step: &mut Step<'_>, vm: &Name) {
    let Some(row) = tables.vms.rows.get(vm) else { return };
    let member = Member { health: Health::Gone, ..row.member.clone() };
    merge(tables, step, member, Source::Own);
}

/// Answers what is wrongly said of this VM by a higher incarnation.
fn refute(tables: &mut Tables, step: &mut Step<'_>, said: &Member) {
    let own = &mut tables.own;
    let current = said.incarnation == own.vm.incarnation;
    if said.incarnation > own.vm.incarnation {
        own.vm.incarnation = said.incarnation + 1;
    } else if current && said.health == Health::Suspect {
        own.vm.incarnation += 1;
    } else if current && said.health == Health::Gone {
        return pause::resume(tables, step, "called gone");
    } else {
        return;
    }
    tables.gossip.add(Key::Member(tables.own.vm.name.clone()));
    tables.changed = true;
}

/// Merges what is said into the row. A higher incarnation replaces all; within
/// one incarnation the worse health counts and leaving stays. The order in
/// which news arrives therefore makes no difference.
fn merge(tables: &mut Tables, step: &mut Step<'_>, said: Member, source: Source) {
    let name = said.vm.clone();
    let Some(row) = tables.vms.rows.get_mut(&name) else {
        if said.health != Health::Gone {
            insert(tables, step, said, source);
        }
        return;
    };
    let old = row.member.clone();
    let new = if said.incarnation > old.incarnation {
        said
    } else if said.incarnation < old.incarnation {
        return;
    } else {
        let health = old.health.max(said.health);
        Member { health, leaving: old.leaving || said.leaving, ..old.clone() }
    };
    if new == old {
        return;
    }
    row.gone_at = match new.health {
        Health::Suspect if old.incarnation == new.incarnation && old.health == new.health => {
            row.gone_at
        }
        Health::Suspect => Some(step.now + step.limits.suspicion_timeout),
        Health::Live | Health::Gone => None,
    };
    if old.incarnation != new.incarnation {
        row.introduced = 0;
    }
    if (old.health, old.leaving) != (new.health, new.leaving) {
        row.since = step.now;
        row.source = source;
        note(step, &new);
    }
    let health = new.health;
    row.member = new;
    changed(tables, &name, health);
    tables.gossip.add(Key::Member(name));
}

fn insert(tables: &mut Tables, step: &mut Step<'_>, member: Member, source: Source) {
    let name = member.vm.clone();
    let gone_at =
        (member.health == Health::Suspect).then_some(step.now + step.limits.suspicion_timeout);
    note(step, &member);
    // Every VM has the platform's list, so what it says is no news.
    if source != Source::List {
        tables.gossip.add(Key::Member(name.clone()));
    }
    let row = Vm { member, listed: false, since: step.now, source, gone_at, introduced: 0 };
    let health = row.member.health;
    tables.vms.rows.insert(name.clone(), row);
    changed(tables, &name, health);
}

fn changed(tables: &mut Tables, vm: &Name, health: Health) {
    if health != Health::Live {
        // What waits for its answer as home of a claim goes to the next one.
        tables.claims.events.push(claims::Event::Unreachable { vm: vm.clone() });
    }
    tables.vms.index(vm, health);
    tables.changed = true;
}

fn note(step: &mut Step<'_>, member: &Member) {
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
    step.out.lines.push(Line::new(event, fields));
}
