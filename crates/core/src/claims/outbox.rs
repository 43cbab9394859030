//! What the claims engine wants done after a tick.

use std::collections::BTreeMap;

use crate::{claim::Verdict, id, log, name::Name, store};

use super::{message::Message, table::CallId};

/// What is counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Count {
    /// Claims granted at this home.
    Granted,
    /// Claims answered with a recorded result.
    Recorded,
    /// Claims answered as unknown.
    Unknown,
    /// Keys that were used for another request.
    Reused,
    /// Keys outside the window.
    Expired,
    /// Claims refused because the bucket is full.
    Full,
    /// Claims that could not be settled.
    Unsettled,
    /// Claims refused because the queue is full.
    QueueFull,
    /// Writes that lost the race.
    Conflict,
    /// Calls whose effect is not known.
    Lost,
    /// Outcomes that were not recorded.
    OutcomeDropped,
    /// Verdicts that came after the operation had given up.
    LateVerdict,
    /// Buckets removed below the floor.
    Removed,
}

impl Count {
    /// The label of the counter.
    pub fn as_str(self) -> &'static str {
        match self {
            Count::Granted => "granted",
            Count::Recorded => "recorded",
            Count::Unknown => "unknown",
            Count::Reused => "reused",
            Count::Expired => "expired",
            Count::Full => "full",
            Count::Unsettled => "unsettled",
            Count::QueueFull => "queue_full",
            Count::Conflict => "conflict",
            Count::Lost => "lost",
            Count::OutcomeDropped => "outcome_dropped",
            Count::LateVerdict => "late_verdict",
            Count::Removed => "removed",
        }
    }
}

/// Orders to the control thread, in the order in which they were given.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// Calls of the platform's service.
    pub calls: Vec<(CallId, store::Call)>,
    /// Messages to the control threads of other VMs.
    pub messages: Vec<(Name, Message)>,
    /// Verdicts for operations of this VM.
    pub claimed: Vec<(id::Query, Verdict)>,
    /// What happened how often in this tick.
    pub counts: BTreeMap<Count, u64>,
    /// Lines for the log.
    pub lines: Vec<log::Line>,
}

impl Outbox {
    /// Counts one occurrence.
    pub fn count(&mut self, count: Count) {
        *self.counts.entry(count).or_default() += 1;
    }
}
