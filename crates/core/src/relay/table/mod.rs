//! The rows of a traffic thread that forwards requests.

pub mod attempt;
pub mod budget;
pub mod connection;
pub mod hop;
pub mod leg;
pub mod route_stats;
pub mod request;
pub mod suspect;
pub mod target;
pub mod timer;
pub mod round_robin;

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
};

use self::{
    attempt::Attempt, budget::Budget, connection::Connection, leg::Leg, request::Request,
    round_robin::RoundRobin, route_stats::RouteStats, suspect::Suspects, target::Target,
    timer::Timer,
};
use super::{message::Call, view::View};
use crate::{name::Name, time::Instant, timer::Timers};

/// All rows of a thread.
#[derive(Debug, Default)]
pub struct Tables {
    /// The newest view of the control thread.
    pub view: Arc<View>,
    /// The requests that wait for an answer.
    pub requests: BTreeMap<Call, Request>,
    /// The legs of these requests.
    pub legs: BTreeMap<leg::Key, Leg>,
    /// The attempts that a connection carries, also those whose leg is gone.
    pub attempts: BTreeMap<super::Attempt, Attempt>,
    /// The targets that are registered or still carry an attempt.
    pub targets: BTreeMap<Name, Target>,
    /// The targets of each service that may get new work.
    pub services: BTreeMap<Name, BTreeSet<Name>>,
    /// The connections to targets.
    pub connections: BTreeMap<super::Connection, Connection>,
    /// The legs of each service that wait for a connection, in their order.
    pub waiting: BTreeMap<Name, BTreeSet<leg::QueuePosition>>,
    /// What each service was sent lately.
    pub budgets: BTreeMap<Name, Budget>,
    /// How long the legs of each route take.
    pub route_stats: BTreeMap<Name, RouteStats>,
    /// Whose turn it is in each route with several services.
    pub round_robins: BTreeMap<Name, RoundRobin>,
    /// The requests that were handed to another VM.
    pub handed: BTreeMap<Call, hop::HandedRequest>,
    /// The requests that other VMs handed to this one.
    pub accepted: BTreeMap<Call, hop::AcceptedRequest>,
    /// The VMs that handed requests to this one lately.
    pub senders: BTreeMap<Name, hop::Sender>,
    /// The VMs that requests are handed to.
    pub links: BTreeMap<Name, hop::Link>,
    /// The requests with which targets were lost.
    pub suspects: Suspects,
    /// When the first step was.
    pub started: Instant,
    /// The points in time at which a row is due.
    pub timers: Timers<Timer>,
    /// The requests that a leg of has changed in this step.
    pub changed: BTreeSet<Call>,
    last: u64,
}

impl Tables {
    /// A number that was not used before in this thread.
    pub fn next_id(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    /// The budget of a service.
    pub fn budget(&mut self, service: &Name) -> &mut Budget {
        self.budgets.entry(service.clone()).or_default()
    }

    /// The pace of a route.
    pub fn stats_of(&mut self, route: &Name) -> &mut RouteStats {
        self.route_stats.entry(route.clone()).or_default()
    }
}
