//! Ends what lasts for a limited time.

use super::{member, pause};
use crate::{
    control::{engine::Step, table::Tables},
    name::Name,
};

/// The most words of targets that are kept.
const MAX_WORDS: usize = 4096;

/// Ends what lasts for a limited time.
pub fn run(tables: &mut Tables, step: &mut Step<'_>) {
    bury(tables, step);
    forget(tables, step);
    isolate(tables, step);
    quarantine(tables, step);
    words(tables, step);
}

fn bury(tables: &mut Tables, step: &mut Step<'_>) {
    let vms = &tables.vms;
    let due = |vm: &&Name| vms.rows[*vm].gone_at.is_some_and(|at| at <= step.now);
    let due: Vec<Name> = vms.suspects.iter().filter(due).cloned().collect();
    due.iter().for_each(|vm| member::bury(tables, step, vm));
}

fn forget(tables: &mut Tables, step: &Step<'_>) {
    let vms = &tables.vms;
    let due = |vm: &&Name| {
        let row = &vms.rows[*vm];
        !row.listed && step.now.since(row.since) >= step.limits.retention
    };
    let due: Vec<Name> = vms.gone.iter().filter(due).cloned().collect();
    for vm in &due {
        tables.words.remove(vm);
    }
    tables.vms.forget(&due);
}

/// Stops being ready when neither a VM nor the service was heard for too long:
/// a revision may be in force elsewhere that this VM cannot learn of.
fn isolate(tables: &mut Tables, step: &Step<'_>) {
    let alone = tables.vms.rows.is_empty();
    let silent = step.now.since(tables.own.heard) >= step.limits.isolation_timeout;
    if tables.own.learnt && silent && !alone {
        pause::unlearn(tables, step.now);
    }
}

fn quarantine(tables: &mut Tables, step: &Step<'_>) {
    if tables.quarantine.next().is_none_or(|next| next > step.now) {
        return;
    }
    tables.quarantine.suspects.retain(|_, row| row.until > step.now);
    tables.quarantine.condemned.retain(|_, row| row.until > step.now);
    tables.changed = true;
}

fn words(tables: &mut Tables, step: &Step<'_>) {
    let targets = &mut tables.targets;
    if targets.words.len() > MAX_WORDS {
        let (now, limit, listed) = (step.now, step.limits.retention, &targets.listed);
        targets
            .words
            .retain(|name, heard| listed.contains_key(name) || now.since(heard.at) < limit);
    }
}
