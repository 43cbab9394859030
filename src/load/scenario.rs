//! The scenario of a measurement: services and the sizes of their targets.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use laburnum_core::name::Name;
use serde::Deserialize;
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

use super::Error;
use crate::{local, standin::target::settings::Raw};

/// The scenario, as TOML, that is used if no file is given.
pub const DEFAULT_TOML: &str = include_str!("../../deploy/load-umgeni.toml");

/// The number of rows of each index; small, so that the cost of slots is measured
/// and not that of rows.
const ROWS_PER_INDEX: u64 = 200;

/// The size of a deployment and its services.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The number of VMs.
    pub vms: u32,
    /// The services; each has an index and a profile of the same name.
    pub services: Vec<Service>,
}

/// A service: an index, its targets and its profile.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the index and of the profile.
    pub index: Name,
    /// The number of shards; each query reads all of them.
    pub shards: u32,
    /// The number of targets of each shard.
    pub replicas: u32,
    /// The number of requests that a target runs at a time.
    pub slots: u32,
    /// The number of connections that a target accepts.
    pub connections: u32,
    /// The delay of the first answer on a new connection.
    #[serde(rename = "connection_cost_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub connection_cost: Duration,
    /// The median service time of a target.
    #[serde(rename = "service_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub service: Duration,
    /// The standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// The lowest coverage of an answer, in parts per million.
    pub coverage_ppm: u32,
    /// The time within which a query must be answered.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// The latency goal that hedging aims at.
    #[serde(rename = "tail_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub tail: Duration,
    /// The attempts allowed beyond the first, in parts per million of first attempts.
    pub extra_load_ppm: u32,
    /// The share of the slots relative to other profiles under overload.
    pub priority: u32,
    /// Whether a new search is tried on one shard before it goes to all.
    pub canary: bool,
}

impl TryFrom<&str> for Scenario {
    type Error = Report<Error>;

    fn try_from(text: &str) -> Result<Scenario, Report<Error>> {
        let scenario: Scenario =
            toml::from_str(text).change_context_lazy(|| Error::new("the scenario is invalid"))?;
        let is_sized = scenario.vms > 0
            && !scenario.services.is_empty()
            && scenario.services.iter().all(|s| s.shards > 0 && s.replicas > 0 && s.slots > 0);
        if !is_sized {
            return Err(Report::new(Error::new("vms, shards, replicas and slots must be above 0")));
        }
        Ok(scenario)
    }
}

impl Service {
    /// The queries per second that keep every slot of each shard busy.
    pub fn capacity(&self) -> f64 {
        let mean = self.service.as_secs_f64() * (self.spread * self.spread / 2.0).exp();
        f64::from(self.replicas * self.slots) / mean
    }

    /// The index of the service, for a local deployment.
    pub fn index(&self) -> local::Index {
        let target = Raw {
            rows: ROWS_PER_INDEX,
            slots: self.slots,
            connections: self.connections,
            connection_cost: self.connection_cost,
            service: self.service,
            spread: self.spread,
            ..Raw::default()
        };
        local::Index {
            name: self.index.clone(),
            shards: self.shards,
            replicas: self.replicas,
            target,
        }
    }

    /// The profile of the service, as JSON to publish.
    pub fn profile(&self) -> serde_json::Value {
        serde_json::json!({
            "team": "local",
            "index": self.index.as_str(),
            "coverage_ppm": self.coverage_ppm,
            "deadline_ms": self.deadline.as_millis() as u64,
            "tail_ms": self.tail.as_millis() as u64,
            "extra_load_ppm": self.extra_load_ppm,
            "concurrency": 1000,
            "priority": self.priority,
            "canary": self.canary,
        })
    }
}
