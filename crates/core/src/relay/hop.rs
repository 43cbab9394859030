//! What VMs tell each other about requests that one hands to another.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::message::{Answer, Call, CallerRequest};

/// A message between two VMs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Hop {
    /// A request for the receiver to answer.
    Request {
        /// The id at the sender.
        call: Call,
        /// The request.
        caller_request: Box<CallerRequest>,
        /// Where the sender takes the answer.
        reply_to: SocketAddr,
    },
    /// The answer to [`Hop::Request`], and whether the sender hears from the store, so
    /// that its routes are the newest.
    Answer { call: Call, answer: Answer, is_current: bool },
    /// Whether the sender hears from the store, told when it changes.
    State { is_current: bool },
    /// The caller went away; no answer is waited for.
    Cancel { call: Call },
}
