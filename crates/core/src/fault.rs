//! The error kinds and the HTTP answer to each.
//!
//! Every refusal that a caller or an operator sees has a [`Kind`], and only
//! [`Kind::answer`] defines how a kind is answered. `docs/ERRORS.md` lists the
//! kinds; a test compares it with this module.

use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// Whether a target ran any part of a refused request. `docs/ERRORS.md` says what this
/// covers if an operation is sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No target received any part of the request.
    No,
    /// A target may have run the request.
    Unknown,
    /// A target ran at least a part of the request.
    Yes,
}

impl Ran {
    /// Returns the text of the `ran` member of a problem document.
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
    /// Sending the same request again gets the same answer.
    Never,
    /// The same request may succeed after this time.
    After(Duration),
}

/// The HTTP answer to a kind of error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status code.
    pub status: u16,
    /// A short text, the same for every fault of the kind.
    pub title: &'static str,
    pub retry: Retry,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident $text:literal $status:literal $title:literal $retry:expr;)*) => {
        /// A kind of error.
        #[derive(
            Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(rename_all = "snake_case")]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            /// Every kind in order of declaration.
            pub const ALL: &[Kind] = &[$(Kind::$kind),*];

            /// Returns the text of the kind in the `kind` member of a problem
            /// document and in the labels of the counters.
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Kind::$kind => $text,)*
                }
            }

            /// Returns the answer to a fault of this kind.
            pub fn answer(self) -> Answer {
                match self {
                    $(Kind::$kind => Answer { status: $status, title: $title, retry: $retry },)*
                }
            }
        }
    };
}

const AFTER_100_MS: Retry = Retry::After(Duration::from_millis(100));
const AFTER_1_S: Retry = Retry::After(Duration::from_secs(1));
const AFTER_60_S: Retry = Retry::After(Duration::from_secs(60));

kinds! {
    /// The request does not conform to the interface.
    Malformed "malformed" 400 "the request is malformed" Retry::Never;
    /// The request has no valid token.
    Unauthorized "unauthorized" 401 "a valid token is required" Retry::Never;
    /// The token lacks the role that the request requires.
    Forbidden "forbidden" 403 "the token does not allow this" Retry::Never;
    /// Nothing is served under this path.
    NotFound "not_found" 404 "nothing is here" Retry::Never;
    /// No profile of this name is in force.
    UnknownProfile "unknown_profile" 404 "no such profile is in force" Retry::Never;
    /// The caller took too long to send the request.
    SlowCaller "slow_caller" 408 "the request did not arrive in time" AFTER_100_MS;
    /// The request is larger than the settings allow.
    TooLarge "too_large" 413 "the request is too large" Retry::Never;
    /// Too many requests are open at this VM.
    TooManyOpen "too_many_open" 503 "too many requests are open at this VM" AFTER_100_MS;
    /// The profile has reached its concurrency limit at this VM.
    ProfileLimit "profile_limit" 429 "the concurrency of the profile is used up" AFTER_100_MS;
    /// The request cannot finish before its deadline and was not started.
    Overloaded "overloaded" 503 "the request cannot finish in time" AFTER_100_MS;
    /// No VM or target is available for the request.
    Unavailable "unavailable" 503 "no target can take the request" AFTER_1_S;
    /// This VM is starting or leaving.
    NotReady "not_ready" 503 "this VM is not taking requests" AFTER_100_MS;
    /// The deadline passed before the answer reached the required coverage.
    DeadlinePassed "deadline_passed" 504 "the deadline passed" AFTER_100_MS;
    /// The answer covers less of the index than its profile requires.
    CoverageTooLow "coverage_too_low" 503 "too little of the index answered" AFTER_100_MS;
    /// The request crashed targets and is in quarantine.
    Quarantined "quarantined" 422 "the request crashed targets and is held back" AFTER_60_S;
    /// The idempotency key is older than the window for which claims are kept.
    KeyExpired "key_expired" 409 "the idempotency key is too old" Retry::Never;
    /// The idempotency key was used with another request.
    KeyReused "key_reused" 422 "the idempotency key belongs to another request" Retry::Never;
    /// The idempotency key was claimed earlier, and the outcome is not known.
    OutcomeUnknown "outcome_unknown" 409 "an earlier run has no known outcome" AFTER_1_S;
    /// It is not known whether the claim was written, so the operation was not run.
    ClaimUnsettled "claim_unsettled" 503 "the claim could not be settled" AFTER_1_S;
    /// The time slot of the idempotency key has reached its limit of claims.
    ClaimFull "claim_full" 503 "too many operations in this time slot" AFTER_1_S;
    /// The target failed after it had received the request.
    TargetFailed "target_failed" 502 "the target failed" AFTER_1_S;
    /// Another publication came first.
    RevisionConflict "revision_conflict" 412 "another revision is in force" Retry::Never;
    /// It is not known whether the publication took effect.
    RevisionUnsettled "revision_unsettled" 504 "the publication is not settled" AFTER_1_S;
    /// The platform's service cannot be reached.
    StoreUnavailable "store_unavailable" 503 "the platform's service is unavailable" AFTER_1_S;
    /// A bug in this program.
    Internal "internal" 500 "internal error" AFTER_1_S;
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    pub kind: Kind,
    /// Whether a target ran any part of the request.
    pub ran: Ran,
    /// A human-readable text that names the input at fault.
    pub detail: String,
}

impl Fault {
    /// Creates the refusal of a request of which no part ran.
    pub fn not_run(kind: Kind, detail: impl Into<String>) -> Fault {
        Fault { kind, ran: Ran::No, detail: detail.into() }
    }

    /// Creates the refusal of a request that may have run.
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
