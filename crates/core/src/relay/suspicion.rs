//! What VMs tell each other about requests that may crash targets.
//!
//! Callers repeat a request at any VM, so that each VM may see only one of the targets that
//! it crashes. See `docs/design/platform.md`, "Requests that crash targets".

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{digest::Fingerprint, name::Name};

/// A request that a VM quarantines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Quarantine {
    pub request: Fingerprint,
    /// How long the request is refused.
    pub hold: Duration,
}

/// What one VM found out about a request. It states ages, as VMs have no common clock.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Suspicion {
    /// A target went down while it ran the request.
    Lost {
        request: Fingerprint,
        target: Name,
        /// How long ago the request was sent to the target.
        sent: Duration,
        /// How long ago the connection to the target was lost.
        lost: Duration,
    },
    /// A target answered the request, so that it does not crash targets.
    Cleared { request: Fingerprint },
}
