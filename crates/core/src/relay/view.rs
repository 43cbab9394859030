//! What the control thread tells the traffic threads.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use super::route::Config;
use crate::name::Name;

/// The configuration in force and the targets, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The newest configuration, if any is known.
    pub config: Option<Arc<Config>>,
    /// The targets that registered themselves.
    pub targets: BTreeMap<Name, Arc<Target>>,
    /// The VMs that share connections and retry budgets.
    pub vms: u32,
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
