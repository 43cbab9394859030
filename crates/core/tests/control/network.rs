//! A network whose paths can be cut, each way for itself.

use std::{collections::BTreeSet, time::Duration};

use laburnum_core::name::Name;

/// A network whose paths can be cut.
pub struct Network {
    /// The time that a message takes.
    pub delay: Duration,
    cut: BTreeSet<(Name, Name)>,
}

impl Network {
    /// A network that carries every message within a millisecond.
    pub fn new() -> Network {
        Network { delay: Duration::from_millis(1), cut: BTreeSet::new() }
    }

    /// Cuts the way from one VM to another.
    pub fn cut(&mut self, from: &Name, to: &Name) {
        self.cut.insert((from.clone(), to.clone()));
    }

    /// Opens every way.
    pub fn heal(&mut self) {
        self.cut.clear();
    }

    /// Whether a message gets through.
    pub fn carries(&self, from: &Name, to: &Name) -> bool {
        !self.cut.contains(&(from.clone(), to.clone()))
    }
}
