//! What the control thread publishes to the traffic threads.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use serde::{Deserialize, Serialize};

use super::route::Config;
use crate::{digest::Fingerprint, name::Name};

/// The configuration in force with the targets and VMs, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The newest configuration, if any is known.
    pub config: Option<Arc<Config>>,
    /// The registered targets.
    pub targets: BTreeMap<Name, Arc<Target>>,
    /// Whether the store answers, so that this view is current.
    pub is_current: bool,
    /// The VMs among which connections to targets and retry budgets are divided.
    pub vms: BTreeMap<Name, Vm>,
    /// The number of VMs to assume while none is known.
    pub assumed_vms: u32,
    /// The requests that are quarantined because they crashed targets.
    pub quarantined: BTreeSet<Fingerprint>,
    /// The VMs that have so much more processor time that this one hands them its
    /// requests.
    pub larger: BTreeMap<Name, Vm>,
}

impl View {
    /// Returns the version of the configuration, zero if there is none.
    pub fn version(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.version)
    }

    /// Returns the number of VMs among which connections and retry budgets are divided.
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
    pub domain: Name,
    /// The address at which it takes requests of other VMs.
    pub address: SocketAddr,
    /// The processor time, in thousandths of a core.
    pub share: u32,
}

/// The registration of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    pub service: Name,
    pub address: SocketAddr,
    pub domain: Name,
    /// The number of requests that it can run at a time.
    pub slots: u32,
    /// Whether it is draining and must get no new work.
    pub draining: bool,
    /// How long it is slow after its registration.
    pub cold: Duration,
    /// Distinguishes one start of the target from another.
    pub born: u64,
}
