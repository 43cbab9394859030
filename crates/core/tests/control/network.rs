//! A simulated network whose paths can be cut, each direction separately.

use std::{collections::BTreeSet, time::Duration};

use laburnum_core::name::Name;

/// A simulated network whose paths can be cut, each direction separately.
pub struct Network {
    /// The time that a message takes to arrive.
    pub delay: Duration,
    cut: BTreeSet<(Name, Name)>,
}

impl Network {
    /// A network without cuts that delivers every message after a millisecond.
    pub fn new() -> Network {
        Network { delay: Duration::from_millis(1), cut: BTreeSet::new() }
    }

    /// Drops messages from one VM to another from now on.
    pub fn cut(&mut self, from: &Name, to: &Name) {
        self.cut.insert((from.clone(), to.clone()));
    }

    /// Removes all cuts.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Whether a message from one VM to another is delivered.
    pub fn carries(&self, from: &Name, to: &Name) -> bool {
        !self.cut.contains(&(from.clone(), to.clone()))
    }
}
