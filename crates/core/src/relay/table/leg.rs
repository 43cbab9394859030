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

/// The id of a leg: its request and its place in the plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The request.
    pub call: Call,
    /// The place of the service in the plan.
    pub index: u32,
}

/// The place of a leg in the queue of its service: by priority, then by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueuePosition {
    /// The rank of its route, where zero comes first.
    pub priority: u32,
    /// When its request came.
    pub arrived: Instant,
    /// The leg.
    pub key: Key,
}

/// How far a leg is.
#[derive(Clone, Debug)]
pub enum State {
    /// It waits for a target or its reply.
    Open,
    /// A target answered it.
    Done(Arc<Reply>),
    /// It can have no reply any more.
    Failed,
}

/// What is known of the runs of a leg.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Runs {
    /// The attempts that reached a target, those that it refused among them.
    pub arrived: u32,
    /// Whether a target may have run it.
    pub may_have_run: bool,
}

/// The part of a request that goes to one service.
#[derive(Clone, Debug)]
pub struct Leg {
    /// The service.
    pub service: Name,
    /// How far it is.
    pub state: State,
    /// The attempts that are under way.
    pub attempts: BTreeSet<relay::Attempt>,
    /// The targets that it was sent to.
    pub tried: BTreeSet<Name>,
    /// What is known of its runs.
    pub runs: Runs,
    /// Whether it waits for a connection.
    pub queued: bool,
    /// When the next attempt beside a slow one is due.
    pub hedge_at: Option<Instant>,
    /// The last failure of a target, which is passed on if no success comes.
    pub failure: Option<Arc<Reply>>,
}

impl Leg {
    /// A leg that was sent nowhere yet.
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

    /// Whether it waits for a target or its reply.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open)
    }
}
