//! Quarantines the fingerprints of requests that crashed targets.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    control::{
        engine::Context,
        table::{
            Tables,
            gossip::Key,
            quarantine::{Quarantined, Suspicion},
        },
    },
    digest::Fingerprint,
    id::Origin,
    log::{Event, Line},
    name::Name,
};

/// The most lost targets that are remembered for a fingerprint.
const MAX_TARGETS: usize = 8;

/// Records that a target was lost while it ran a request with a fingerprint.
///
/// Enough lost targets of one shard quarantine the fingerprint, through
/// whichever VMs the targets were reached. Targets of different shards do not
/// add up, because a rack that fails takes down many at once.
pub fn record_loss(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    (fingerprint, target, origin): (Fingerprint, Name, Origin),
    remaining: Duration,
) {
    if tables.quarantine.quarantined.contains_key(&fingerprint) {
        return;
    }
    let until = cx.now + remaining.min(cx.limits.suspect_duration);
    let rows = &mut tables.quarantine.suspects;
    let row = rows.entry(fingerprint).or_insert_with(|| Suspicion {
        targets: BTreeSet::new(),
        origin,
        until,
    });
    if row.targets.len() >= MAX_TARGETS || !row.targets.insert(target.clone()) {
        return;
    }
    let listed = &tables.targets.listed;
    let shard = |name: &Name| listed.get(name).map(|target| (&target.index, &target.shard));
    let of_shard = row.targets.iter().filter(|name| shard(name) == shard(&target)).count();
    if of_shard >= cx.limits.lost_targets {
        return add(tables, cx, fingerprint, origin, cx.limits.quarantine_duration);
    }
    if rows.len() > cx.limits.max_fingerprints {
        let oldest = rows.iter().min_by_key(|(_, row)| row.until).map(|(&key, _)| key);
        oldest.and_then(|key| rows.remove(&key));
    }
    tables.gossip.add(Key::Suspect(fingerprint));
    tables.view_changed = true;
}

/// Quarantines a fingerprint for `remaining`, at most for the quarantine
/// duration. If the table is full, the entry that expires first is removed.
pub fn add(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    fingerprint: Fingerprint,
    origin: Origin,
    remaining: Duration,
) {
    let rows = &mut tables.quarantine.quarantined;
    if rows.contains_key(&fingerprint) {
        return;
    }
    let until = cx.now + remaining.min(cx.limits.quarantine_duration);
    rows.insert(fingerprint, Quarantined { origin, until });
    if rows.len() > cx.limits.max_fingerprints {
        let oldest = rows.iter().min_by_key(|(_, row)| row.until).map(|(&key, _)| key);
        oldest.and_then(|key| rows.remove(&key));
    }
    tables.quarantine.suspects.remove(&fingerprint);
    tables.gossip.remove(&Key::Suspect(fingerprint));
    tables.gossip.add(Key::Quarantined(fingerprint));
    tables.view_changed = true;
    let fields = vec![("fingerprint", format!("{:016x}", fingerprint.0))];
    cx.out.lines.push(Line::new(Event::RequestQuarantined, fields));
}
