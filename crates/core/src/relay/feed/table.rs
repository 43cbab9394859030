//! The rows of the feed.

use std::collections::BTreeMap;

use crate::{name::Name, relay::View, store::CallId, time::Instant};

/// What a call of the store is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Purpose {
    /// The configuration.
    Config,
    /// The list of targets.
    Targets,
    /// Changes of both.
    Watch,
}

/// Whether the store answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Store {
    /// It answered the last call.
    #[default]
    Up,
    /// The last calls failed.
    Down { failures: u32 },
}

/// All rows of the feed.
#[derive(Clone, Debug, Default)]
pub struct Tables {
    /// What the traffic threads are told.
    pub view: View,
    /// Whether the view differs from the one that they were told last.
    pub is_changed: bool,
    /// The call that is under way.
    pub call: Option<(CallId, Purpose)>,
    /// What the next call is for.
    pub next: Option<Purpose>,
    /// When the next call may be made.
    pub not_before: Instant,
    /// The change number that the watch goes on from, once everything was read.
    pub change: Option<u64>,
    /// The lowest change number of a reading that is under way.
    pub reading: Option<u64>,
    /// Whether the store answers.
    pub store: Store,
    /// When entries that lapsed during an outage are gone for good.
    pub lapse_until: Instant,
    /// Targets whose entry is missing, with the time at which they are gone.
    pub missing: BTreeMap<Name, Instant>,
    last: u64,
}

impl Tables {
    /// The id of a new call.
    pub fn call_id(&mut self) -> CallId {
        self.last += 1;
        CallId(self.last)
    }

    /// When the next row is due.
    pub fn wake(&self) -> Option<Instant> {
        let call = self.call.is_none().then_some(self.not_before);
        let missing = self.missing.values().min().copied();
        match (call, missing) {
            (Some(call), Some(missing)) => Some(call.min(missing)),
            (call, missing) => call.or(missing),
        }
    }
}
