//! Fingerprints of requests that crashed targets.

use std::{collections::BTreeSet, time::Duration};

use crate::{
    control::{
        engine::Step,
        table::{
            Tables,
            news::Key,
            quarantine::{Condemned, Suspicion},
        },
    },
    digest::Fingerprint,
    id::Origin,
    log::{Event, Line},
    name::Name,
};

/// The number of targets that are remembered of a fingerprint.
const MAX_TARGETS: usize = 8;

/// Notes that a target was lost with a fingerprint. Enough targets of one
/// shard condemn it, through whichever VMs the two were reached. Targets of
/// different shards do not, because a rack that fails takes many at once.
pub fn suspect(
    tables: &mut Tables,
    step: &mut Step<'_>,
    (fingerprint, target, origin): (Fingerprint, Name, Origin),
    remaining: Duration,
) {
    if tables.quarantine.condemned.contains_key(&fingerprint) {
        return;
    }
    let until = step.now + remaining.min(step.limits.suspect_fingerprint);
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
    if of_shard >= step.limits.lost_targets {
        return condemn(tables, step, fingerprint, origin, step.limits.condemned_fingerprint);
    }
    if rows.len() > step.limits.fingerprints {
        let oldest = rows.iter().min_by_key(|(_, row)| row.until).map(|(&key, _)| key);
        oldest.and_then(|key| rows.remove(&key));
    }
    tables.news.add(Key::Suspect(fingerprint));
    tables.changed = true;
}

/// Holds a fingerprint back from now on.
pub fn condemn(
    tables: &mut Tables,
    step: &mut Step<'_>,
    fingerprint: Fingerprint,
    origin: Origin,
    remaining: Duration,
) {
    let rows = &mut tables.quarantine.condemned;
    if rows.contains_key(&fingerprint) {
        return;
    }
    let until = step.now + remaining.min(step.limits.condemned_fingerprint);
    rows.insert(fingerprint, Condemned { origin, until });
    if rows.len() > step.limits.fingerprints {
        let oldest = rows.iter().min_by_key(|(_, row)| row.until).map(|(&key, _)| key);
        oldest.and_then(|key| rows.remove(&key));
    }
    tables.quarantine.suspects.remove(&fingerprint);
    tables.news.remove(&Key::Suspect(fingerprint));
    tables.news.add(Key::Condemned(fingerprint));
    tables.changed = true;
    let fields = vec![("fingerprint", format!("{:016x}", fingerprint.0))];
    step.out.lines.push(Line::new(Event::RequestQuarantined, fields));
}
