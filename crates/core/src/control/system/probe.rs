//! Probes of other VMs, at a cost that does not depend on their number.

use std::net::SocketAddr;

use rand::{RngExt, seq::SliceRandom};

use super::{member, spread};
use crate::{
    control::{
        engine::Step,
        message::Body,
        table::{
            Tables,
            vm::{Probe, Stage},
        },
    },
    name::Name,
    time::Instant,
};

/// Ends the probes that are due and starts new ones.
pub fn run(tables: &mut Tables, step: &mut Step<'_>) {
    end(tables, step);
    for vm in std::mem::take(&mut tables.vms.urgent) {
        if !tables.vms.probes.values().any(|probe| probe.vm == vm) {
            start(tables, step, &vm, Stage::Direct);
        }
    }
    if step.now >= tables.vms.next {
        tables.vms.next = step.now + step.limits.probe_interval;
        match next(tables) {
            Some(vm) => start(tables, step, &vm, Stage::Direct),
            None => seed(tables, step),
        }
    }
    if step.now >= tables.vms.revive {
        tables.vms.revive = step.now + step.limits.reconnect_interval;
        revive(tables, step);
    }
}

/// The next VM of the round; a round visits every VM once in random order, so
/// that none is left out for long.
fn next(tables: &mut Tables) -> Option<Name> {
    let vms = &mut tables.vms;
    for _ in 0..2 {
        while let Some(name) = vms.order.pop() {
            if vms.rows.get(&name).is_some_and(|row| row.present()) {
                return Some(name);
            }
        }
        vms.order = vms.rows.keys().cloned().collect();
        vms.order.shuffle(&mut tables.rng);
    }
    None
}

/// Pings a VM from the settings while no other is known.
fn seed(tables: &mut Tables, step: &mut Step<'_>) {
    if tables.vms.seeds.is_empty() {
        return;
    }
    let index = tables.rng.random_range(0..tables.vms.seeds.len());
    let (vm, address) = tables.vms.seeds[index].clone();
    if vm != tables.own.vm.name {
        let probe = open(tables, &vm, Stage::Revival, step.now + step.limits.ack_timeout);
        spread::post_to(tables, step, &vm, address, Body::Ping { probe });
    }
}

fn revive(tables: &mut Tables, step: &mut Step<'_>) {
    let Some(last) = tables.vms.gone.len().checked_sub(1) else { return };
    let index = tables.rng.random_range(0..=last);
    if let Some(vm) = tables.vms.gone.iter().nth(index).cloned() {
        start(tables, step, &vm, Stage::Revival);
    }
}

fn open(tables: &mut Tables, vm: &Name, stage: Stage, until: Instant) -> u64 {
    tables.vms.last += 1;
    tables.vms.probes.insert(tables.vms.last, Probe { vm: vm.clone(), stage, until });
    tables.vms.last
}

fn start(tables: &mut Tables, step: &mut Step<'_>, vm: &Name, stage: Stage) {
    let probe = open(tables, vm, stage, step.now + step.limits.ack_timeout);
    spread::post(tables, step, vm, Body::Ping { probe });
}

fn end(tables: &mut Tables, step: &mut Step<'_>) {
    let due: Vec<u64> = tables
        .vms
        .probes
        .iter()
        .filter(|(_, probe)| probe.until <= step.now)
        .map(|(&number, _)| number)
        .collect();
    for number in due {
        let Some(probe) = tables.vms.probes.remove(&number) else { continue };
        match probe.stage {
            Stage::Direct => ask_others(tables, step, number, probe),
            Stage::Indirect => member::suspect(tables, step, &probe.vm),
            Stage::Relayed { .. } | Stage::Revival => {}
        }
    }
}

fn ask_others(tables: &mut Tables, step: &mut Step<'_>, number: u64, probe: Probe) {
    let Some(row) = tables.vms.rows.get_mut(&probe.vm) else { return };
    row.introduced = 0;
    let address = row.member.contact.control;
    let vm = probe.vm.clone();
    let until = step.now + step.limits.ack_timeout * 2;
    tables.vms.probes.insert(number, Probe { stage: Stage::Indirect, until, ..probe });
    for helper in helpers(tables, step.limits.indirect_probes, &vm) {
        let body = Body::PingFor { probe: number, vm: vm.clone(), address };
        spread::post(tables, step, &helper, body);
    }
}

/// Draws the VMs that are asked to probe `vm`. The one that was last heard is
/// among them, so that a VM that reaches few others still hears from these.
fn helpers(tables: &mut Tables, count: usize, vm: &Name) -> Vec<Name> {
    let heard = tables.vms.heard.clone().filter(|heard| heard != vm);
    let drawn = spread::pick(tables, count, Some(vm));
    let others = drawn.into_iter().filter(|drawn| Some(drawn) != heard.as_ref());
    heard.iter().cloned().chain(others).take(count).collect()
}

/// Answers a ping.
pub fn ping(tables: &mut Tables, step: &mut Step<'_>, from: &Name, probe: u64) {
    spread::post(tables, step, from, Body::Ack { probe });
}

/// Takes the answer to a ping, direct or passed on by a helper.
pub fn ack(tables: &mut Tables, step: &mut Step<'_>, from: &Name, number: u64) {
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
            row.introduced = own;
        }
    }
    if let Stage::Relayed { asker, probe } = stage {
        spread::post(tables, step, &asker, Body::Ack { probe });
    }
}

/// Pings a VM on behalf of `from`.
pub fn relay(
    tables: &mut Tables,
    step: &mut Step<'_>,
    from: &Name,
    (probe, vm, address): (u64, Name, SocketAddr),
) {
    let stage = Stage::Relayed { asker: from.clone(), probe };
    let number = open(tables, &vm, stage, step.now + step.limits.ack_timeout);
    spread::post_to(tables, step, &vm, address, Body::Ping { probe: number });
}
