//! What operators are shown of the tables.

use std::time::Duration;

use crate::{
    control::{
        engine::Step,
        listing,
        request::{InForce, Source, Status},
        table::{Tables, Word},
    },
    name::Name,
    profile::Revision,
    time::Instant,
    view,
};

/// Tells which revision is in force on which VM.
pub fn revisions(tables: &Tables, step: &Step<'_>) -> Status {
    let revision = tables.in_force.document.revision;
    let present = tables.vms.rows.iter().filter(|(_, row)| row.present());
    let others = present.map(|(name, _)| other(name, tables.words.get(name), step));
    let vms: Vec<InForce> = std::iter::once(own(tables, step)).chain(others).collect();
    let has = |row: &&InForce| row.revision.is_some_and(|found: Revision| found >= revision);
    Status { revision, in_force: vms.iter().filter(has).count(), vms }
}

fn own(tables: &Tables, step: &Step<'_>) -> InForce {
    InForce {
        vm: tables.own.vm.name.clone(),
        revision: Some(tables.in_force.document.revision),
        heard: Some(Duration::ZERO),
        confirmed: tables.in_force.confirmed.map(|age| age.at(step.now)),
        silent: false,
    }
}

fn other(name: &Name, word: Option<&Word>, step: &Step<'_>) -> InForce {
    let heard = word.map(|word| word.heard.at(step.now));
    InForce {
        vm: name.clone(),
        revision: word.map(|word| word.revision),
        heard,
        confirmed: word.and_then(|word| Some(word.confirmed? + word.heard.at(step.now))),
        silent: heard.is_none_or(|heard| heard > step.limits.silent_after),
    }
}

/// Lists the VMs, this one among them.
pub fn vms(tables: &Tables, now: Instant) -> Vec<listing::Vm> {
    let own = listing::Vm {
        vm: tables.own.vm.clone(),
        gone: false,
        since: now.since(Instant::default()),
        source: Source::Own,
    };
    let others = tables.vms.rows.values().map(|row| listing::Vm {
        vm: row.shown().unwrap_or_else(|| row.named(view::State::Suspect)),
        gone: !row.present(),
        since: now.since(row.since),
        source: row.source.clone(),
    });
    std::iter::once(own).chain(others).collect()
}

/// Lists the targets.
pub fn targets(tables: &Tables, now: Instant) -> Vec<listing::Target> {
    let targets = &tables.targets;
    let row = |(name, target): (Name, view::Target)| {
        let heard = targets.words.get(&name);
        let own = heard.filter(|heard| heard.word.draining);
        let listed = targets.since.get(&name).copied();
        let since = own.map(|heard| heard.at).or(listed).unwrap_or(now);
        let source = own.map_or(Source::List, |heard| heard.source.clone());
        listing::Target { target, since: now.since(since), source }
    };
    targets.shown().into_iter().map(row).collect()
}
