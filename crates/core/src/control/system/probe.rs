//! Probes of other VMs, at a cost that does not depend on the number of VMs.

use std::net::SocketAddr;

use rand::{RngExt, seq::SliceRandom};

use super::{gossip, member};
use crate::{
    control::{
        engine::Context,
        message::Body,
        table::{
            Tables,
            vm::{Probe, Stage},
        },
    },
    name::Name,
    time::Instant,
};

/// Moves probes whose stage has ended to the next one, and starts the probes
/// that are due.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    expire(tables, cx);
    for vm in std::mem::take(&mut tables.vms.urgent_probes) {
        if !tables.vms.probes.values().any(|probe| probe.vm == vm) {
            start(tables, cx, &vm, Stage::Direct);
        }
    }
    if cx.now >= tables.vms.next_probe {
        tables.vms.next_probe = cx.now + cx.limits.probe_interval;
        match next_vm(tables) {
            Some(vm) => start(tables, cx, &vm, Stage::Direct),
            None => ping_seed(tables, cx),
        }
    }
    if cx.now >= tables.vms.next_reconnect {
        tables.vms.next_reconnect = cx.now + cx.limits.reconnect_interval;
        ping_gone(tables, cx);
    }
}

/// The next VM of the round. A round visits every VM once in random order, so
/// that none is left out for long.
fn next_vm(tables: &mut Tables) -> Option<Name> {
    let vms = &mut tables.vms;
    for _ in 0..2 {
        while let Some(name) = vms.probe_order.pop() {
            if vms.rows.get(&name).is_some_and(|row| row.present()) {
                return Some(name);
            }
        }
        vms.probe_order = vms.rows.keys().cloned().collect();
        vms.probe_order.shuffle(&mut tables.rng);
    }
    None
}

/// Pings a random VM from the settings.
fn ping_seed(tables: &mut Tables, cx: &mut Context<'_>) {
    if tables.vms.seeds.is_empty() {
        return;
    }
    let index = tables.rng.random_range(0..tables.vms.seeds.len());
    let (vm, address) = tables.vms.seeds[index].clone();
    if vm != tables.own.vm.name {
        let probe = add_probe(tables, &vm, Stage::Reconnect, cx.now + cx.limits.ack_timeout);
        gossip::send_to(tables, cx, &vm, address, Body::Ping { probe });
    }
}

fn ping_gone(tables: &mut Tables, cx: &mut Context<'_>) {
    let Some(last) = tables.vms.gone.len().checked_sub(1) else { return };
    let index = tables.rng.random_range(0..=last);
    if let Some(vm) = tables.vms.gone.iter().nth(index).cloned() {
        start(tables, cx, &vm, Stage::Reconnect);
    }
}

fn add_probe(tables: &mut Tables, vm: &Name, stage: Stage, until: Instant) -> u64 {
    tables.vms.last_probe += 1;
    tables.vms.probes.insert(tables.vms.last_probe, Probe { vm: vm.clone(), stage, until });
    tables.vms.last_probe
}

fn start(tables: &mut Tables, cx: &mut Context<'_>, vm: &Name, stage: Stage) {
    let probe = add_probe(tables, vm, stage, cx.now + cx.limits.ack_timeout);
    gossip::send(tables, cx, vm, Body::Ping { probe });
}

fn expire(tables: &mut Tables, cx: &mut Context<'_>) {
    let due: Vec<u64> = tables
        .vms
        .probes
        .iter()
        .filter(|(_, probe)| probe.until <= cx.now)
        .map(|(&number, _)| number)
        .collect();
    for number in due {
        let Some(probe) = tables.vms.probes.remove(&number) else { continue };
        match probe.stage {
            Stage::Direct => probe_indirectly(tables, cx, number, probe),
            Stage::Indirect => member::mark_suspect(tables, cx, &probe.vm),
            Stage::Delegated { .. } | Stage::Reconnect => {}
        }
    }
}

fn probe_indirectly(tables: &mut Tables, cx: &mut Context<'_>, number: u64, probe: Probe) {
    let Some(row) = tables.vms.rows.get_mut(&probe.vm) else { return };
    row.acked_incarnation = 0;
    let address = row.member.contact.control;
    let vm = probe.vm.clone();
    let until = cx.now + cx.limits.ack_timeout * 2;
    tables.vms.probes.insert(number, Probe { stage: Stage::Indirect, until, ..probe });
    for helper in pick_helpers(tables, cx.limits.indirect_probes, &vm) {
        let body = Body::PingFor { probe: number, vm: vm.clone(), address };
        gossip::send(tables, cx, &helper, body);
    }
}

/// Picks the VMs that are asked to ping `vm`. The sender of the last message is
/// among them, so that a VM that reaches few others asks one whose messages
/// reach it.
fn pick_helpers(tables: &mut Tables, count: usize, vm: &Name) -> Vec<Name> {
    let last_sender = tables.vms.last_sender.clone().filter(|last_sender| last_sender != vm);
    let drawn = gossip::pick(tables, count, Some(vm));
    let others = drawn.into_iter().filter(|drawn| Some(drawn) != last_sender.as_ref());
    last_sender.iter().cloned().chain(others).take(count).collect()
}

/// Acknowledges a ping.
pub fn answer_ping(tables: &mut Tables, cx: &mut Context<'_>, from: &Name, probe: u64) {
    gossip::send(tables, cx, from, Body::Ack { probe });
}

/// Handles an acknowledgement, sent by the probed VM itself or passed on by a
/// helper. An acknowledgement of a helper counts only in the indirect stage.
pub fn handle_ack(tables: &mut Tables, cx: &mut Context<'_>, from: &Name, number: u64) {
    let Some(probe) = tables.vms.probes.get(&number) else { return };
    let direct = probe.vm == *from;
    if !direct && probe.stage != Stage::Indirect {
        return;
    }
    let stage = probe.stage.clone();
    tables.vms.probes.remove(&number);
    if direct {
        let own = tables.own.vm.incarnation;
        if let Some(row) = tables.vms.rows.get_mut(from) {
            row.acked_incarnation = own;
        }
    }
    if let Stage::Delegated { requester, probe } = stage {
        gossip::send(tables, cx, &requester, Body::Ack { probe });
    }
}

/// Pings a VM on behalf of `from`, which chose the number `probe`.
pub fn ping_for(
    tables: &mut Tables,
    cx: &mut Context<'_>,
    from: &Name,
    (probe, vm, address): (u64, Name, SocketAddr),
) {
    let stage = Stage::Delegated { requester: from.clone(), probe };
    let number = add_probe(tables, &vm, stage, cx.now + cx.limits.ack_timeout);
    gossip::send_to(tables, cx, &vm, address, Body::Ping { probe: number });
}
