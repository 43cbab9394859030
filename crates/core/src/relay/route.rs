//! The routes of one version of the configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::name::Name;

/// One version of the configuration, which is never changed.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version; a greater one is newer.
    pub version: u64,
    /// The routes of each host, those with the longest prefix first.
    pub hosts: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// The services that routes may name.
    pub services: BTreeMap<Name, Service>,
    /// What callers may send.
    pub bounds: Bounds,
}

/// A group of targets that answer alike.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// The connections that each target takes from all VMs together.
    pub connections: u32,
}

/// What a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bounds {
    /// The largest head of a request in bytes.
    pub head: usize,
    /// The largest body of a request in bytes.
    pub body: usize,
    /// The time for the head to arrive.
    pub head_time: Duration,
    /// The time that a connection may be idle.
    pub idle: Duration,
}

/// What an operator promises for a group of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name of the route, for logs.
    pub name: Name,
    /// The beginning of the paths of the route.
    pub prefix: Arc<str>,
    /// Whether a request may run more than once.
    pub idempotent: bool,
    /// The longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer has its full worth.
    pub goal: Duration,
    /// The rank of the requests, where zero comes first.
    pub priority: u32,
    /// The targets of a service that one request may be sent to.
    pub attempts: u32,
    /// Where requests go.
    pub plan: Plan,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// To one target of a service.
    Single(Name),
    /// To one target of one of several services, by weight.
    Split(Vec<WeightedService>),
    /// To one target of each shard.
    Gather(Gather),
}

/// A service with its share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// The service.
    pub service: Name,
    /// Its share, relative to the other parts.
    pub weight: f64,
}

/// A search over shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// The services that hold the shards.
    pub shards: Vec<Name>,
    /// The number of records in an answer.
    pub top_k: usize,
    /// The least share of the shards in an answer.
    pub min_coverage: f64,
}

impl Config {
    /// The route with the longest prefix of `path` at `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Files routes under their hosts, those with the longest prefix first.
    pub fn group_by_host(
        routes: impl Iterator<Item = (Arc<str>, Route)>,
    ) -> BTreeMap<Arc<str>, Vec<Arc<Route>>> {
        let mut hosts: BTreeMap<Arc<str>, Vec<Arc<Route>>> = BTreeMap::new();
        for (host, route) in routes {
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        hosts
    }
}

impl Gather {
    /// The parts that an answer must have.
    pub fn min_parts(&self) -> usize {
        let shards = self.shards.len();
        // A share times a count may lie a rounding error above a whole number.
        let least = (self.min_coverage * shards as f64 - 1e-9).ceil().max(1.0);
        (least as usize).min(shards)
    }
}

impl Route {
    /// The services that requests of the route may go to.
    pub fn services(&self) -> Vec<&Name> {
        match &self.plan {
            Plan::Single(service) => vec![service],
            Plan::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Plan::Gather(gather) => gather.shards.iter().collect(),
        }
    }
}
