//! Removes or downgrades rows whose time has passed.

use super::{member, pause};
use crate::{
    control::{engine::Step, table::Tables},
    name::Name,
};

/// The number of announcements above which old ones of unlisted targets are
/// removed.
const MAX_ANNOUNCEMENTS: usize = 4096;

/// Removes or downgrades the rows whose time has passed.
pub fn run(tables: &mut Tables, step: &mut Step<'_>) {
    expire_suspects(tables, step);
    forget_gone(tables, step);
    check_isolation(tables, step);
    expire_quarantine(tables, step);
    expire_announcements(tables, step);
}

fn expire_suspects(tables: &mut Tables, step: &mut Step<'_>) {
    let vms = &tables.vms;
    let due = |vm: &&Name| vms.rows[*vm].gone_at.is_some_and(|at| at <= step.now);
    let due: Vec<Name> = vms.suspects.iter().filter(due).cloned().collect();
    due.iter().for_each(|vm| member::mark_gone(tables, step, vm));
}

fn forget_gone(tables: &mut Tables, step: &Step<'_>) {
    let vms = &tables.vms;
    let due = |vm: &&Name| {
        let row = &vms.rows[*vm];
        !row.listed && step.now.since(row.since) >= step.limits.retention
    };
    let due: Vec<Name> = vms.gone.iter().filter(due).cloned().collect();
    for vm in &due {
        tables.peer_revisions.remove(vm);
    }
    tables.vms.forget(&due);
}

/// Makes this VM not ready when it has heard neither a VM nor the service for
/// too long: a revision may be in force elsewhere that this VM cannot learn of.
fn check_isolation(tables: &mut Tables, step: &Step<'_>) {
    let alone = tables.vms.rows.is_empty();
    let silent = step.now.since(tables.own.last_heard) >= step.limits.isolation_timeout;
    if tables.own.learnt && silent && !alone {
        pause::reset_confirmations(tables, step.now);
    }
}

fn expire_quarantine(tables: &mut Tables, step: &Step<'_>) {
    if tables.quarantine.next().is_none_or(|next| next > step.now) {
        return;
    }
    tables.quarantine.suspects.retain(|_, row| row.until > step.now);
    tables.quarantine.quarantined.retain(|_, row| row.until > step.now);
    tables.view_changed = true;
}

fn expire_announcements(tables: &mut Tables, step: &Step<'_>) {
    let targets = &mut tables.targets;
    if targets.announcements.len() > MAX_ANNOUNCEMENTS {
        let (now, limit, listed) = (step.now, step.limits.retention, &targets.listed);
        targets
            .announcements
            .retain(|name, received| listed.contains_key(name) || now.since(received.at) < limit);
    }
}
