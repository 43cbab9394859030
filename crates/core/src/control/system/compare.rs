//! Compares soft state with another VM now and then, so that news which did not
//! arrive while two VMs could not reach each other arrives later.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::spread;
use crate::{
    control::{
        engine::Step,
        message::{Body, Item},
        table::{Tables, news::Key},
    },
    name::Name,
};

/// The most items of one sort in a message with soft state.
const MAX_ITEMS: usize = 256;

/// The time between two comparisons of a VM that is new or was paused.
const FIRST: Duration = Duration::from_millis(100);

/// The time for which a VM counts as new.
const NEW: Duration = Duration::from_secs(3);

/// Sends the digest of the soft state to one VM when it is due.
///
/// A VM that is new may be the home of a shard before it has heard which
/// requests are held back, so it compares more often at first.
pub fn run(tables: &mut Tables, step: &mut Step<'_>) {
    if step.now < tables.vms.compare {
        return;
    }
    let is_new = step.now.since(tables.own.since) < NEW;
    tables.vms.compare = step.now + if is_new { FIRST } else { step.limits.sync_interval };
    let digest = digest(tables);
    for vm in spread::pick(tables, 1, None) {
        spread::post(tables, step, &vm, Body::Compare { digest });
    }
}

/// Sends the soft state if it differs from that of the sender.
pub fn answer(tables: &mut Tables, step: &mut Step<'_>, from: &Name, theirs: u64) {
    if theirs != digest(tables) {
        let items = items(tables, step);
        spread::post(tables, step, from, Body::State { items, back: true });
    }
}

/// Sends the soft state back, once.
pub fn complete(tables: &mut Tables, step: &mut Step<'_>, from: &Name, back: bool) {
    if back {
        let items = items(tables, step);
        spread::post(tables, step, from, Body::State { items, back: false });
    }
}

fn items(tables: &Tables, step: &Step<'_>) -> Vec<Item> {
    let quarantine = &tables.quarantine;
    let condemned = quarantine.condemned.keys().map(|&key| Key::Condemned(key)).take(MAX_ITEMS);
    let suspects = quarantine.suspects.keys().map(|&key| Key::Suspect(key)).take(MAX_ITEMS);
    let words = tables.targets.words.iter().filter(|(_, heard)| heard.word.draining);
    let words = words.map(|(target, _)| Key::Word(target.clone())).take(MAX_ITEMS);
    let keys = condemned.chain(suspects).chain(words);
    keys.flat_map(|key| spread::content(tables, step.now, &key)).collect()
}

fn digest(tables: &Tables) -> u64 {
    let mut hash = Xxh3::new();
    for fingerprint in tables.quarantine.condemned.keys() {
        hash.update(&fingerprint.0.to_le_bytes());
    }
    for (fingerprint, row) in &tables.quarantine.suspects {
        hash.update(&fingerprint.0.to_le_bytes());
        row.targets.iter().for_each(|target| hash.update(target.as_str().as_bytes()));
    }
    for (target, heard) in &tables.targets.words {
        if heard.word.draining {
            hash.update(target.as_str().as_bytes());
            hash.update(&heard.word.incarnation.to_le_bytes());
        }
    }
    hash.digest()
}
