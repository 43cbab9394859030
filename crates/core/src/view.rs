//! The immutable view that the control thread publishes to the traffic threads.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{digest::Fingerprint, id::Origin, name::Name, profile::Document};

/// What is believed of a VM or a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It takes new work.
    Live,
    /// It finishes what it has and takes no new work.
    Leaving,
    /// It did not answer probes; it is used last.
    Suspect,
}

/// A VM as others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name from its settings.
    pub name: Name,
    /// The failure domain from its settings.
    pub domain: Name,
    /// The start of the VM; a later start has a greater number.
    pub incarnation: u64,
    /// What is believed of it.
    pub state: State,
    /// Where its control thread listens for other VMs.
    pub control: SocketAddr,
    /// Where its traffic threads listen for other VMs, one address each.
    pub traffic: Vec<SocketAddr>,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the replica.
    pub name: Name,
    /// The index that it holds a part of.
    pub index: Name,
    /// The shard that it is a replica of.
    pub shard: Name,
    /// The failure domain that it runs in.
    pub domain: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// The number of requests that it runs at a time.
    pub slots: u32,
    /// The number of connections that it takes over all VMs.
    pub connections: u32,
    /// What is believed of it.
    pub state: State,
}

/// One traffic thread of one VM, the address of every message between VMs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lane {
    /// The VM.
    pub vm: Name,
    /// The number of the traffic thread within the VM.
    pub thread: u16,
}

/// What traffic threads know of the world during a tick. It is replaced as a
/// whole and never changed.
#[derive(Clone, Debug)]
pub struct View {
    /// The name of this VM.
    pub vm: Name,
    /// The failure domain of this VM.
    pub domain: Name,
    /// The VMs by name, this one among them.
    pub vms: BTreeMap<Name, Vm>,
    /// The targets by name.
    pub targets: BTreeMap<Name, Target>,
    /// The profiles in force.
    pub document: Arc<Document>,
    /// The targets that were lost with each request that may crash targets, as
    /// far as other VMs have told.
    pub suspects: BTreeMap<Fingerprint, BTreeSet<Name>>,
    /// The fingerprints that are held back because they crashed targets.
    pub quarantine: BTreeMap<Fingerprint, Origin>,
    /// Whether this VM takes requests of callers.
    pub ready: bool,
    /// Whether this VM is shutting down.
    pub leaving: bool,
}

impl View {
    /// The view of a VM that knows only itself and is not ready.
    pub fn starting(vm: Name, domain: Name) -> View {
        View {
            vm,
            domain,
            vms: BTreeMap::new(),
            targets: BTreeMap::new(),
            document: Arc::new(Document::default()),
            suspects: BTreeMap::new(),
            quarantine: BTreeMap::new(),
            ready: false,
            leaving: false,
        }
    }
}
