//! Answers to operators that are read from the tables.

use std::time::Duration;

use crate::{
    control::{
        engine::Context,
        listing,
        request::{InForce, Source, Status},
        table::{PeerRevision, Tables},
    },
    name::Name,
    profile::Revision,
    time::Instant,
    view,
};

/// The revision in force on each VM that is not gone, this one first.
pub fn revisions(tables: &Tables, cx: &Context<'_>) -> Status {
    let revision = tables.in_force.document.revision;
    let present = tables.vms.rows.iter().filter(|(_, row)| row.present());
    let others = present.map(|(name, _)| other(name, tables.peer_revisions.get(name), cx));
    let vms: Vec<InForce> = std::iter::once(own(tables, cx)).chain(others).collect();
    let has = |row: &&InForce| row.revision.is_some_and(|found: Revision| found >= revision);
    Status { revision, in_force: vms.iter().filter(has).count(), vms }
}

fn own(tables: &Tables, cx: &Context<'_>) -> InForce {
    InForce {
        vm: tables.own.vm.name.clone(),
        revision: Some(tables.in_force.document.revision),
        heard: Some(Duration::ZERO),
        confirmed: tables.in_force.confirmed.map(|age| age.at(cx.now)),
        silent: false,
    }
}

fn other(name: &Name, known: Option<&PeerRevision>, cx: &Context<'_>) -> InForce {
    let heard = known.map(|known| known.heard.at(cx.now));
    InForce {
        vm: name.clone(),
        revision: known.map(|known| known.revision),
        heard,
        confirmed: known.and_then(|known| Some(known.confirmed? + known.heard.at(cx.now))),
        silent: heard.is_none_or(|heard| heard > cx.limits.silent_after),
    }
}

/// All VMs in the table, this one first.
pub fn vms(tables: &Tables, now: Instant) -> Vec<listing::Vm> {
    let own = listing::Vm {
        vm: tables.own.vm.clone(),
        gone: false,
        since: now.since(Instant::default()),
        source: Source::Own,
    };
    let others = tables.vms.rows.values().map(|row| listing::Vm {
        vm: row.to_view().unwrap_or_else(|| row.with_state(view::State::Suspect)),
        gone: !row.present(),
        since: now.since(row.since),
        source: row.source.clone(),
    });
    std::iter::once(own).chain(others).collect()
}

/// All listed targets.
pub fn targets(tables: &Tables, now: Instant) -> Vec<listing::Target> {
    let targets = &tables.targets;
    let row = |(name, target): (Name, view::Target)| {
        let received = targets.announcements.get(&name);
        let own = received.filter(|received| received.announcement.draining);
        let listed = targets.since.get(&name).copied();
        let since = own.map(|received| received.at).or(listed).unwrap_or(now);
        let source = own.map_or(Source::List, |received| received.source.clone());
        listing::Target { target, since: now.since(since), source }
    };
    targets.to_view().into_iter().map(row).collect()
}
