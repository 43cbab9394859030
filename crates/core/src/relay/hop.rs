//! Messages between VMs about requests that one hands to another.

use std::{net::SocketAddr, time::Duration};

use serde::{Deserialize, Serialize};

use super::message::{Answer, Call, CallerRequest};
use crate::{id::Origin, name::Name};

/// Identifies a request that one VM handed to another.
///
/// A process numbers its requests from zero, and the VM that has a request may answer
/// only after that process was killed and started again under the same name. The origin
/// keeps the requests of the two processes apart; see `docs/incidents/review-1.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Id {
    /// The start of the thread that handed the request over.
    pub origin: Origin,
    pub call: Call,
}

/// What a VM knows of the routes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Whether the store answers the VM, so that its routes are current.
    pub is_current: bool,
    /// The version of its routes, zero if it has none.
    pub version: u64,
}

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hop {
    /// A request for the receiver to answer.
    Request {
        id: Id,
        caller_request: Box<CallerRequest>,
        /// The address at which the sender takes the answer.
        reply_to: SocketAddr,
    },
    /// The answer to [`Hop::Request`].
    Answer { id: Id, answer: Answer, state: State },
    /// The routes of the sender, sent when they change and when they are asked for.
    State(State),
    /// Asks for [`Hop::State`]. A VM that works on a long request answers it at once, so
    /// that it differs from one that is gone.
    AskState {
        /// The address at which the sender takes the answer.
        reply_to: SocketAddr,
    },
    /// The sender shuts down and takes no further requests if there is another VM. Its
    /// process ends within this time.
    Stopping { ends_in: Duration },
    /// The caller disconnected and the answer is no longer needed.
    Cancel { id: Id },
    /// A target told the sender that it is leaving. The receiver may send to it itself
    /// later, and must know by then.
    Leaving {
        target: Name,
        /// The start of the target that is leaving.
        born: u64,
    },
}

/// Whether a VM that hands its requests over reaches VMs that take them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reach {
    /// A larger VM is reachable and the store answers it, or there is no larger VM.
    #[default]
    Served,
    /// Larger VMs are reachable, but the store answers none of them.
    Stale,
    /// No larger VM is reachable.
    Lost,
}
