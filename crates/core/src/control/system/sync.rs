//! Compares soft state with another VM at intervals, so that gossip which did
//! not arrive while two VMs could not reach each other arrives later.

use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::gossip;
use crate::{
    control::{
        engine::Context,
        message::{Body, Item},
        table::{Tables, gossip::Key},
    },
    name::Name,
};

/// The most items of each kind in a message with soft state.
const MAX_ITEMS: usize = 256;

/// The time between two comparisons by a VM that has just started or resumed.
const NEW_VM_SYNC_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which a VM counts as new after its start or a pause.
const NEW_VM_PERIOD: Duration = Duration::from_secs(3);

/// Sends the hash of the soft state to one VM when a comparison is due.
///
/// A new VM may be the home of a shard before it has learnt which requests are
/// quarantined, so it compares more often at first.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    if cx.now < tables.vms.next_sync {
        return;
    }
    let is_new = cx.now.since(tables.own.since) < NEW_VM_PERIOD;
    tables.vms.next_sync =
        cx.now + if is_new { NEW_VM_SYNC_INTERVAL } else { cx.limits.sync_interval };
    let digest = digest(tables);
    for vm in gossip::pick(tables, 1, None) {
        gossip::send(tables, cx, &vm, Body::Compare { digest });
    }
}

/// Sends the soft state if its hash differs from that of the VM `from`, and
/// asks for the soft state of that VM in return.
pub fn answer_digest(tables: &mut Tables, cx: &mut Context<'_>, from: &Name, peer_digest: u64) {
    if peer_digest != digest(tables) {
        let items = items(tables, cx);
        gossip::send(tables, cx, from, Body::State { items, wants_reply: true });
    }
}

/// Sends the soft state if the VM `from` wants a reply. The answer wants none,
/// so that the exchange ends.
pub fn answer_state(tables: &mut Tables, cx: &mut Context<'_>, from: &Name, wants_reply: bool) {
    if wants_reply {
        let items = items(tables, cx);
        gossip::send(tables, cx, from, Body::State { items, wants_reply: false });
    }
}

fn items(tables: &Tables, cx: &Context<'_>) -> Vec<Item> {
    let quarantine = &tables.quarantine;
    let quarantined =
        quarantine.quarantined.keys().map(|&key| Key::Quarantined(key)).take(MAX_ITEMS);
    let suspects = quarantine.suspects.keys().map(|&key| Key::Suspect(key)).take(MAX_ITEMS);
    let announcements =
        tables.targets.announcements.iter().filter(|(_, received)| received.announcement.draining);
    let announcements =
        announcements.map(|(target, _)| Key::Announcement(target.clone())).take(MAX_ITEMS);
    let keys = quarantined.chain(suspects).chain(announcements);
    keys.flat_map(|key| gossip::current_items(tables, cx.now, &key)).collect()
}

fn digest(tables: &Tables) -> u64 {
    let mut hash = Xxh3::new();
    for fingerprint in tables.quarantine.quarantined.keys() {
        hash.update(&fingerprint.0.to_le_bytes());
    }
    for (fingerprint, row) in &tables.quarantine.suspects {
        hash.update(&fingerprint.0.to_le_bytes());
        row.targets.iter().for_each(|target| hash.update(target.as_str().as_bytes()));
    }
    for (target, received) in &tables.targets.announcements {
        if received.announcement.draining {
            hash.update(target.as_str().as_bytes());
            hash.update(&received.announcement.incarnation.to_le_bytes());
        }
    }
    hash.digest()
}
