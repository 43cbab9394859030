//! Requests that VMs hand to each other, and the VMs at the other end.

use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

use crate::{
    name::Name,
    relay::{
        hop,
        message::{Call, CallerRequest},
    },
    time::Instant,
};

/// A request that was handed to another VM.
#[derive(Clone, Debug)]
pub struct HandedRequest {
    pub to: Name,
    pub caller_request: Arc<CallerRequest>,
    /// When this VM handed the request over.
    pub arrived: Instant,
    pub deadline: Instant,
}

/// A request that another VM handed to this one.
#[derive(Clone, Debug)]
pub struct AcceptedRequest {
    pub from: Name,
    /// The address at which that VM takes the answer.
    pub reply_to: SocketAddr,
    /// The id of the request that the answer repeats.
    pub id: hop::Id,
}

/// A VM that requests are handed to.
#[derive(Clone, Debug, Default)]
pub struct Link {
    /// The requests that it has not answered, with the time each was handed over.
    pub open: BTreeSet<(Instant, Call)>,
    /// When requests may be handed to it again after a loss.
    pub pause_until: Instant,
    /// Whether its connection was lost and no message from it has arrived since.
    pub is_lost: bool,
    /// When the last message from it arrived.
    pub last_received: Instant,
    /// Until when it shuts down, if it said so; its process ends by then.
    pub stops_until: Instant,
    /// Whether it reported that the store does not answer it.
    pub is_stale: bool,
    /// The version of its routes, as it reported last.
    pub version: Option<u64>,
    /// Whether a timer is set that checks it.
    pub is_checked: bool,
}

/// A VM that handed requests to this one.
#[derive(Clone, Copy, Debug)]
pub struct Sender {
    /// The address at which it takes answers.
    pub reply_to: SocketAddr,
    /// When it last handed over a request.
    pub last_request: Instant,
}
