//! The deployment under measurement: its start, its faults and its counters.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use error_stack::{Report, ResultExt};
use reqwest::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{Error, driver::Entries, scenario::Scenario, scheme::Scheme};
use crate::{
    local::{self, Caller, Deployment, Plan, place},
    standin::target::table,
};

/// The threads that the targets share.
const HOSTS: usize = 4;

/// The time within which a deployment must take requests.
const START_LIMIT: Duration = Duration::from_secs(20);

/// The time between two looks at whether the profiles are in force.
const LOOK: Duration = Duration::from_millis(100);

/// The time for which a VM that leaves is still sent requests.
const BALANCER_LAG: Duration = Duration::from_millis(500);

/// A deployment with a caller.
pub struct Bed {
    /// The deployment.
    pub deployment: Deployment,
    /// The caller of its administration.
    pub caller: Caller,
    /// The VMs that take queries.
    pub entries: Entries,
    /// The number of the VM that was started last.
    last_vm: u32,
}

/// What all parts of a deployment have counted.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// The counts of the targets, by index.
    pub targets: BTreeMap<String, Vec<table::Counts>>,
    /// The counters of all VMs, summed up by series.
    pub vms: BTreeMap<String, f64>,
    /// The calls that the platform took.
    pub platform: u64,
}

impl Counters {
    /// The requests that arrived at the targets of an index.
    pub fn attempts(&self, index: &str) -> u64 {
        self.targets.get(index).into_iter().flatten().map(|counts| counts.attempts).sum()
    }

    /// The most connections that any target of an index had at a time.
    pub fn connections(&self, index: &str) -> u32 {
        let counts = self.targets.get(index).into_iter().flatten();
        counts.map(|counts| counts.connections_highest).max().unwrap_or_default()
    }

    /// The counter of all VMs with this name, over all of its reasons.
    pub fn vm(&self, name: &str) -> f64 {
        let prefix = format!("laburnum_{name}_total");
        let is_series = |series: &&String| {
            series
                .strip_prefix(&prefix)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('{'))
        };
        self.vms.keys().filter(is_series).filter_map(|series| self.vms.get(series)).sum()
    }
}

impl Bed {
    /// Starts a deployment and waits until its profiles are in force.
    pub async fn start(scenario: &Scenario, scheme: &Scheme) -> Result<Bed, Report<Error>> {
        let plan = Plan {
            vms: scenario.vms,
            indexes: scenario.services.iter().map(super::scenario::Service::index).collect(),
            hosts: HOSTS,
            policies: scheme.policies,
        };
        let failed = || Error::new("the deployment did not start");
        let deployment = local::start(&plan).change_context_lazy(failed)?;
        let caller = Caller::new().change_context_lazy(failed)?;
        let callers = deployment.vms.iter().map(|(place, _)| place.callers).collect();
        let entries = Entries::new(callers);
        let bed = Bed { deployment, caller, entries, last_vm: scenario.vms };
        if !bed.deployment.ready(START_LIMIT).await {
            return Err(Report::new(Error::new("the VMs are not ready after 20 s")));
        }
        bed.publish(scenario).await?;
        Ok(bed)
    }

    async fn publish(&self, scenario: &Scenario) -> Result<(), Report<Error>> {
        let profiles: serde_json::Map<String, Value> =
            scenario.services.iter().map(|s| (s.index.to_string(), s.profile())).collect();
        let Some((place, _)) = self.deployment.vms.first() else { return Ok(()) };
        let published = self
            .caller
            .publish(place.operators, &Value::Object(profiles))
            .await
            .change_context_lazy(|| Error::new("the profiles were not published"))?;
        if !published.status.is_success() {
            let detail = format!("the profiles were refused: {}", published.body);
            return Err(Report::new(Error::new(detail)));
        }
        let limit = Instant::now() + START_LIMIT;
        while !self.is_in_force(scenario).await {
            if Instant::now() > limit {
                return Err(Report::new(Error::new("a VM does not answer after 20 s")));
            }
            sleep(LOOK).await;
        }
        Ok(())
    }

    async fn is_in_force(&self, scenario: &Scenario) -> bool {
        for (place, _) in &self.deployment.vms {
            for service in &scenario.services {
                let reply = self.caller.search(place.callers, service.index.as_str(), "none").await;
                if !reply.is_ok_and(|reply| reply.status.is_success()) {
                    return false;
                }
            }
        }
        true
    }

    /// Switches the faults of the targets of an index with these numbers.
    pub async fn set_faults(
        &self,
        index: &str,
        numbers: impl Fn(usize) -> bool,
        faults: &Value,
    ) -> Result<(), Report<Error>> {
        let own = self.deployment.targets.iter().filter(|t| t.listed.index.as_str() == index);
        for (_, target) in own.enumerate().filter(|(number, _)| numbers(*number)) {
            self.caller
                .send(Method::PUT, target.admin, "/v1/faults", &[], faults)
                .await
                .change_context_lazy(|| Error::new("a fault could not be switched"))?;
        }
        Ok(())
    }

    /// Reads every counter.
    pub async fn counters(&self) -> Result<Counters, Report<Error>> {
        let mut counters = Counters::default();
        for target in &self.deployment.targets {
            let body = self.read(target.admin, "/v1/counts").await?;
            let counts = serde_json::from_value(body)
                .change_context_lazy(|| Error::new("the counts of a target cannot be read"))?;
            let index = target.listed.index.to_string();
            counters.targets.entry(index).or_default().push(counts);
        }
        for (place, _) in &self.deployment.vms {
            self.add_metrics(place.operators, &mut counters).await?;
        }
        let calls = self.read(self.deployment.platform, "/v1/calls").await?;
        counters.platform = sum(&calls);
        Ok(counters)
    }

    async fn add_metrics(
        &self,
        address: SocketAddr,
        counters: &mut Counters,
    ) -> Result<(), Report<Error>> {
        let text = self
            .caller
            .text(address, "/metrics")
            .await
            .change_context_lazy(|| Error::new("the metrics of a VM cannot be read"))?;
        for line in text.lines().filter(|line| !line.starts_with('#')) {
            if let Some((series, value)) = line.rsplit_once(' ')
                && series.contains("_total")
                && let Ok(value) = value.parse::<f64>()
            {
                *counters.vms.entry(series.to_owned()).or_default() += value;
            }
        }
        Ok(())
    }

    async fn read(&self, address: SocketAddr, path: &str) -> Result<Value, Report<Error>> {
        let reply = self
            .caller
            .read(address, path)
            .await
            .change_context_lazy(|| Error::new(format!("{path} cannot be read")))?;
        Ok(reply.body)
    }

    /// Lets a VM leave and starts a new one in its place.
    pub async fn replace_vm(&mut self) -> Result<(), Report<Error>> {
        let failed = || Error::new("a VM could not be replaced");
        if self.deployment.vms.is_empty() {
            return Ok(());
        }
        let (old, vm) = self.deployment.vms.remove(0);
        // Nobody waits for the one that leaves; the queries tell if one is cut.
        drop(local::leave(vm));
        self.last_vm += 1;
        let place = place::free(self.last_vm).change_context_lazy(failed)?;
        let path = format!("/v1/list/vms/{}", place.name);
        let row = serde_json::to_value(place.row()).change_context_lazy(failed)?;
        self.change_list(Method::PUT, &path, &row).await?;
        let new = local::start_vm(&place, self.deployment.platform, self.deployment.policies)
            .change_context_lazy(failed)?;
        sleep(BALANCER_LAG).await;
        self.entries.remove(old.callers);
        self.change_list(Method::DELETE, &format!("/v1/list/vms/{}", old.name), &Value::Null)
            .await?;
        if new.ready(START_LIMIT).await {
            self.entries.add(place.callers);
        }
        self.deployment.vms.push((place, new));
        Ok(())
    }

    async fn change_list(
        &self,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<(), Report<Error>> {
        self.caller
            .send(method, self.deployment.platform, path, &[], body)
            .await
            .change_context_lazy(|| Error::new("the list could not be changed"))?;
        Ok(())
    }
}

/// A fault that crashes a target with its next request, for good.
pub fn lost() -> Value {
    json!({ "crash": { "mark": "", "moment": "start", "down_ms": 3_600_000 } })
}

fn sum(value: &Value) -> u64 {
    match value {
        Value::Number(number) => number.as_u64().unwrap_or_default(),
        Value::Object(members) => members.values().map(sum).sum(),
        Value::Array(items) => items.iter().map(sum).sum(),
        _ => 0,
    }
}
