//! Sends messages to other VMs, each with state changes to pass on (gossip).

use std::{net::SocketAddr, ops::Bound};

use rand::seq::IndexedRandom;

use crate::{
    control::{
        Envelope, Message,
        engine::Context,
        message::{Body, Digest, Health, Item, RevisionReport},
        table::{Tables, gossip::Key},
    },
    name::Name,
    time::Instant,
};

/// The number of times that this VM sends a state change, for each doubling of
/// the number of VMs.
const SENDS_PER_DOUBLING: u32 = 3;

/// Sends a round of gossip to a few VMs if something changed since the last
/// round. The interval between rounds bounds the cost of many changes.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    if !tables.gossip.has_new || cx.now < tables.gossip.next_round {
        return;
    }
    tables.gossip.has_new = false;
    tables.gossip.next_round = cx.now + cx.limits.gossip_interval;
    for vm in pick(tables, cx.limits.fanout, None) {
        send(tables, cx, &vm, Body::Gossip);
    }
}

/// Picks up to `count` random live VMs other than `except`.
pub fn pick(tables: &mut Tables, count: usize, except: Option<&Name>) -> Vec<Name> {
    // One more than needed is sampled, in case `except` is among them.
    let drawn = tables.vms.live.sample(&mut tables.rng, count + 1);
    drawn.filter(|&vm| Some(vm) != except).take(count).cloned().collect()
}

/// Sends a message to a VM, or nothing if the VM is not in the table.
pub fn send(tables: &mut Tables, cx: &mut Context<'_>, vm: &Name, body: Body) {
    if let Some(row) = tables.vms.rows.get(vm) {
        let address = row.member.contact.control;
        send_to(tables, cx, vm, address, body);
    }
}

/// Sends a message to a VM at the given address.
pub fn send_to(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    vm: &Name,
    address: SocketAddr,
    body: Body,
) {
    let mut items = required_items(tables, vm);
    items.extend(take_gossip(tables, cx));
    let message = Message {
        from: tables.own.vm.name.clone(),
        incarnation: tables.own.vm.incarnation,
        digest: digest(tables, cx.now),
        items,
        revisions: next_revisions(tables, cx),
        body,
    };
    cx.out.messages.push(Envelope { vm: vm.clone(), address, message });
}

/// The items that a message to `vm` always carries: the addresses of this VM
/// until `vm` has acknowledged them, and the state of `vm` if it counts as
/// suspect or gone, so that it can refute that.
fn required_items(tables: &Tables, vm: &Name) -> Vec<Item> {
    let row = tables.vms.rows.get(vm);
    let mut items = Vec::new();
    if row.is_none_or(|row| row.acked_incarnation != tables.own.vm.incarnation) {
        items.push(Item::Member(tables.own.member()));
    }
    if let Some(row) = row.filter(|row| row.member.health != Health::Live) {
        items.push(Item::Member(row.member.clone()));
    }
    items
}

fn digest(tables: &Tables, now: Instant) -> Digest {
    Digest {
        revision: tables.in_force.document.revision,
        confirmed: tables.in_force.confirmed.map(|age| age.at(now)),
        list: tables.targets.digest,
        listed: tables.targets.list_age.map(|age| age.at(now)),
    }
}

/// The items for the state changes that were sent least often, which then count
/// as sent once more.
fn take_gossip(tables: &mut Tables, cx: &Context<'_>) -> Vec<Item> {
    let doublings = usize::BITS - tables.vms.count().leading_zeros();
    let sends = SENDS_PER_DOUBLING * doublings;
    let keys = tables.gossip.take(cx.limits.max_items, sends);
    keys.iter().flat_map(|key| current_items(tables, cx.now, key)).collect()
}

/// The items for a state change, with the content that is known now.
pub fn current_items(tables: &Tables, now: Instant, key: &Key) -> Vec<Item> {
    match key {
        Key::Member(vm) if *vm == tables.own.vm.name => vec![Item::Member(tables.own.member())],
        Key::Member(vm) => {
            let row = tables.vms.rows.get(vm);
            row.map(|row| Item::Member(row.member.clone())).into_iter().collect()
        }
        Key::Announcement(target) => {
            let received = tables.targets.announcements.get(target);
            received.map(|row| announcement(target, row.announcement)).into_iter().collect()
        }
        Key::Suspect(fingerprint) => suspicions(tables, now, *fingerprint),
        Key::Quarantined(fingerprint) => {
            let row = tables.quarantine.quarantined.get(fingerprint);
            row.map(|row| Item::Quarantined {
                fingerprint: *fingerprint,
                origin: row.origin,
                remaining: row.until.remaining(now),
            })
            .into_iter()
            .collect()
        }
    }
}

fn announcement(target: &Name, announcement: crate::control::table::target::Announcement) -> Item {
    let (incarnation, draining) = (announcement.incarnation, announcement.draining);
    Item::Announcement { target: target.clone(), incarnation, draining }
}

fn suspicions(tables: &Tables, now: Instant, fingerprint: crate::digest::Fingerprint) -> Vec<Item> {
    let Some(row) = tables.quarantine.suspects.get(&fingerprint) else { return Vec::new() };
    let remaining = row.until.remaining(now);
    let origin = row.origin;
    let targets = row.targets.iter();
    targets
        .map(|target| Item::Suspect { fingerprint, target: target.clone(), origin, remaining })
        .collect()
}

/// The next revisions of other VMs, from where the last message ended, so that
/// over several messages each one is passed on.
fn next_revisions(tables: &mut Tables, cx: &Context<'_>) -> Vec<RevisionReport> {
    let from = match tables.revision_cursor.take() {
        Some(vm) => Bound::Excluded(vm),
        None => Bound::Unbounded,
    };
    let revisions = tables.peer_revisions.range((from, Bound::Unbounded));
    let rows: Vec<RevisionReport> = revisions
        .take(cx.limits.max_revisions)
        .map(|(vm, row)| RevisionReport {
            vm: vm.clone(),
            revision: row.revision,
            heard: row.heard.at(cx.now),
            confirmed: row.confirmed,
        })
        .collect();
    if rows.len() == cx.limits.max_revisions {
        tables.revision_cursor = rows.last().map(|row| row.vm.clone());
    }
    rows
}
