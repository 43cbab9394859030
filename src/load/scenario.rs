//! What a measurement starts: services with the sizes of their targets.

use std::time::Duration;

use error_stack::{Report, ResultExt};
use laburnum_core::name::Name;
use serde::Deserialize;
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

use super::Error;
use crate::{local, standin::target::settings::Raw};

/// The scenario that is used when no file is given.
pub const DEFAULT_TOML: &str = include_str!("../../deploy/load-umgeni.toml");

/// The rows of each index; few, so that slots and not rows are measured.
const ROWS: u64 = 200;

/// A deployment and the services on it.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The number of VMs.
    pub vms: u32,
    /// The services; each has an index and a profile of its name.
    pub services: Vec<Service>,
}

/// An index, its targets and its profile.
#[serde_as]
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name of the index and of the profile.
    pub index: Name,
    /// The shards; each query reads all of them.
    pub shards: u32,
    /// The targets of each shard.
    pub replicas: u32,
    /// The requests that a target runs at a time.
    pub slots: u32,
    /// The connections that a target takes.
    pub connections: u32,
    /// The time that a new connection costs.
    #[serde(rename = "connection_cost_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub connection_cost: Duration,
    /// The median service time.
    #[serde(rename = "service_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub service: Duration,
    /// The standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// The least coverage of an answer.
    pub coverage_ppm: u32,
    /// The time within which an answer is given.
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// The time that hedging aims at.
    #[serde(rename = "tail_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub tail: Duration,
    /// The extra attempts allowed.
    pub extra_load_ppm: u32,
    /// The share of the slots relative to other profiles.
    pub priority: u32,
    /// Whether a new search is tried at one shard before it goes to all.
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
    /// The queries a second that keep every slot of each shard busy.
    pub fn capacity(&self) -> f64 {
        let mean = self.service.as_secs_f64() * (self.spread * self.spread / 2.0).exp();
        f64::from(self.replicas * self.slots) / mean
    }

    /// The index as a local deployment starts it.
    pub fn index(&self) -> local::Index {
        let target = Raw {
            rows: ROWS,
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

    /// The profile as it is published.
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
