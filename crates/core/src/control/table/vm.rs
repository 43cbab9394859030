//! The other VMs and the probes of them.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use crate::{
    control::{
        message::{Health, Member},
        request::Source,
    },
    name::Name,
    time::Instant,
    view,
};

/// Another VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// What is believed of it.
    pub member: Member,
    /// Whether the platform lists it.
    pub listed: bool,
    /// Since when it has been in its state.
    pub since: Instant,
    /// Who said so.
    pub source: Source,
    /// When it is gone if it is suspect and does not refute it.
    pub gone_at: Option<Instant>,
    /// The incarnation of this VM that it has acknowledged; it then knows where
    /// to reach this VM.
    pub introduced: u64,
}

impl Vm {
    /// The row as the view shows it, or none if the VM is gone.
    pub fn shown(&self) -> Option<view::Vm> {
        let member = &self.member;
        let state = match member.health {
            Health::Gone => return None,
            _ if member.leaving => view::State::Leaving,
            Health::Suspect => view::State::Suspect,
            Health::Live => view::State::Live,
        };
        Some(self.named(state))
    }

    /// The row with the state `state`.
    pub fn named(&self, state: view::State) -> view::Vm {
        view::Vm {
            name: self.member.vm.clone(),
            domain: self.member.contact.domain.clone(),
            incarnation: self.member.incarnation,
            state,
            control: self.member.contact.control,
            traffic: self.member.contact.traffic.clone(),
        }
    }

    /// Whether it is not known to be gone.
    pub fn present(&self) -> bool {
        self.member.health != Health::Gone
    }

    /// Whether it answers and stays.
    pub fn steady(&self) -> bool {
        self.member.health == Health::Live && !self.member.leaving
    }
}

/// How far a probe has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The VM was pinged.
    Direct,
    /// Other VMs were asked to ping it.
    Indirect,
    /// The VM was pinged on behalf of another one.
    Relayed { asker: Name, probe: u64 },
    /// A VM that is gone was pinged in case it is back.
    Revival,
}

/// A probe that is not answered yet.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The VM.
    pub vm: Name,
    /// How far it has come.
    pub stage: Stage,
    /// When the stage ends.
    pub until: Instant,
}

/// The other VMs and the probes of them.
#[derive(Debug, Default)]
pub struct Vms {
    /// The VMs by name.
    pub rows: BTreeMap<Name, Vm>,
    /// The VMs that are suspect.
    pub suspects: BTreeSet<Name>,
    /// The VMs that are gone.
    pub gone: BTreeSet<Name>,
    /// The VMs that answer, as of the last ranking.
    pub live: Vec<Name>,
    /// The probes by number.
    pub probes: BTreeMap<u64, Probe>,
    /// The last number given to a probe.
    pub last: u64,
    /// The VMs that are still to be probed in this round, in random order.
    pub order: Vec<Name>,
    /// VMs that are to be probed at once.
    pub urgent: Vec<Name>,
    /// The VM that was last heard.
    pub heard: Option<Name>,
    /// When the next VM is probed.
    pub next: Instant,
    /// When the next VM that is gone is probed.
    pub revive: Instant,
    /// When soft state is next compared with another VM.
    pub compare: Instant,
    /// VMs from the settings, used until others are known.
    pub seeds: Vec<(Name, SocketAddr)>,
    /// Whether this VM is one of those that read from the service for all.
    pub watcher: bool,
    /// Whether the rank of the VMs must be computed anew.
    pub rerank: bool,
}

impl Vms {
    /// The number of VMs that are not gone, with this one.
    pub fn count(&self) -> usize {
        1 + self.rows.len() - self.gone.len()
    }

    /// Notes the health of a VM that was added or changed.
    pub fn index(&mut self, vm: &Name, health: Health) {
        note(&mut self.suspects, vm, health == Health::Suspect);
        note(&mut self.gone, vm, health == Health::Gone);
        self.rerank = true;
    }

    /// Forgets VMs that are gone.
    pub fn forget(&mut self, vms: &[Name]) {
        for vm in vms {
            self.rows.remove(vm);
            self.gone.remove(vm);
        }
    }
}

fn note(names: &mut BTreeSet<Name>, vm: &Name, belongs: bool) {
    if belongs {
        names.insert(vm.clone());
    } else {
        names.remove(vm);
    }
}
