//! The part of a request that goes to one service.

use std::{collections::BTreeSet, sync::Arc};

use crate::{
    name::Name,
    relay::{
        self,
        message::{Call, Reply},
    },
    time::Instant,
};

/// The id of a leg: its request and its index in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    pub call: Call,
    /// The index of the service in the plan.
    pub index: u32,
}

/// The position of a leg in the queue of its service: by priority, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// The priority of its route; zero is served first.
    pub priority: u32,
    /// When its request arrived.
    pub arrived: Instant,
    pub key: Key,
}

/// The state of a leg.
#[derive(Clone, Debug)]
pub enum State {
    /// Waits for a target or for a reply.
    Open,
    /// Answered by a target.
    Done(Arc<Reply>),
    /// Can no longer get a reply.
    Failed,
}

/// What is known about whether targets ran a leg.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// The number of attempts that reached a target, including refused ones.
    pub arrived: u32,
    pub may_have_run: bool,
}

/// The part of a request that goes to one service.
#[derive(Clone, Debug)]
pub struct Leg {
    pub service: Name,
    pub state: State,
    /// The attempts in flight.
    pub attempts: BTreeSet<relay::Attempt>,
    /// The targets that the leg was sent to.
    pub tried: BTreeSet<Name>,
    pub runs: Runs,
    /// Whether the leg is queued for a connection.
    pub queued: bool,
    /// When the next hedge is due.
    pub hedge_at: Option<Instant>,
    /// The last failure reply, forwarded to the caller if no attempt succeeds.
    pub failure: Option<Arc<Reply>>,
}

impl Leg {
    /// Creates a leg without attempts.
    pub fn new(service: Name) -> Leg {
        Leg {
            service,
            state: State::Open,
            attempts: BTreeSet::new(),
            tried: BTreeSet::new(),
            runs: Runs::default(),
            queued: false,
            hedge_at: None,
            failure: None,
        }
    }

    /// Returns whether the leg waits for a target or for a reply.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }
}
