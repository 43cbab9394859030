//! The platform's list of VMs and targets, and the announcements of the targets.

use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};

use xxhash_rust::xxh3::Xxh3;

use super::{gossip, member, reading};
use crate::{
    control::{
        engine::Context,
        message::{Body, Digest},
        request::Source,
        table::{
            Tables, age,
            age::Age,
            gossip::Key,
            target::{Announcement, Received},
        },
    },
    log::{Event, Line},
    name::Name,
    store::Reply,
    time::Instant,
    view,
};

/// The difference in age above which the list of another VM counts as read
/// later. It covers the time that the message took.
const AGE_TOLERANCE: Duration = Duration::from_millis(100);

/// Handles the reply to a read that was started at `made`.
pub fn handle_reply(tables: &mut Tables, cx: &mut Context<'_>, made: Instant, reply: Reply) {
    tables.list.call = None;
    let Reply::Listed { vms, targets } = reply else {
        tables.list.failures += 1;
        let failures = tables.list.failures;
        tables.list.next = cx.now + reading::back_off(tables, cx, failures);
        return;
    };
    tables.list.failures = 0;
    let pause = reading::read_delay(tables, cx.limits.list_interval, cx.limits.stale_after);
    tables.list.next = cx.now + pause;
    replace(tables, cx, (vms, targets), Age::new(Duration::ZERO, made));
}

/// Takes over the list of another VM if it was read later than that of this VM.
pub fn adopt(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    vms: Vec<view::Vm>,
    targets: Vec<view::Target>,
    digest: &Digest,
) {
    let Some(listed) = digest.listed else { return };
    let own = tables.targets.list_age.map(|age| age.at(cx.now));
    if own.is_none_or(|own| listed < own) {
        replace(tables, cx, (vms, targets), Age::new(listed, cx.now));
    }
}

/// Sends the list to another VM.
pub fn send(tables: &mut Tables, cx: &mut Context<'_>, to: &Name) {
    let vms = tables.targets.vms.clone();
    let targets = tables.targets.listed.values().cloned().collect();
    gossip::send(tables, cx, to, Body::List { vms, targets });
}

/// Compares the list of another VM with that of this one: takes over the age of
/// an equal list, and asks for a different one that was read later.
pub fn compare(tables: &mut Tables, cx: &mut Context<'_>, from: &Name, digest: &Digest) {
    let Some(listed) = digest.listed else { return };
    let own = tables.targets.list_age;
    if own.is_some() && digest.list == tables.targets.digest {
        let age = Age::new(listed, cx.now);
        tables.targets.list_age = age::younger(own, Some(age), cx.now);
        return;
    }
    let later = own.is_none_or(|own| listed + AGE_TOLERANCE < own.at(cx.now));
    if later && cx.now >= tables.targets.next_list_request {
        tables.targets.next_list_request = cx.now + cx.limits.ack_timeout;
        gossip::send(tables, cx, from, Body::AskList);
    }
}

fn replace(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    (vms, targets): (Vec<view::Vm>, Vec<view::Target>),
    age: Age,
) {
    let first = tables.targets.list_age.replace(age).is_none();
    let digest = digest(&vms, &targets);
    if !first && digest == tables.targets.digest {
        return;
    }
    for vm in &vms {
        member::add_listed(tables, cx, vm);
    }
    for row in tables.vms.rows.values_mut() {
        row.listed = false;
    }
    for vm in &vms {
        if let Some(row) = tables.vms.rows.get_mut(&vm.name) {
            row.listed = true;
        }
    }
    tables.targets.set_listed(targets, cx.now);
    tables.targets.vms = vms;
    tables.targets.digest = digest;
    mark_leaving(tables);
    tables.gossip.has_new = true;
    tables.view_changed = true;
}

/// Records which targets are listed as leaving, with the incarnation of the
/// target that was known when it was first listed so.
fn mark_leaving(tables: &mut Tables) {
    let targets = &mut tables.targets;
    let listed = &targets.listed;
    let leaving =
        |name: &Name| listed.get(name).is_some_and(|target| target.state == view::State::Leaving);
    targets.leaving.retain(|name, _| leaving(name));
    for name in listed.keys().filter(|name| leaving(name)) {
        let incarnation =
            targets.announcements.get(name).map(|received| received.announcement.incarnation);
        targets.leaving.entry(name.clone()).or_insert(incarnation);
    }
}

/// Applies an announcement of a target that this VM or another one received. A
/// newer incarnation replaces an older one; within an incarnation a target that
/// drains does not return.
pub fn apply_announcement(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    target: &Name,
    announcement: Announcement,
    source: Source,
) {
    let Announcement { incarnation, draining } = announcement;
    let old = tables.targets.announcements.get(target).map(|received| received.announcement);
    if old.is_some_and(|old| old >= announcement) {
        return;
    }
    let left = tables.targets.is_leaving(target);
    tables
        .targets
        .announcements
        .insert(target.clone(), Received { announcement, at: cx.now, source });
    if let Some(listed) = tables.targets.leaving.get_mut(target) {
        listed.get_or_insert(incarnation);
    }
    let leaves = tables.targets.is_leaving(target);
    let overrides = old.is_some_and(|old| old.draining);
    if left != leaves {
        tables.view_changed = true;
    }
    if draining || overrides || left != leaves {
        tables.gossip.add(Key::Announcement(target.clone()));
    }
    if leaves && !left {
        let fields = vec![("target", target.to_string())];
        cx.out.lines.push(Line::new(Event::TargetDraining, fields));
    }
}

/// The hash of a list, equal on all VMs that hold an equal list.
///
/// It is computed for each read of the list, so no row is formatted as text.
fn digest(vms: &[view::Vm], targets: &[view::Target]) -> u64 {
    let mut hash = Xxh3::new();
    for vm in vms {
        add_names(&mut hash, &[&vm.name, &vm.domain]);
        hash.update(&[vm.state as u8]);
        add_address(&mut hash, vm.control);
        hash.update(&(vm.traffic.len() as u64).to_le_bytes());
        vm.traffic.iter().for_each(|&address| add_address(&mut hash, address));
    }
    for target in targets {
        add_names(&mut hash, &[&target.name, &target.index, &target.shard, &target.domain]);
        add_address(&mut hash, target.address);
        hash.update(&target.slots.to_le_bytes());
        hash.update(&target.connections.to_le_bytes());
        hash.update(&[target.state as u8]);
    }
    hash.digest()
}

/// Hashes names, each followed by a separator that no name can contain.
fn add_names(hash: &mut Xxh3, names: &[&Name]) {
    for name in names {
        hash.update(name.as_str().as_bytes());
        hash.update(b"|");
    }
}

fn add_address(hash: &mut Xxh3, address: SocketAddr) {
    let octets = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped().octets(),
        IpAddr::V6(ip) => ip.octets(),
    };
    hash.update(&octets);
    hash.update(&address.port().to_le_bytes());
}
