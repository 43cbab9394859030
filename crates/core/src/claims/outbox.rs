//! What the claims engine wants done after a tick.

use std::collections::BTreeMap;

use crate::{claim::Verdict, id, log, name::Name, store};

use super::{message::Message, table::CallId};

macro_rules! counts {
    ($($(#[$doc:meta])* $count:ident $text:literal;)*) => {
        /// What is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Count {
            $($(#[$doc])* $count,)*
        }

        impl Count {
            /// Every count, in the order of the list.
            pub const ALL: &[Count] = &[$(Count::$count),*];

            /// The label of the counter.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Count::$count => $text,)*
                }
            }
        }
    };
}

counts! {
    /// Claims granted at this home.
    Granted "granted";
    /// Claims answered with a recorded result.
    Recorded "recorded";
    /// Claims answered as unknown.
    Unknown "unknown";
    /// Keys that were used for another request.
    Reused "reused";
    /// Keys outside the window.
    Expired "expired";
    /// Claims refused because the bucket is full.
    Full "full";
    /// Claims that could not be settled.
    Unsettled "unsettled";
    /// Claims refused because the queue is full.
    QueueFull "queue_full";
    /// Writes that lost the race.
    Conflict "conflict";
    /// Calls whose effect is not known.
    Lost "lost";
    /// Outcomes that were not recorded.
    OutcomeDropped "outcome_dropped";
    /// Verdicts that came after the operation had given up.
    LateVerdict "late_verdict";
    /// Buckets removed below the floor.
    Removed "removed";
}

/// Orders to the control thread, in the order in which they were given.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// Calls of the platform's service.
    pub calls: Vec<(CallId, store::Call)>,
    /// Messages to the control threads of other VMs.
    pub messages: Vec<(Name, Message)>,
    /// Verdicts for operations of this VM.
    pub verdicts: Vec<(id::Query, Verdict)>,
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
