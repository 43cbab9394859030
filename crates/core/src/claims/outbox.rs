//! Outputs of the claims engine for one tick.

use std::collections::BTreeMap;

use crate::{claim::Verdict, id, log, name::Name, store};

use super::{message::Message, table::CallId};

macro_rules! counts {
    ($($(#[$doc:meta])* $count:ident $text:literal;)*) => {
        /// An event of the claims engine that a metric counts.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Count {
            $($(#[$doc])* $count,)*
        }

        impl Count {
            /// All counts, in the order of declaration.
            pub const ALL: &[Count] = &[$(Count::$count),*];

            /// Returns the value of the metric's label.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Count::$count => $text,)*
                }
            }
        }
    };
}

counts! {
    /// Claims that this home granted.
    Granted "granted";
    /// Claims answered with a recorded result.
    Recorded "recorded";
    /// Claims whose key is held by another request without a known outcome.
    Unknown "unknown";
    /// Claims whose key was used with a different fingerprint.
    Reused "reused";
    /// Claims whose key is too old or too far ahead.
    Expired "expired";
    /// Claims refused because the bucket is full.
    Full "full";
    /// Claims that were not decided in time, or whose bucket cannot be decoded.
    Unsettled "unsettled";
    /// Operations, claims and outcomes refused because a queue is full.
    QueueFull "queue_full";
    /// Writes that failed because the value had changed.
    Conflict "conflict";
    /// Store calls whose effect is not known.
    Lost "lost";
    /// Outcomes that were not recorded.
    OutcomeDropped "outcome_dropped";
    /// Verdicts that arrived when no operation waited for them any more.
    LateVerdict "late_verdict";
    /// Buckets below the floor that the sweep removed.
    Removed "removed";
}

/// Actions for the control thread, each list in the order of its additions.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    /// Calls to start in the store.
    pub calls: Vec<(CallId, store::Call)>,
    /// Messages to the control threads of other VMs.
    pub messages: Vec<(Name, Message)>,
    /// Verdicts for operations of this VM.
    pub verdicts: Vec<(id::Query, Verdict)>,
    /// How often each counted event happened in this tick.
    pub counts: BTreeMap<Count, u64>,
    pub lines: Vec<log::Line>,
}

impl Outbox {
    /// Counts one occurrence of `count`.
    pub fn count(&mut self, count: Count) {
        *self.counts.entry(count).or_default() += 1;
    }
}
