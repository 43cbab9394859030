//! The effects of a command to a target.

use std::time::Duration;

use laburnum_core::{id, name::Name, target::Event, traffic};

/// An event for a VM after a delay.
pub type Report = (Duration, Name, traffic::Event);

/// The events that a command causes, each after a delay.
#[derive(Debug, Default)]
pub struct Effect {
    /// Events for the VM that sent the command.
    pub events: Vec<(Duration, Event)>,
    /// Events for any VM.
    pub reports: Vec<Report>,
    /// Ends of the service times of attempts.
    pub service_ends: Vec<(Duration, Name, id::Attempt)>,
}

impl Effect {
    /// Creates the effect of one event for the VM that sent the command.
    pub fn event(after: Duration, event: Event) -> Effect {
        Effect { events: vec![(after, event)], ..Effect::default() }
    }
}
