//! What the control thread tells the traffic threads.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::route::Config;
use crate::{digest::Fingerprint, name::Name};

/// The configuration in force and the targets, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The newest configuration, if any is known.
    pub config: Option<Arc<Config>>,
    /// The targets that registered themselves.
    pub targets: BTreeMap<Name, Arc<Target>>,
    /// Whether the store answers, so that what is known of it is the newest.
    pub is_current: bool,
    /// The VMs that share the connections of targets and the retry budgets.
    pub vms: BTreeMap<Name, Vm>,
    /// The VMs to count on while none is known.
    pub assumed_vms: u32,
    /// The requests that are held back since they crashed targets.
    pub held: BTreeSet<Fingerprint>,
    /// The VMs with so much more processor time that requests are handed to them.
    pub larger: BTreeMap<Name, Vm>,
}

impl View {
    /// The number of VMs that share connections and retry budgets.
    pub fn sharing_vms(&self) -> u32 {
        match u32::try_from(self.vms.len()) {
            Ok(0) => self.assumed_vms.max(1),
            Ok(count) => count,
            Err(_) => u32::MAX,
        }
    }
}

/// A VM that forwards requests to targets itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its failure domain.
    pub domain: Name,
    /// Where it takes requests of other VMs.
    pub address: SocketAddr,
    /// Its processor time in thousandths of a core.
    pub share: u32,
}

/// A target as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its service.
    pub service: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: Name,
    /// The requests that it runs at a time.
    pub slots: u32,
    /// Whether it is leaving and must get no new work.
    pub draining: bool,
    /// The time after its registration for which it is slow.
    pub cold: Duration,
    /// Tells one start of the target from another.
    pub born: u64,
}
