//! Sends messages, each with the news that is to be passed on.

use std::{net::SocketAddr, ops::Bound};

use rand::seq::IndexedRandom;

use crate::{
    control::{
        Envelope, Message,
        engine::Step,
        message::{Body, Digest, Health, Item, Row},
        table::{Tables, news::Key},
    },
    name::Name,
    time::Instant,
};

/// The number of times that a piece of news is sent, for each doubling of the
/// number of VMs.
const SENDS_PER_DOUBLING: u32 = 3;

/// Tells a few VMs at once what was learnt since the last round. The pause
/// between rounds bounds what a flood of news costs.
pub fn run(tables: &mut Tables, step: &mut Step<'_>) {
    if !tables.gossip.fresh || step.now < tables.gossip.next {
        return;
    }
    tables.gossip.fresh = false;
    tables.gossip.next = step.now + step.limits.gossip_interval;
    for vm in pick(tables, step.limits.fanout, None) {
        post(tables, step, &vm, Body::News);
    }
}

/// Draws up to `count` VMs that answer, without `but`.
pub fn pick(tables: &mut Tables, count: usize, but: Option<&Name>) -> Vec<Name> {
    // One more than needed is drawn, in case `but` is among them.
    let drawn = tables.vms.live.sample(&mut tables.rng, count + 1);
    drawn.filter(|&vm| Some(vm) != but).take(count).cloned().collect()
}

/// Sends a message to a VM that is known.
pub fn post(tables: &mut Tables, step: &mut Step<'_>, vm: &Name, body: Body) {
    if let Some(row) = tables.vms.rows.get(vm) {
        let address = row.member.contact.control;
        post_to(tables, step, vm, address, body);
    }
}

/// Sends a message to an address.
pub fn post_to(
    tables: &mut Tables,
    step: &mut Step<'_>,
    vm: &Name,
    address: SocketAddr,
    body: Body,
) {
    let mut items = about(tables, vm);
    items.extend(news(tables, step));
    let message = Message {
        from: tables.own.vm.name.clone(),
        incarnation: tables.own.vm.incarnation,
        digest: digest(tables, step.now),
        items,
        rows: rows(tables, step),
        body,
    };
    step.out.messages.push(Envelope { vm: vm.clone(), address, message });
}

/// What the receiver must be told in any case: where this VM is reached until
/// it has acknowledged that, and that it is believed to be gone or suspect.
fn about(tables: &Tables, vm: &Name) -> Vec<Item> {
    let row = tables.vms.rows.get(vm);
    let mut items = Vec::new();
    if row.is_none_or(|row| row.introduced != tables.own.vm.incarnation) {
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

/// Takes the pieces of news that were sent least often.
fn news(tables: &mut Tables, step: &Step<'_>) -> Vec<Item> {
    let doublings = usize::BITS - tables.vms.count().leading_zeros();
    let sends = SENDS_PER_DOUBLING * doublings;
    let keys = tables.gossip.take(step.limits.max_items, sends);
    keys.iter().flat_map(|key| content(tables, step.now, key)).collect()
}

/// The content of a piece of news as it is known now.
pub fn content(tables: &Tables, now: Instant, key: &Key) -> Vec<Item> {
    match key {
        Key::Member(vm) if *vm == tables.own.vm.name => vec![Item::Member(tables.own.member())],
        Key::Member(vm) => {
            let row = tables.vms.rows.get(vm);
            row.map(|row| Item::Member(row.member.clone())).into_iter().collect()
        }
        Key::Word(target) => {
            let heard = tables.targets.words.get(target);
            heard.map(|heard| word(target, heard.word)).into_iter().collect()
        }
        Key::Suspect(fingerprint) => suspicions(tables, now, *fingerprint),
        Key::Condemned(fingerprint) => {
            let row = tables.quarantine.condemned.get(fingerprint);
            row.map(|row| Item::Condemned {
                fingerprint: *fingerprint,
                origin: row.origin,
                remaining: row.until.remaining(now),
            })
            .into_iter()
            .collect()
        }
    }
}

fn word(target: &Name, word: crate::control::table::target::Word) -> Item {
    let (incarnation, draining) = (word.incarnation, word.draining);
    Item::Word { target: target.clone(), incarnation, draining }
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

/// Takes some rows of revisions in force, from where the last message ended, so
/// that each is passed on now and then.
fn rows(tables: &mut Tables, step: &Step<'_>) -> Vec<Row> {
    let from = match tables.cursor.take() {
        Some(vm) => Bound::Excluded(vm),
        None => Bound::Unbounded,
    };
    let words = tables.words.range((from, Bound::Unbounded));
    let rows: Vec<Row> = words
        .take(step.limits.max_revisions)
        .map(|(vm, word)| Row {
            vm: vm.clone(),
            revision: word.revision,
            heard: word.heard.at(step.now),
            confirmed: word.confirmed,
        })
        .collect();
    if rows.len() == step.limits.max_revisions {
        tables.cursor = rows.last().map(|row| row.vm.clone());
    }
    rows
}
