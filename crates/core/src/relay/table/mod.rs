//! The tables of a traffic thread that forwards requests.

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

/// All tables of a thread.
#[derive(Debug, Default)]
pub struct Tables {
    /// The newest view from the control thread.
    pub view: Arc<View>,
    /// The requests that have not been answered.
    pub requests: BTreeMap<Call, Request>,
    /// The legs of the requests in `requests`.
    pub legs: BTreeMap<leg::Key, Leg>,
    /// The attempts that a connection carries, including those whose leg is gone.
    pub attempts: BTreeMap<super::Attempt, Attempt>,
    /// The targets that are registered or still carry an attempt.
    pub targets: BTreeMap<Name, Target>,
    /// The targets of each service that may get new work.
    pub services: BTreeMap<Name, BTreeSet<Name>>,
    pub connections: BTreeMap<super::Connection, Connection>,
    /// The legs of each service that wait for a connection, in queue order.
    pub waiting: BTreeMap<Name, BTreeSet<leg::QueuePosition>>,
    /// The retry budget of each service.
    pub budgets: BTreeMap<Name, Budget>,
    /// The attempt latencies and caller timeouts of each route.
    pub route_stats: BTreeMap<Name, RouteStats>,
    /// The weighted round robin of each route that is split over services.
    pub round_robins: BTreeMap<Name, RoundRobin>,
    /// The requests that this VM handed to another one.
    pub handed: BTreeMap<Call, hop::HandedRequest>,
    /// The requests that other VMs handed to this one.
    pub accepted: BTreeMap<Call, hop::AcceptedRequest>,
    /// The VMs that recently handed requests to this one.
    pub senders: BTreeMap<Name, hop::Sender>,
    /// The VMs that this one hands requests to.
    pub links: BTreeMap<Name, hop::Link>,
    /// The starts of targets that other VMs reported as leaving, with the time of the
    /// report.
    pub leaving: BTreeMap<(Name, u64), Instant>,
    /// The requests suspected of crashing targets.
    pub suspects: Suspects,
    /// The newest version of the routes by which callers of this VM were served. None is
    /// served by an older one afterwards.
    pub served_version: u64,
    /// When every request is to be answered, if the VM shuts down.
    pub stop_at: Option<Instant>,
    /// Whether a request was open at the end of the shutdown.
    pub is_cut_short: bool,
    /// The time of the first tick.
    pub started: Instant,
    pub timers: Timers<Timer>,
    /// The requests with a leg that changed in this tick.
    pub changed: BTreeSet<Call>,
    last_id: u64,
}

impl Tables {
    /// Returns an id that was not used before in this thread.
    pub fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    /// Returns the budget of a service, created on first use.
    pub fn budget(&mut self, service: &Name) -> &mut Budget {
        self.budgets.entry(service.clone()).or_default()
    }

    /// Returns the statistics of a route, created on first use.
    pub fn stats_of(&mut self, route: &Name) -> &mut RouteStats {
        self.route_stats.entry(route.clone()).or_default()
    }
}
