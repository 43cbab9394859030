//! The closed list of error kinds and the one table from kind to answer.
//!
//! Every refusal that a caller or an operator sees is one of [`Kind`]; how it
//! is answered stands in [`Kind::answer`] and nowhere else. The list is in
//! `docs/ERRORS.md`, which a test holds against this module.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether any part of a refused request was run by a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No target was handed any part of the request.
    No,
    /// A target may have run the request.
    Unknown,
    /// A target ran at least a part of the request.
    Yes,
}

impl Ran {
    /// The text of the `ran` member of a problem document.
    pub fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Yes => "yes",
            Ran::Unknown => "unknown",
        }
    }
}

/// Whether and when the caller may send the request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// The same request gets the same answer.
    Never,
    /// The same request may succeed after this time.
    After(Duration),
}

/// How a kind is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status code.
    pub status: u16,
    /// A short text that is the same for every fault of the kind.
    pub title: &'static str,
    /// Whether and when to send again.
    pub retry: Retry,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident $text:literal $status:literal $title:literal $retry:expr;)*) => {
        /// A kind of error; the list is closed.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// Every kind, in the order of the list.
            pub const ALL: &[Kind] = &[$(Kind::$kind),*];

            /// The stable text of the kind, as in the `kind` member of a
            /// problem document and in the labels of the counters.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Kind::$kind => $text,)*
                }
            }

            /// The answer to a fault of this kind.
            pub fn answer(self) -> Answer {
                match self {
                    $(Kind::$kind => Answer { status: $status, title: $title, retry: $retry },)*
                }
            }
        }
    };
}

const SOON: Retry = Retry::After(Duration::from_millis(100));
const LATER: Retry = Retry::After(Duration::from_secs(1));
const MINUTE: Retry = Retry::After(Duration::from_secs(60));

kinds! {
    /// The request is not what the interface describes.
    Malformed "malformed" 400 "the request is malformed" Retry::Never;
    /// No valid token was given.
    Unauthorized "unauthorized" 401 "a valid token is required" Retry::Never;
    /// The token does not carry the role that the request needs.
    Forbidden "forbidden" 403 "the token does not allow this" Retry::Never;
    /// There is nothing under this path.
    NotFound "not_found" 404 "nothing is here" Retry::Never;
    /// No profile of this name is in force.
    UnknownProfile "unknown_profile" 404 "no such profile is in force" Retry::Never;
    /// The caller took too long to send the request.
    SlowCaller "slow_caller" 408 "the request did not arrive in time" SOON;
    /// The request is larger than the settings allow.
    TooLarge "too_large" 413 "the request is too large" Retry::Never;
    /// Too many requests are open at this VM.
    TooManyOpen "too_many_open" 503 "too many requests are open at this VM" SOON;
    /// The profile's concurrency is used up at this VM.
    ProfileLimit "profile_limit" 429 "the concurrency of the profile is used up" SOON;
    /// The request cannot finish before its deadline and was not started.
    Overloaded "overloaded" 503 "the request cannot finish in time" SOON;
    /// No VM or target can take the request now.
    Unavailable "unavailable" 503 "no target can take the request" LATER;
    /// This VM is starting or leaving.
    NotReady "not_ready" 503 "this VM is not taking requests" SOON;
    /// The deadline passed before an answer was complete enough.
    DeadlinePassed "deadline_passed" 504 "the deadline passed" SOON;
    /// The answer covers less than its profile asks for.
    CoverageTooLow "coverage_too_low" 503 "too little of the index answered" SOON;
    /// The request crashed targets and is held back.
    Quarantined "quarantined" 422 "the request crashed targets and is held back" MINUTE;
    /// The idempotency key is older than the window in which it is remembered.
    KeyExpired "key_expired" 409 "the idempotency key is too old" Retry::Never;
    /// The idempotency key was used for another request.
    KeyReused "key_reused" 422 "the idempotency key belongs to another request" Retry::Never;
    /// The key was claimed earlier and the outcome is not known.
    OutcomeUnknown "outcome_unknown" 409 "an earlier run has no known outcome" LATER;
    /// The claim could not be settled, so nothing was run.
    ClaimUnsettled "claim_unsettled" 503 "the claim could not be settled" LATER;
    /// The claims of the key's time slot are full.
    ClaimFull "claim_full" 503 "too many operations in this time slot" LATER;
    /// The target failed after it was handed the request.
    TargetFailed "target_failed" 502 "the target failed" LATER;
    /// Another publication won the race.
    RevisionConflict "revision_conflict" 412 "another revision is in force" Retry::Never;
    /// It is not known whether the publication took effect.
    RevisionUnsettled "revision_unsettled" 504 "the publication is not settled" LATER;
    /// The platform's service cannot be reached.
    StoreUnavailable "store_unavailable" 503 "the platform's service is unavailable" LATER;
    /// A fault of this program.
    Internal "internal" 500 "internal error" LATER;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// One refusal: its kind, whether anything ran, and a text for people that
/// names the input at fault.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// What went wrong.
    pub kind: Kind,
    /// Whether a target ran any part of the request.
    pub ran: Ran,
    /// What exactly was wrong, for people.
    pub detail: String,
}

impl Fault {
    /// Makes a refusal of which nothing ran.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Fault {
        Fault { kind, ran: Ran::No, detail: detail.into() }
    }

    /// Makes a refusal of which something may have run.
    pub fn unknown(kind: Kind, detail: impl Into<String>) -> Fault {
        Fault { kind, ran: Ran::Unknown, detail: detail.into() }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {} (ran: {})", self.kind, self.detail, self.ran.as_str())
    }
}

impl std::error::Error for Fault {}
