//! The deployment under measurement: starting it, injecting faults and reading
//! its counters.

use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

use error_stack::{Report, ResultExt};
use reqwest::Method;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

use super::{Error, driver::Entries, scenario::Scenario, scheme::Scheme};
use crate::{
    local::{self, Caller, Deployment, Plan, endpoints},
    standin::target::table,
};

/// The number of threads that the targets share.
const TARGET_THREADS: usize = 4;

/// The time within which a deployment must accept requests.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// The interval of the checks whether the profiles are in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The time for which a leaving VM still gets requests, as from a load balancer
/// that removes it late.
const BALANCER_LAG: Duration = Duration::from_millis(500);

/// A deployment in this process and a client for it.
pub struct Testbed {
    pub deployment: Deployment,
    /// The HTTP client for queries and administration.
    pub caller: Caller,
    /// The VMs that get queries.
    pub entries: Entries,
    /// The number of the most recently started VM.
    last_vm: u32,
}

/// The counters of all parts of a deployment.
#[derive(Clone, Debug, Default)]
pub struct Counters {
    /// The counts of each target, by index.
    pub targets: BTreeMap<String, Vec<table::Counts>>,
    /// The counters of the VMs, summed over all VMs for each series.
    pub vms: BTreeMap<String, f64>,
    /// The number of calls to the platform.
    pub platform_calls: u64,
}

impl Counters {
    /// The number of requests that arrived at the targets of an index.
    pub fn attempts(&self, index: &str) -> u64 {
        self.targets.get(index).into_iter().flatten().map(|counts| counts.attempts).sum()
    }

    /// The highest number of simultaneous connections to any target of an index.
    pub fn max_connections(&self, index: &str) -> u32 {
        let counts = self.targets.get(index).into_iter().flatten();
        counts.map(|counts| counts.connections_highest).max().unwrap_or_default()
    }

    /// The sum of a counter over all VMs and all values of its labels.
    pub fn vm_total(&self, name: &str) -> f64 {
        let prefix = format!("laburnum_{name}_total");
        let is_series = |series: &&String| {
            series
                .strip_prefix(&prefix)
                .is_some_and(|rest| rest.is_empty() || rest.starts_with('{'))
        };
        self.vms.keys().filter(is_series).filter_map(|series| self.vms.get(series)).sum()
    }
}

impl Testbed {
    /// Starts a deployment and waits until its profiles are in force.
    pub async fn start(scenario: &Scenario, scheme: &Scheme) -> Result<Testbed, Report<Error>> {
        let plan = Plan {
            vms: scenario.vms,
            indexes: scenario.services.iter().map(super::scenario::Service::index).collect(),
            target_threads: TARGET_THREADS,
            policies: scheme.policies,
        };
        let failed = || Error::new("the deployment did not start");
        let deployment = local::start(&plan).change_context_lazy(failed)?;
        let caller = Caller::new().change_context_lazy(failed)?;
        let callers = deployment.vms.iter().map(|(endpoints, _)| endpoints.callers).collect();
        let entries = Entries::new(callers);
        let testbed = Testbed { deployment, caller, entries, last_vm: scenario.vms };
        if !testbed.deployment.ready(START_TIMEOUT).await {
            return Err(Report::new(Error::new("the VMs are not ready after 20 s")));
        }
        testbed.publish(scenario).await?;
        Ok(testbed)
    }

    async fn publish(&self, scenario: &Scenario) -> Result<(), Report<Error>> {
        let profiles: serde_json::Map<String, Value> =
            scenario.services.iter().map(|s| (s.index.to_string(), s.profile())).collect();
        let Some((endpoints, _)) = self.deployment.vms.first() else { return Ok(()) };
        let published = self
            .caller
            .publish(endpoints.operators, &Value::Object(profiles))
            .await
            .change_context_lazy(|| Error::new("the profiles were not published"))?;
        if !published.status.is_success() {
            let detail = format!("the profiles were refused: {}", published.body);
            return Err(Report::new(Error::new(detail)));
        }
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.are_profiles_in_force(scenario).await {
            if Instant::now() > deadline {
                return Err(Report::new(Error::new(
                    "a VM does not answer queries 20 s after the profiles were published",
                )));
            }
            sleep(POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn are_profiles_in_force(&self, scenario: &Scenario) -> bool {
        for (endpoints, _) in &self.deployment.vms {
            for service in &scenario.services {
                let reply =
                    self.caller.search(endpoints.callers, service.index.as_str(), "none").await;
                if !reply.is_ok_and(|reply| reply.status.is_success()) {
                    return false;
                }
            }
        }
        true
    }

    /// Replaces the faults of those targets of an index whose number is selected.
    pub async fn set_faults(
        &self,
        index: &str,
        is_selected: impl Fn(usize) -> bool,
        faults: &Value,
    ) -> Result<(), Report<Error>> {
        let targets = self.deployment.targets.iter().filter(|t| t.listed.index.as_str() == index);
        for (_, target) in targets.enumerate().filter(|(number, _)| is_selected(*number)) {
            self.caller
                .send(Method::PUT, target.admin, "/v1/faults", &[], faults)
                .await
                .change_context_lazy(|| Error::new("the faults of a target could not be set"))?;
        }
        Ok(())
    }

    /// Reads the counters of all targets, all VMs and the platform.
    pub async fn counters(&self) -> Result<Counters, Report<Error>> {
        let mut counters = Counters::default();
        for target in &self.deployment.targets {
            let body = self.read(target.admin, "/v1/counts").await?;
            let counts = serde_json::from_value(body)
                .change_context_lazy(|| Error::new("the counts of a target cannot be read"))?;
            let index = target.listed.index.to_string();
            counters.targets.entry(index).or_default().push(counts);
        }
        for (endpoints, _) in &self.deployment.vms {
            self.add_metrics(endpoints.operators, &mut counters).await?;
        }
        let calls = self.read(self.deployment.platform, "/v1/calls").await?;
        counters.platform_calls = sum_numbers(&calls);
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

    /// Makes the oldest VM leave and starts a new one in its place.
    pub async fn replace_vm(&mut self) -> Result<(), Report<Error>> {
        let failed = || Error::new("a VM could not be replaced");
        if self.deployment.vms.is_empty() {
            return Ok(());
        }
        let (old_endpoints, old_vm) = self.deployment.vms.remove(0);
        // The end of the old VM is not awaited: a query that it cuts off shows up in
        // the samples.
        drop(local::leave(old_vm));
        self.last_vm += 1;
        let endpoints = endpoints::allocate(self.last_vm).change_context_lazy(failed)?;
        let path = format!("/v1/list/vms/{}", endpoints.name);
        let row = serde_json::to_value(endpoints.list_entry()).change_context_lazy(failed)?;
        self.change_list(Method::PUT, &path, &row).await?;
        let new_vm =
            local::start_vm(&endpoints, self.deployment.platform, self.deployment.policies)
                .change_context_lazy(failed)?;
        sleep(BALANCER_LAG).await;
        self.entries.remove(old_endpoints.callers);
        self.change_list(
            Method::DELETE,
            &format!("/v1/list/vms/{}", old_endpoints.name),
            &Value::Null,
        )
        .await?;
        if new_vm.ready(START_TIMEOUT).await {
            self.entries.add(endpoints.callers);
        }
        self.deployment.vms.push((endpoints, new_vm));
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
            .change_context_lazy(|| Error::new("the platform's list could not be changed"))?;
        Ok(())
    }
}

/// A fault that crashes a target at its next request. It stays down for an hour, so
/// in practice for the rest of the run.
pub fn permanent_crash() -> Value {
    json!({ "crash": { "mark": "", "moment": "start", "down_ms": 3_600_000 } })
}

/// The sum of all numbers in a JSON value.
fn sum_numbers(value: &Value) -> u64 {
    match value {
        Value::Number(number) => number.as_u64().unwrap_or_default(),
        Value::Object(members) => members.values().map(sum_numbers).sum(),
        Value::Array(items) => items.iter().map(sum_numbers).sum(),
        _ => 0,
    }
}
