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
    /// Why an attempt was followed by another.
    Retry {
        /// The target shed it.
        Shed "shed";
        /// The target is leaving.
        Draining "draining";
        /// The target no longer holds the version.
        VersionGone "version_gone";
        /// The target no longer holds the range.
        RangeMoved "range_moved";
        /// The request could not be handed to the connection.
        Unsent "unsent";
        /// The connection was lost.
        ConnectionLost "connection_lost";
        /// The connection went silent.
        ConnectionSilent "connection_silent";
        /// The reply was cut, crossed or failed its check.
        Garbled "garbled";
        /// The target answered with a failure.
        TargetFailed "target_failed";
        /// The home of the shard is unreachable or silent.
        HomeUnreachable "home_unreachable";
    }
}

reasons! {
    /// Why a reply was dropped.
    Drop {
        /// Its attempt or leg is no longer waited for.
        Late "late";
        /// It carries the id of another attempt.
        Crossed "crossed";
        /// It was cut or its digest does not match.
        Cut "cut";
        /// It was read at another version.
        WrongVersion "wrong_version";
        /// It holds rows outside the range.
        OutsideRange "outside_range";
        /// It holds a row twice.
        Doubled "doubled";
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
        /// Refusals by kind.
        Refused(Kind) "refusals";
        /// Attempts that followed another, by reason.
        Retried(Retry) "retries";
        /// Replies that were dropped, by reason.
        Dropped(Drop) "replies_dropped";
    }
    alone {
        /// Requests of callers.
        Requests "requests";
        /// Complete answers.
        Complete "complete_answers";
        /// Partial answers.
        Partial "partial_answers";
        /// First attempts.
        FirstAttempts "first_attempts";
        /// All attempts.
        Attempts "attempts";
        /// Attempts made beside another that was slow.
        Hedges "hedges";
        /// Extra attempts that the budget did not allow.
        BudgetSpent "extra_attempts_denied";
        /// Requests that were handed to a larger VM.
        Handed "requests_handed";
        /// Queries that started over on another version.
        Restarts "query_restarts";
        /// Attempts that were withdrawn at the target.
        Cancelled "attempts_cancelled";
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
    pub fn iter(&self) -> impl Iterator<Item = (Count, u64)> + '_ {
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
