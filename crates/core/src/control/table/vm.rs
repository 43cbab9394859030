//! The other VMs, and the probes that check whether they answer.

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

/// The row of another VM.
#[derive(Clone, Debug)]
pub struct Vm {
    /// The state of the VM, merged from all reports.
    pub member: Member,
    /// Whether the platform lists the VM.
    pub listed: bool,
    /// Since when the VM has been in its state.
    pub since: Instant,
    /// Who reported the state.
    pub source: Source,
    /// When a suspect VM counts as gone unless it refutes the suspicion.
    pub gone_at: Option<Instant>,
    /// The incarnation of the own VM that the other one has acknowledged, and
    /// for which it therefore knows the addresses. Zero if there is none.
    pub acked_incarnation: u64,
}

impl Vm {
    /// The VM as it appears in the view, or `None` if it is gone.
    pub fn to_view(&self) -> Option<view::Vm> {
        let member = &self.member;
        let state = match member.health {
            Health::Gone => return None,
            _ if member.leaving => view::State::Leaving,
            Health::Suspect => view::State::Suspect,
            Health::Live => view::State::Live,
        };
        Some(self.with_state(state))
    }

    /// The VM in the form of the view, with the given state.
    pub fn with_state(&self, state: view::State) -> view::Vm {
        view::Vm {
            name: self.member.vm.clone(),
            domain: self.member.contact.domain.clone(),
            incarnation: self.member.incarnation,
            state,
            control: self.member.contact.control,
            traffic: self.member.contact.traffic.clone(),
        }
    }

    /// Whether the VM is live or suspect.
    pub fn present(&self) -> bool {
        self.member.health != Health::Gone
    }

    /// Whether the VM is live and not leaving.
    pub fn is_active(&self) -> bool {
        self.member.health == Health::Live && !self.member.leaving
    }
}

/// The stage of a probe, which decides what follows if no answer arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Stage {
    /// This VM pinged the VM. Without an answer, the indirect stage follows.
    Direct,
    /// Other VMs were asked to ping the VM. Without an answer, the VM is
    /// suspect.
    Indirect,
    /// This VM pinged the VM on behalf of `requester`, to which the answer is
    /// passed on under the number `probe`.
    Delegated { requester: Name, probe: u64 },
    /// This VM pinged a VM that is gone, or one from the settings, in case it
    /// answers.
    Reconnect,
}

/// A probe without an answer so far.
#[derive(Clone, Debug)]
pub struct Probe {
    /// The VM that is probed.
    pub vm: Name,
    pub stage: Stage,
    /// When the stage ends.
    pub until: Instant,
}

/// The other VMs, and the probes that check whether they answer.
#[derive(Debug, Default)]
pub struct Vms {
    pub rows: BTreeMap<Name, Vm>,
    pub suspects: BTreeSet<Name>,
    pub gone: BTreeSet<Name>,
    /// The VMs that were live, leaving ones included, when the VMs were last
    /// ranked.
    pub live: Vec<Name>,
    /// The probes by number.
    pub probes: BTreeMap<u64, Probe>,
    /// The last number that was assigned to a probe.
    pub last_probe: u64,
    /// The VMs that are still to be probed in this round, in random order.
    pub probe_order: Vec<Name>,
    /// VMs to probe in the next tick, because a traffic thread could not reach
    /// them.
    pub urgent_probes: Vec<Name>,
    /// The VM whose message was handled last.
    pub last_sender: Option<Name>,
    /// When the next VM of the round is probed.
    pub next_probe: Instant,
    /// When the next VM that is gone is pinged.
    pub next_reconnect: Instant,
    /// When soft state is next compared with another VM.
    pub next_sync: Instant,
    /// VMs from the settings, which are pinged while no other VM is known.
    pub seeds: Vec<(Name, SocketAddr)>,
    /// Whether this VM is one of those that read from the platform's service on
    /// behalf of all.
    pub watcher: bool,
    /// Whether the watchers and the live VMs must be determined again.
    pub rerank: bool,
}

impl Vms {
    /// The number of VMs that are not gone, including this one.
    pub fn count(&self) -> usize {
        1 + self.rows.len() - self.gone.len()
    }

    /// Updates the sets of suspect and gone VMs for a VM that was added or
    /// changed.
    pub fn update_index(&mut self, vm: &Name, health: Health) {
        set_contains(&mut self.suspects, vm, health == Health::Suspect);
        set_contains(&mut self.gone, vm, health == Health::Gone);
        self.rerank = true;
    }

    /// Removes VMs that are gone.
    pub fn remove_all(&mut self, vms: &[Name]) {
        for vm in vms {
            self.rows.remove(vm);
            self.gone.remove(vm);
        }
    }
}

fn set_contains(names: &mut BTreeSet<Name>, vm: &Name, contained: bool) {
    if contained {
        names.insert(vm.clone());
    } else {
        names.remove(vm);
    }
}
