//! Applies a new view: targets that were added, changed or removed, and homes
//! that moved.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    message::Message,
    name::Name,
    time::Instant,
    traffic::{
        Context, Outbox, Tables,
        system::{advertise, connect, job},
        table::{Latency, Shard, Target, shard, timer::Timer},
    },
    view::{self, Lane, State, View},
};

/// Puts `view` into force.
///
/// Most views differ from the one before only in the profiles, so targets and
/// homes are updated only when what they depend on has changed.
pub fn run(tables: &mut Tables, cx: &mut Context, view: Option<Arc<View>>, out: &mut Outbox) {
    let Some(view) = view else { return };
    let old = std::mem::replace(&mut cx.view, view);
    let has_new_targets = old.targets != cx.view.targets;
    if has_new_targets {
        remove_targets(tables, cx, out);
        add_targets(tables, cx);
    }
    if has_new_targets || old.vms != cx.view.vms {
        update_homes(tables, cx, out);
        remove_empty_shards(tables, cx, out);
    }
    request_holdings(cx, &old, out);
    if old.vms.is_empty() {
        tables.timers.set(cx.now + advertise::INTERVAL, Timer::Advertise);
    }
}

fn remove_targets(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    let gone: Vec<Name> = tables
        .targets
        .keys()
        .filter(|name| !cx.view.targets.contains_key(*name))
        .cloned()
        .collect();
    for name in gone {
        connect::close_all(tables, cx, &name, out);
        if let Some(target) = tables.targets.remove(&name) {
            if let Some(shard) = tables.shards.get_mut(&target.shard) {
                shard.targets.remove(&name);
            }
            tables.to_advertise.insert(target.shard.clone());
            tables.to_dispatch.insert(target.shard);
        }
    }
}

fn add_targets(tables: &mut Tables, cx: &Context) {
    tables.listed = cx.view.targets.values().map(|listed| listed.index.clone()).collect();
    for (name, listed) in &cx.view.targets {
        let key = shard::Key { index: listed.index.clone(), shard: listed.shard.clone() };
        let leaving = listed.state == State::Leaving;
        match tables.targets.get_mut(name) {
            Some(target) if target.address == listed.address => {
                if target.leaving != leaving {
                    target.leaving = leaving;
                    tables.to_advertise.insert(key.clone());
                    tables.to_dispatch.insert(key);
                }
            }
            Some(_) | None => {
                tables.shards.entry(key.clone()).or_default().targets.insert(name.clone());
                tables.targets.insert(name.clone(), new_target(key, listed));
            }
        }
    }
}

fn new_target(shard: shard::Key, listed: &view::Target) -> Target {
    Target {
        shard,
        address: listed.address,
        domain: listed.domain.clone(),
        slots: listed.slots,
        connection_limit: listed.connections,
        in_use: 0,
        reserved: false,
        status: None,
        status_at: Instant::default(),
        leaving: listed.state == State::Leaving,
        paused_until: Instant::default(),
        connections: BTreeSet::new(),
        failures: 0,
        polled: false,
        reopening: false,
        latency: Latency::default(),
        last_used: Instant::default(),
    }
}

fn update_homes(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    let keys: Vec<shard::Key> = tables.shards.keys().cloned().collect();
    for key in keys {
        let lanes = cx.policies.route.lanes(&cx.view, &cx.lane, &key, cx.limits.max_homes);
        let is_home = lanes.first() == Some(&cx.lane);
        if let Some(index) = tables.indexes.get_mut(&key.index)
            && let Some(holding) = index.shards.get_mut(&key.shard)
        {
            holding.lanes = lanes;
        }
        let Some(shard) = tables.shards.get_mut(&key) else { continue };
        let was_home = std::mem::replace(&mut shard.home, is_home);
        if is_home {
            connect_home(tables, cx, &key, out);
        } else if was_home {
            tables.timers.set(cx.now + cx.limits.idle_timeout, Timer::Idle(key));
        }
    }
}

/// Opens connections to the targets of a shard that this thread is the home of.
fn connect_home(tables: &mut Tables, cx: &mut Context, key: &shard::Key, out: &mut Outbox) {
    let names: Vec<Name> = tables
        .shards
        .get(key)
        .map(|shard: &Shard| shard.targets.iter().cloned().collect())
        .unwrap_or_default();
    for name in names {
        connect::ensure(tables, cx, &name, out);
    }
    tables.to_advertise.insert(key.clone());
}

/// Removes shards that no target is listed for, also from the indexes that
/// plans are made from.
fn remove_empty_shards(tables: &mut Tables, cx: &mut Context, out: &mut Outbox) {
    let empty: Vec<shard::Key> = tables
        .shards
        .iter()
        .filter(|(_, shard)| shard.targets.is_empty())
        .map(|(key, _)| key.clone())
        .collect();
    for key in empty {
        job::fail_queue(tables, cx, &key, out);
        tables.shards.remove(&key);
        if let Some(index) = tables.indexes.get_mut(&key.index)
            && index.shards.remove(&key.shard).is_some()
        {
            tables.to_choose.insert(key.index.clone());
        }
    }
}

/// Asks VMs that are new in the view, or were restarted, what their shards
/// hold.
fn request_holdings(cx: &Context, old: &View, out: &mut Outbox) {
    for (name, vm) in &cx.view.vms {
        let known = old.vms.get(name).is_some_and(|before| before.incarnation == vm.incarnation);
        if known {
            continue;
        }
        for lane in lanes_of(vm) {
            if lane != cx.lane {
                out.send(lane, Message::AskHoldings);
            }
        }
    }
}

/// The lanes of all traffic threads of a VM.
pub fn lanes_of(vm: &view::Vm) -> impl Iterator<Item = Lane> + '_ {
    (0..vm.traffic.len()).map(|thread| Lane {
        vm: vm.name.clone(),
        thread: u16::try_from(thread).unwrap_or(u16::MAX),
    })
}
