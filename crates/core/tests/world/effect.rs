//! What a command to a target leads to.

use std::time::Duration;

use laburnum_core::{id, name::Name, target::Event, traffic};

/// A report to a VM after a time.
pub type Report = (Duration, Name, traffic::Event);

/// What a command leads to.
#[derive(Debug, Default)]
pub struct Effect {
    /// Reports to the VM that gave the command.
    pub events: Vec<(Duration, Event)>,
    /// Reports to any VM.
    pub others: Vec<Report>,
    /// Ends of service times.
    pub serves: Vec<(Duration, Name, id::Attempt)>,
}

impl Effect {
    /// One report to the VM that gave the command.
    pub fn event(after: Duration, event: Event) -> Effect {
        Effect { events: vec![(after, event)], ..Effect::default() }
    }
}
