//! The simulated network between VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use laburnum_core::name::Name;

/// The time that a message takes without faults.
const MESSAGE_DELAY: Duration = Duration::from_micros(500);

/// The faults of the links between VMs.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(Name, Name)>,
    delays: BTreeMap<(Name, Name), Duration>,
}

impl Network {
    /// Cuts the link from one VM to another, in this direction only.
    pub fn cut(&mut self, from: &Name, to: &Name) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Adds a delay to the link from one VM to another.
    pub fn slow(&mut self, from: &Name, to: &Name, by: Duration) {
        self.delays.insert((from.clone(), to.clone()), by);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.delays.clear();
    }

    /// Returns whether no link has a fault.
    pub fn is_healthy(&self) -> bool {
        self.cuts.is_empty() && self.delays.is_empty()
    }

    /// Returns the time that a message takes, or none if it is lost.
    pub fn delay(&self, from: &Name, to: &Name) -> Option<Duration> {
        let link = (from.clone(), to.clone());
        let more = self.delays.get(&link).copied().unwrap_or_default();
        (!self.cuts.contains(&link)).then_some(MESSAGE_DELAY + more)
    }
}
