//! The immutable view that the control thread publishes to the traffic threads.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
};

use serde::{Deserialize, Serialize};

use crate::{digest::Fingerprint, id::Origin, name::Name, profile::Document};

/// The state of a VM or a target as this VM knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It accepts new work.
    Live,
    /// It finishes its work in flight and accepts no new work.
    Leaving,
    /// It did not answer probes, so it is used only as a last resort.
    Suspect,
}

/// A VM as the other VMs know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The name from its settings.
    pub name: Name,
    /// The failure domain from its settings.
    pub domain: Name,
    /// The incarnation of the VM; a later start has a greater number.
    pub incarnation: u64,
    pub state: State,
    /// The address at which its control thread listens for other VMs.
    pub control: SocketAddr,
    /// The addresses at which its traffic threads listen for other VMs, one for
    /// each thread.
    pub traffic: Vec<SocketAddr>,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The name of the replica.
    pub name: Name,
    /// The index of which it holds a part.
    pub index: Name,
    /// The shard that it is a replica of.
    pub shard: Name,
    /// The failure domain that it runs in.
    pub domain: Name,
    pub address: SocketAddr,
    /// The number of requests that it runs concurrently.
    pub slots: u32,
    /// The number of connections that it accepts, from all VMs together.
    pub connections: u32,
    pub state: State,
}

/// A traffic thread of a VM, the sender or receiver of messages between VMs.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Lane {
    pub vm: Name,
    /// The index of the traffic thread within the VM.
    pub thread: u16,
}

/// The state of the deployment that the traffic threads use during a tick. It is
/// immutable and replaced as a whole.
#[derive(Clone, Debug)]
pub struct View {
    /// The name of this VM.
    pub vm: Name,
    /// The failure domain of this VM.
    pub domain: Name,
    /// The VMs by name, including this one.
    pub vms: BTreeMap<Name, Vm>,
    pub targets: BTreeMap<Name, Target>,
    /// The published profiles in force.
    pub document: Arc<Document>,
    /// The targets that were lost while they ran each request that may crash
    /// targets, as reported by other VMs.
    pub suspects: BTreeMap<Fingerprint, BTreeSet<Name>>,
    /// The fingerprints in quarantine because their requests crashed targets.
    pub quarantine: BTreeMap<Fingerprint, Origin>,
    /// Whether this VM accepts requests from callers.
    pub ready: bool,
    /// Whether this VM is shutting down.
    pub leaving: bool,
}

impl View {
    /// Creates the view of a VM that is not ready and knows no other VM.
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
