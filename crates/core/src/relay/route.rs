//! The routes of one version of the configuration.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::name::Name;

/// A version of the configuration, which is immutable.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// The version number; a greater one is newer.
    pub version: u64,
    /// The routes of each host, sorted by the length of their prefix, longest first.
    pub hosts: BTreeMap<Arc<str>, Vec<Arc<Route>>>,
    /// The services that routes may name.
    pub services: BTreeMap<Name, Service>,
    /// The limits for requests of callers.
    pub bounds: Bounds,
}

/// A group of interchangeable targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Service {
    /// The number of connections that each target accepts from all VMs together.
    pub connections: u32,
}

/// The limits for the requests and connections of callers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Bounds {
    /// The largest request head, in bytes.
    pub head: usize,
    /// The largest request body, in bytes.
    pub body: usize,
    /// The time within which the head must arrive.
    pub head_time: Duration,
    /// The time for which a connection may be idle.
    pub idle: Duration,
}

/// Where the requests under a path prefix go, and what holds for them.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name, for logs and as the key of the statistics of the route.
    pub name: Name,
    /// The prefix of the paths that the route applies to.
    pub prefix: Arc<str>,
    /// Whether targets may run a request more than once.
    pub idempotent: bool,
    /// The longest time until a caller is answered.
    pub timeout: Duration,
    /// The time within which an answer has its full value.
    pub goal: Duration,
    /// The priority of the requests; zero is served first.
    pub priority: u32,
    /// The number of targets of a service that a request may be sent to.
    pub attempts: u32,
    pub plan: Plan,
}

/// Where the requests of a route go.
#[derive(Clone, Debug, PartialEq)]
pub enum Plan {
    /// To one target of a service.
    Single(Name),
    /// To one target of one of several services, chosen by weight.
    Split(Vec<WeightedService>),
    /// To one target of each shard.
    Gather(Gather),
}

/// A service with its share of the requests of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    pub service: Name,
    /// The share, relative to the other services of the route.
    pub weight: f64,
}

/// A search over shards.
#[derive(Clone, Debug, PartialEq)]
pub struct Gather {
    /// The service of each shard.
    pub shards: Vec<Name>,
    /// The largest number of records in an answer.
    pub top_k: usize,
    /// The share of the shards, from 0 to 1, that an answer needs at least.
    pub min_coverage: f64,
}

impl Config {
    /// Returns the route of `host` with the longest prefix that `path` starts with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host)?;
        routes.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// Groups routes by host and sorts those of a host by the length of their prefix,
    /// longest first.
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
    /// Returns the number of parts that an answer needs, at least one if there are
    /// shards.
    pub fn min_parts(&self) -> usize {
        let shards = self.shards.len();
        // The product may exceed a whole number by a rounding error, which `ceil` would
        // round up.
        let parts = (self.min_coverage * shards as f64 - 1e-9).ceil().max(1.0);
        (parts as usize).min(shards)
    }
}

impl Route {
    /// Returns the services that requests of the route may go to.
    pub fn services(&self) -> Vec<&Name> {
        match &self.plan {
            Plan::Single(service) => vec![service],
            Plan::Split(parts) => parts.iter().map(|part| &part.service).collect(),
            Plan::Gather(gather) => gather.shards.iter().collect(),
        }
    }
}
