//! The state of this VM itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::message::{Contact, Health, Member},
    name::Name,
    time::{Instant, Wall},
    view,
};

/// The state of this VM itself.
#[derive(Debug)]
pub struct Own {
    /// The row of this VM in the view.
    pub vm: view::Vm,
    /// When the VM started or last resumed after a pause.
    pub since: Instant,
    /// The monotonic and the wall-clock time of the last tick.
    pub last_tick: Option<(Instant, Wall)>,
    /// Whether the highest revision was learnt since the start, the last pause
    /// or the last isolation.
    pub learnt: bool,
    /// The VMs that reported a confirmed revision no higher than that of this
    /// VM, collected until `learnt` is set.
    pub confirmed_by: BTreeSet<Name>,
    /// When the last message of a VM or reply of the service arrived.
    pub last_received: Instant,
    /// Whether the last view says that this VM is ready.
    pub ready: bool,
    /// The number of requests and legs in flight by traffic thread, reported
    /// while this VM is leaving.
    pub in_flight: BTreeMap<u16, usize>,
}

impl Own {
    /// The state of a VM at its start.
    pub fn new(vm: view::Vm) -> Own {
        Own {
            vm,
            since: Instant::default(),
            last_tick: None,
            learnt: false,
            confirmed_by: BTreeSet::new(),
            last_received: Instant::default(),
            ready: false,
            in_flight: BTreeMap::new(),
        }
    }

    /// Whether this VM is shutting down.
    pub fn leaving(&self) -> bool {
        self.vm.state == view::State::Leaving
    }

    /// The state of this VM as it is sent to other VMs.
    pub fn member(&self) -> Member {
        Member {
            vm: self.vm.name.clone(),
            incarnation: self.vm.incarnation,
            health: Health::Live,
            leaving: self.leaving(),
            contact: Contact {
                domain: self.vm.domain.clone(),
                control: self.vm.control,
                traffic: self.vm.traffic.clone(),
            },
        }
    }
}
