//! The closed list of what is counted.
//!
//! Systems add to [`Counts`], which the thread hands to the metrics at the end
//! of a tick. Every refusal has its [`Kind`], every retry its [`Retry`] and
//! every reply that is thrown away its [`Drop`]; nothing is counted under a
//! text that is made at run time, so the number of series is bounded.

use std::{collections::BTreeMap, time::Duration};

use crate::{fault::Kind, name::Name};

macro_rules! reasons {
    ($(#[$list:meta])* $name:ident { $($(#[$doc:meta])* $reason:ident $text:literal;)* }) => {
        $(#[$list])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum $name {
            $($(#[$doc])* $reason,)*
        }

        impl $name {
            /// Every reason, in the order of the list.
            pub const ALL: &[$name] = &[$($name::$reason),*];

            /// The stable text of the reason, as in the label of the counter.
            pub fn as_str(self) -> &'static str {
                match self {
                    $($name::$reason => $text,)*
                }
            }
        }
    };
}

reasons! {
    /// Why a leg was tried again.
    Retry {
        /// The target had no free slot.
        Shed "shed";
        /// The target is leaving.
        Draining "draining";
        /// The target no longer holds the version.
        VersionGone "version_gone";
        /// The target does not hold the range.
        RangeMoved "range_moved";
        /// The request could not be handed to the connection.
        Unsent "unsent";
        /// No connection to the target could be opened.
        OpenFailed "open_failed";
        /// The connection was lost while the request ran.
        ConnectionLost "connection_lost";
        /// The connection went silent while the request ran.
        ConnectionSilent "connection_silent";
        /// The reply could not be read or failed its check.
        Garbled "garbled";
        /// The first attempt was slow, and another was sent next to it.
        Hedged "hedged";
        /// The home of the shard did not take the leg or did not answer.
        HomeUnreachable "home_unreachable";
        /// The home of the shard is leaving or is no longer its home.
        HomeMoved "home_moved";
    }
}

reasons! {
    /// Why a retry or hedge that would have been of use was not made.
    Withheld {
        /// The budget for attempts beyond the first is spent.
        Budget "budget";
        /// The attempts of the leg are used up.
        Attempts "attempts";
        /// Too little time remains until the deadline.
        Deadline "deadline";
        /// No other replica can take it.
        NoReplica "no_replica";
        /// The request is suspected of crashing targets.
        Suspect "suspect";
        /// The request is not idempotent and may have run.
        MayHaveRun "may_have_run";
    }
}

reasons! {
    /// Why a reply was thrown away.
    Drop {
        /// Its attempt was already given up.
        Late "late";
        /// It echoes the attempt of another request.
        Crossed "crossed";
        /// It has fewer rows or another digest than it states.
        Cut "cut";
        /// It was read at another version than asked for.
        WrongVersion "wrong_version";
        /// It holds rows outside the range that was asked for.
        OutsideRange "outside_range";
        /// Its attempt was already answered.
        Doubled "doubled";
        /// It echoes no attempt, or one that was never made here.
        Unmatched "unmatched";
    }
}

/// Makes [`Count`] from the counts with a reason and those without.
macro_rules! counts {
    (
        with reason { $($(#[$rdoc:meta])* $rcount:ident($reason:ident) $rname:literal;)* }
        alone { $($(#[$doc:meta])* $count:ident $name:literal;)* }
    ) => {
        /// Something that is counted; the list is closed.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Count {
            $($(#[$rdoc])* $rcount($reason),)*
            $($(#[$doc])* $count,)*
        }

        impl Count {
            /// Every count, those with a reason once for each reason.
            pub fn all() -> Vec<Count> {
                let mut all = Vec::new();
                $(all.extend($reason::ALL.iter().map(|&reason| Count::$rcount(reason)));)*
                $(all.push(Count::$count);)*
                all
            }

            /// The name of the counter.
            pub fn name(self) -> &'static str {
                match self {
                    $(Count::$rcount(_) => $rname,)*
                    $(Count::$count => $name,)*
                }
            }

            /// The reason, for counters that have one.
            pub fn reason(self) -> Option<&'static str> {
                match self {
                    $(Count::$rcount(reason) => Some(reason.as_str()),)*
                    $(Count::$count => None,)*
                }
            }
        }
    };
}

counts! {
    with reason {
        /// A request was refused.
        Refused(Kind) "refusals";
        /// A leg was tried again.
        Retried(Retry) "retries";
        /// A retry or hedge was not made.
        Withheld(Withheld) "retries_withheld";
        /// A reply was thrown away.
        Dropped(Drop) "replies_dropped";
    }
    alone {
        /// A search was taken in.
        Searches "searches";
        /// An operation was taken in.
        Operations "operations";
        /// A request was answered.
        Answers "answers";
        /// An answer covers less than the whole index.
        PartialAnswers "partial_answers";
        /// A query started over on another version.
        Restarts "query_restarts";
        /// A caller went away before its answer.
        Abandoned "requests_abandoned";
        /// A leg was sent to a home.
        Legs "legs";
        /// The first attempt of a leg was sent to a target.
        FirstAttempts "first_attempts";
        /// An attempt was sent to a target, the first ones among them.
        Attempts "attempts";
        /// A hedge was sent.
        Hedges "hedges";
        /// A hedge answered before the attempt next to it.
        HedgesWon "hedges_won";
        /// An attempt was withdrawn.
        Cancels "cancels";
        /// A leg shared an attempt that was already in flight.
        Shared "attempts_shared";
        /// A connection to a target was opened.
        ConnectionsOpened "target_connections_opened";
        /// A connection to a target was lost or could not be opened.
        ConnectionsLost "target_connections_lost";
        /// A connection to a target went silent and was closed.
        ConnectionsSilent "target_connections_silent";
        /// A message to another VM was dropped because its queue was full.
        MessagesDropped "messages_dropped";
        /// A request crashed targets and was put into quarantine.
        Condemned "requests_condemned";
        /// A claim was granted.
        ClaimsGranted "claims_granted";
        /// A value of claims was written to the platform's service.
        ClaimWrites "claim_writes";
        /// A call of the platform's service was made.
        StoreCalls "store_calls";
        /// A call of the platform's service failed or was lost.
        StoreFailures "store_failures";
    }
}

/// One answer, for the histograms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The profile of the request.
    pub profile: Name,
    /// The time from the request to its answer.
    pub took: Duration,
    /// The coverage in parts per million; an operation has none.
    pub coverage: Option<u32>,
}

/// What was counted since it was last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    totals: BTreeMap<Count, u64>,
    samples: Vec<Sample>,
}

impl Counts {
    /// Counts `count` once.
    pub fn add(&mut self, count: Count) {
        self.add_many(count, 1);
    }

    /// Counts `count` as often as `times`.
    pub fn add_many(&mut self, count: Count, times: u64) {
        if times > 0 {
            *self.totals.entry(count).or_default() += times;
        }
    }

    /// Keeps `sample` for the histograms.
    pub fn sample(&mut self, sample: Sample) {
        self.samples.push(sample);
    }

    /// How often `count` was counted.
    pub fn get(&self, count: Count) -> u64 {
        self.totals.get(&count).copied().unwrap_or_default()
    }

    /// What was counted at least once, with how often.
    pub fn totals(&self) -> impl Iterator<Item = (Count, u64)> + '_ {
        self.totals.iter().map(|(&count, &times)| (count, times))
    }

    /// The answers.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Tells whether there is nothing to hand on.
    pub fn is_empty(&self) -> bool {
        self.totals.is_empty() && self.samples.is_empty()
    }

    /// Hands on what was counted and starts anew.
    pub fn take(&mut self) -> Counts {
        std::mem::take(self)
    }
}
