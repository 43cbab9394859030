//! The network between VMs.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use laburnum_core::name::Name;

/// The time that a message takes.
const DELAY: Duration = Duration::from_micros(500);

/// Which VMs reach which.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(Name, Name)>,
    delays: BTreeMap<(Name, Name), Duration>,
}

impl Network {
    /// Cuts the way from one VM to another; the way back stays.
    pub fn cut(&mut self, from: &Name, to: &Name) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Makes the way from one VM to another slower.
    pub fn slow(&mut self, from: &Name, to: &Name, by: Duration) {
        self.delays.insert((from.clone(), to.clone()), by);
    }

    /// Mends every cut and every slow way.
    pub fn heal(&mut self) {
        self.cuts.clear();
        self.delays.clear();
    }

    /// Whether no way is cut or slow.
    pub fn is_whole(&self) -> bool {
        self.cuts.is_empty() && self.delays.is_empty()
    }

    /// The time that a message takes, or none if it is lost.
    pub fn delay(&self, from: &Name, to: &Name) -> Option<Duration> {
        let way = (from.clone(), to.clone());
        let more = self.delays.get(&way).copied().unwrap_or_default();
        (!self.cuts.contains(&way)).then_some(DELAY + more)
    }
}
