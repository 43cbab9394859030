//! The fixed set of counters.
//!
//! Systems add to [`Counts`], which the thread passes to the metrics at the end
//! of each tick. Refusals are labelled by their [`Kind`], retries by their
//! [`Retry`] reason and dropped replies by their [`Drop`] reason. No label is
//! built at run time, so the number of time series is bounded.

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
            /// Every reason in order of declaration.
            pub const ALL: &[$name] = &[$($name::$reason),*];

            /// The value of the counter's `reason` label.
            pub fn as_str(self) -> &'static str {
                match self {
                    $($name::$reason => $text,)*
                }
            }
        }
    };
}

reasons! {
    /// Why an attempt was followed by another one.
    Retry {
        /// The target shed the attempt.
        Shed "shed";
        /// The target is draining.
        Draining "draining";
        /// The target no longer holds the version.
        VersionGone "version_gone";
        /// The target no longer holds the range.
        RangeMoved "range_moved";
        /// The request was not sent on the connection.
        Unsent "unsent";
        /// The connection was lost.
        ConnectionLost "connection_lost";
        /// The peer stopped responding on the connection.
        ConnectionSilent "connection_silent";
        /// The reply was truncated, belonged to another attempt or failed its check.
        Garbled "garbled";
        /// The target answered with a failure.
        TargetFailed "target_failed";
        /// The home of the shard is unreachable or does not answer.
        HomeUnreachable "home_unreachable";
    }
}

reasons! {
    /// Why a reply was dropped.
    Drop {
        /// The attempt or leg is no longer pending.
        Late "late";
        /// The reply carries the id of another attempt.
        Crossed "crossed";
        /// There is no room for the reply.
        Unheld "unheld";
        /// The reply is truncated or its digest does not match.
        Cut "cut";
        /// The rows were read at another version of the index.
        WrongVersion "wrong_version";
        /// The reply contains rows outside the requested range.
        OutsideRange "outside_range";
        /// The reply contains a row twice.
        Doubled "doubled";
    }
}

/// Defines [`Count`] from the counters with a reason and those without.
macro_rules! counts {
    (
        with reason { $($(#[$rdoc:meta])* $rcount:ident($reason:ident) $rname:literal;)* }
        alone { $($(#[$doc:meta])* $count:ident $name:literal;)* }
    ) => {
        /// A counter, with its reason where it has one.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Count {
            $($(#[$rdoc])* $rcount($reason),)*
            $($(#[$doc])* $count,)*
        }

        impl Count {
            /// Every counter, those with a reason once for each reason.
            pub fn all() -> Vec<Count> {
                let mut all = Vec::new();
                $(all.extend($reason::ALL.iter().map(|&reason| Count::$rcount(reason)));)*
                $(all.push(Count::$count);)*
                all
            }

            pub fn name(self) -> &'static str {
                match self {
                    $(Count::$rcount(_) => $rname,)*
                    $(Count::$count => $name,)*
                }
            }

            /// The value of the `reason` label, for counters that have one.
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
        /// Refused requests by kind.
        Refused(Kind) "refusals";
        /// Retried attempts by reason.
        Retried(Retry) "retries";
        /// Dropped replies by reason.
        Dropped(Drop) "replies_dropped";
    }
    alone {
        /// Requests received from callers.
        Requests "requests";
        Complete "complete_answers";
        /// Answers that do not cover the whole index.
        Partial "partial_answers";
        /// First attempts of legs.
        FirstAttempts "first_attempts";
        /// All attempts, with hedges and retries.
        Attempts "attempts";
        /// Attempts sent in parallel to a slow one.
        Hedges "hedges";
        /// Hedges and retries that the retry budget did not allow.
        BudgetSpent "extra_attempts_denied";
        /// Requests passed to a larger VM.
        Handed "requests_handed";
        /// Queries restarted on another version of the index.
        Restarts "query_restarts";
        /// Connections closed to make room for others.
        Evicted "connections_evicted";
        /// Attempts cancelled at the target.
        Cancelled "attempts_cancelled";
    }
}

/// The measurements of one answer, for the histograms.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The profile of the request.
    pub profile: Name,
    /// The time from the arrival of the request to its answer.
    pub took: Duration,
    /// The coverage in parts per million, or none for an operation.
    pub coverage: Option<u32>,
}

/// The counters and samples since the last [`Counts::take`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    totals: BTreeMap<Count, u64>,
    samples: Vec<Sample>,
}

impl Counts {
    /// Increments `count`.
    pub fn add(&mut self, count: Count) {
        self.add_many(count, 1);
    }

    /// Increments `count` by `times`.
    pub fn add_many(&mut self, count: Count, times: u64) {
        if times > 0 {
            *self.totals.entry(count).or_default() += times;
        }
    }

    /// Adds a sample for the histograms.
    pub fn sample(&mut self, sample: Sample) {
        self.samples.push(sample);
    }

    /// Returns the value of `count`.
    pub fn get(&self, count: Count) -> u64 {
        self.totals.get(&count).copied().unwrap_or_default()
    }

    /// Iterates over the counters that are not zero.
    pub fn iter(&self) -> impl Iterator<Item = (Count, u64)> + '_ {
        self.totals.iter().map(|(&count, &times)| (count, times))
    }

    /// Returns the samples in the order in which they were added.
    pub fn samples(&self) -> &[Sample] {
        &self.samples
    }

    /// Returns whether there are neither counts nor samples.
    pub fn is_empty(&self) -> bool {
        self.totals.is_empty() && self.samples.is_empty()
    }

    /// Returns all counts and samples and resets them.
    pub fn take(&mut self) -> Counts {
        std::mem::take(self)
    }
}
