//! The network between VMs.

use std::{collections::BTreeSet, time::Duration};

use laburnum_core::name::Name;

/// The time that a message takes.
const DELAY: Duration = Duration::from_micros(500);

/// Which VMs reach which.
#[derive(Debug, Default)]
pub struct Network {
    cuts: BTreeSet<(Name, Name)>,
}

impl Network {
    /// Cuts the way from one VM to another; the way back stays.
    pub fn cut(&mut self, from: &Name, to: &Name) {
        self.cuts.insert((from.clone(), to.clone()));
    }

    /// Mends every cut.
    pub fn mend(&mut self) {
        self.cuts.clear();
    }

    /// The time that a message takes, or none if it is lost.
    pub fn delay(&self, from: &Name, to: &Name) -> Option<Duration> {
        let is_cut = self.cuts.contains(&(from.clone(), to.clone()));
        (!is_cut).then_some(DELAY)
    }
}
