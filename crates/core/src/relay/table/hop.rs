//! Requests on their way between VMs.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use crate::{
    name::Name,
    relay::message::{Call, CallerRequest},
    time::Instant,
};

/// A request that was handed to another VM.
#[derive(Clone, Debug)]
pub struct HandedRequest {
    /// The VM.
    pub to: Name,
    /// The request.
    pub caller_request: Arc<CallerRequest>,
    /// When it came.
    pub arrived: Instant,
    /// When it ends.
    pub deadline: Instant,
}

/// A request that another VM handed to this one.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    /// The VM.
    pub from: Name,
    /// Where that VM takes the answer.
    pub reply_to: SocketAddr,
    /// The id of the request there.
    pub call: Call,
}

/// A VM that requests are handed to.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// The requests that it has not answered, with the time of each.
    pub open: BTreeSet<(Instant, Call)>,
    /// When it may be asked again after a loss.
    pub pause_until: Instant,
    /// When it last said something.
    pub heard: Instant,
    /// Whether it said that it does not hear from the store.
    pub is_stale: bool,
}

/// A VM that handed requests to this one.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// Where it takes answers.
    pub reply_to: SocketAddr,
    /// When it last asked.
    pub last_request: Instant,
}
