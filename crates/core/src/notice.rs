//! What the control thread and the traffic threads of one VM tell each other.

use std::sync::Arc;

use crate::{
    claim,
    digest::Fingerprint,
    id::{self, Origin},
    name::Name,
    time::Instant,
    view::View,
};

/// A small report of a traffic thread to the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// An operation asks for the right to run. It is answered by
    /// [`Notice::Claimed`] until `deadline`, or counts as unsettled. The threads
    /// of a VM share one clock, and a time that remains would be extended by a
    /// pause before the report is taken.
    Claim { operation: id::Query, request: claim::Request, deadline: Instant },
    /// A claim that was granted has this outcome, to be recorded.
    Outcome { request: claim::Request, outcome: claim::Outcome },
    /// A target was lost while it ran a request with this fingerprint. The
    /// report is made once for each target of a request.
    Suspect { fingerprint: Fingerprint, query: id::Query, target: Name },
    /// A request with this fingerprint was lost with two targets and is held
    /// back from now on.
    Quarantined { fingerprint: Fingerprint, origin: Origin },
    /// A target said itself that it is leaving, in this incarnation.
    Draining { target: Name, incarnation: u64 },
    /// A target said itself that it takes work, in this incarnation. The report
    /// is made once for each incarnation that the thread learns of.
    Serving { target: Name, incarnation: u64 },
    /// A VM did not take messages or did not answer in time.
    Unreachable { vm: Name },
    /// The number of requests and legs that the thread still has in flight,
    /// sent while the VM is leaving.
    InFlight { count: usize },
}

/// What the control thread tells a traffic thread.
#[derive(Clone, Debug)]
pub enum Notice {
    /// A new view is in force.
    View(Arc<View>),
    /// The answer to [`Report::Claim`].
    Claimed { operation: id::Query, verdict: claim::Verdict },
}
