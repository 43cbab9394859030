//! Messages between the control thread and the traffic threads of one VM.

use std::sync::Arc;

use crate::{
    claim,
    digest::Fingerprint,
    id::{self, Origin},
    name::Name,
    time::Instant,
    view::View,
};

/// A message from a traffic thread to the control thread.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Report {
    /// Requests the claim of an operation. [`Notice::Claimed`] answers it before
    /// `deadline`; otherwise the claim counts as unsettled. The deadline is a
    /// point in time because the threads of a VM share one clock; a remaining
    /// time would be extended by a pause before the report is read.
    Claim { operation: id::Query, request: claim::Request, deadline: Instant },
    /// The outcome of an operation whose claim was granted, to be recorded.
    Outcome { request: claim::Request, outcome: claim::Outcome },
    /// A target was lost while it ran a request with this fingerprint. It is
    /// reported once for each target of a request.
    Suspect { fingerprint: Fingerprint, query: id::Query, target: Name },
    /// Two targets were lost while they ran requests with this fingerprint,
    /// which goes into quarantine.
    Quarantined { fingerprint: Fingerprint, origin: Origin },
    /// A target reported that it is draining, in this incarnation.
    Draining { target: Name, incarnation: u64 },
    /// A target reported that it accepts work, in this incarnation. It is
    /// reported once for each incarnation that the thread learns of.
    Serving { target: Name, incarnation: u64 },
    /// A VM did not accept messages or did not answer in time.
    Unreachable { vm: Name },
    /// The number of requests and legs that the thread has in flight, sent while
    /// the VM is leaving.
    InFlight { count: usize },
}

/// A message from the control thread to a traffic thread.
#[derive(Clone, Debug)]
pub enum Notice {
    /// Replaces the view of the traffic thread.
    View(Arc<View>),
    /// The answer to [`Report::Claim`].
    Claimed { operation: id::Query, verdict: claim::Verdict },
}
