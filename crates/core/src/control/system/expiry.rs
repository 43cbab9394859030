//! Removes or downgrades rows whose time has passed.

use super::{member, pause};
use crate::{
    control::{engine::Context, table::Tables},
    name::Name,
};

/// The number of announcements above which old ones of unlisted targets are
/// removed.
const MAX_ANNOUNCEMENTS: usize = 4096;

/// Removes or downgrades the rows whose time has passed.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    expire_suspects(tables, cx);
    remove_gone(tables, cx);
    check_isolation(tables, cx);
    expire_quarantine(tables, cx);
    expire_announcements(tables, cx);
}

fn expire_suspects(tables: &mut Tables, cx: &mut Context<'_>) {
    let vms = &tables.vms;
    let due = |vm: &&Name| vms.rows[*vm].gone_at.is_some_and(|at| at <= cx.now);
    let due: Vec<Name> = vms.suspects.iter().filter(due).cloned().collect();
    due.iter().for_each(|vm| member::mark_gone(tables, cx, vm));
}

fn remove_gone(tables: &mut Tables, cx: &Context<'_>) {
    let vms = &tables.vms;
    let due = |vm: &&Name| {
        let row = &vms.rows[*vm];
        !row.listed && cx.now.since(row.since) >= cx.limits.retention
    };
    let due: Vec<Name> = vms.gone.iter().filter(due).cloned().collect();
    for vm in &due {
        tables.peer_revisions.remove(vm);
    }
    tables.vms.remove_all(&due);
}

/// Makes this VM not ready when it has received nothing from other VMs or the
/// service for too long: a revision may be in force elsewhere that this VM cannot
/// learn of.
fn check_isolation(tables: &mut Tables, cx: &Context<'_>) {
    let alone = tables.vms.rows.is_empty();
    let silent = cx.now.since(tables.own.last_received) >= cx.limits.isolation_timeout;
    if tables.own.learnt && silent && !alone {
        pause::reset_confirmations(tables, cx.now);
    }
}

fn expire_quarantine(tables: &mut Tables, cx: &Context<'_>) {
    if tables.quarantine.next().is_none_or(|next| next > cx.now) {
        return;
    }
    tables.quarantine.suspects.retain(|_, row| row.until > cx.now);
    tables.quarantine.quarantined.retain(|_, row| row.until > cx.now);
    tables.view_changed = true;
}

fn expire_announcements(tables: &mut Tables, cx: &Context<'_>) {
    let targets = &mut tables.targets;
    if targets.announcements.len() > MAX_ANNOUNCEMENTS {
        let (now, limit, listed) = (cx.now, cx.limits.retention, &targets.listed);
        targets
            .announcements
            .retain(|name, received| listed.contains_key(name) || now.since(received.at) < limit);
    }
}
