//! This VM itself.

use std::collections::{BTreeMap, BTreeSet};

use crate::{
    control::message::{Contact, Health, Member},
    name::Name,
    time::{Instant, Wall},
    view,
};

/// This VM itself.
#[derive(Debug)]
pub struct Own {
    /// What other VMs are told.
    pub vm: view::Vm,
    /// When it started, or went on after a pause.
    pub since: Instant,
    /// When the last step was run.
    pub stepped: Option<(Instant, Wall)>,
    /// Whether the highest revision was learnt since the start or the last pause.
    pub learnt: bool,
    /// The VMs whose confirmed revision is in force here, counted until the
    /// revision is learnt.
    pub witnesses: BTreeSet<Name>,
    /// When a VM or the service was last heard.
    pub heard: Instant,
    /// Whether the view says ready.
    pub ready: bool,
    /// The requests and legs in flight by traffic thread, while leaving.
    pub in_flight: BTreeMap<u16, usize>,
}

impl Own {
    /// This VM at its start.
    pub fn new(vm: view::Vm) -> Own {
        Own {
            vm,
            since: Instant::default(),
            stepped: None,
            learnt: false,
            witnesses: BTreeSet::new(),
            heard: Instant::default(),
            ready: false,
            in_flight: BTreeMap::new(),
        }
    }

    /// Whether this VM is shutting down.
    pub fn leaving(&self) -> bool {
        self.vm.state == view::State::Leaving
    }

    /// What other VMs are told of this one.
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
