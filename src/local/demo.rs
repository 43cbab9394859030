//! The demo: starts a deployment of three VMs, sends searches and one
//! clearance, then drains the targets of one shard.

use std::{
    fmt,
    net::SocketAddr,
    time::{Duration, Instant},
};

use error_stack::{Report, ResultExt};
use laburnum_core::{name::Name, traffic::Policies};
use serde_json::{Value, json};
use uuid::Uuid;

use super::{Caller, DEMO_INDEX, Deployment, Index, Plan, caller::Reply};
use crate::standin::target::settings::Raw;

/// The time within which every VM must take requests.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// The time after the targets of a shard are drained until answers are expected
/// to be partial.
const DRAIN_WAIT: Duration = Duration::from_secs(2);

/// The error that ended the demo early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The step that failed.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Error {}

fn error(detail: &str) -> Error {
    Error { detail: detail.to_owned() }
}

/// One expectation that the demo checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Finding {
    /// The behaviour that is expected.
    pub expectation: String,
    /// Whether the expectation was met.
    pub held: bool,
}

/// One run of the demo. It prints each step and collects the findings.
struct Run<'a> {
    deployment: &'a Deployment,
    caller: Caller,
    print: &'a dyn Fn(&str),
    findings: Vec<Finding>,
}

/// Runs the demo, prints each step and returns the findings.
pub async fn run(print: &dyn Fn(&str)) -> Result<Vec<Finding>, Report<Error>> {
    let name = Name::try_from(DEMO_INDEX).change_context_lazy(|| error("the index has no name"))?;
    let index = Index { name, shards: 4, replicas: 2, target: Raw::default() };
    let plan = Plan {
        vms: 3,
        indexes: vec![index.clone()],
        target_threads: 1,
        policies: Policies::default,
    };
    let deployment =
        super::start(&plan).change_context_lazy(|| error("the deployment did not start"))?;
    print(&format!(
        "started a platform, {} VMs and {} targets of the index {DEMO_INDEX}",
        plan.vms,
        index.shards * index.replicas
    ));
    let caller = Caller::new().change_context_lazy(|| error("no HTTP client could be made"))?;
    let mut run = Run { deployment: &deployment, caller, print, findings: Vec::new() };
    run.publish().await?;
    run.send_searches(&index).await?;
    run.send_clearance().await?;
    run.drain_shard(&index).await?;
    Ok(run.findings)
}

impl Run<'_> {
    fn record(&mut self, expectation: &str, held: bool) {
        (self.print)(&format!("  {}: {expectation}", if held { "held" } else { "NOT HELD" }));
        self.findings.push(Finding { expectation: expectation.to_owned(), held });
    }

    /// The names of the VMs with their addresses for callers.
    fn caller_addresses(&self) -> Vec<(String, SocketAddr)> {
        let vms = self.deployment.vms.iter();
        vms.map(|(endpoints, _)| (endpoints.name.to_string(), endpoints.callers)).collect()
    }

    async fn publish(&mut self) -> Result<(), Report<Error>> {
        let is_ready = self.deployment.ready(START_TIMEOUT).await;
        self.record("every VM takes requests within 10 s", is_ready);
        let full = profile(1_000_000);
        let partial = profile(500_000);
        let profiles = json!({ "clearance": full, "browse": partial });
        let Some((endpoints, _)) = self.deployment.vms.first() else {
            return Err(Report::new(error("there is no VM")));
        };
        let reply = self
            .caller
            .publish(endpoints.operators, &profiles)
            .await
            .change_context_lazy(|| error("the profiles could not be published"))?;
        (self.print)(&format!("published profiles through {}: {}", endpoints.name, reply.body));
        self.record("the publication was accepted", reply.status.is_success());
        let since = Instant::now();
        let mut is_everywhere = false;
        while !is_everywhere && since.elapsed() < Duration::from_secs(3) {
            is_everywhere = self.in_force().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        self.record("the profiles are in force on every VM within 3 s", is_everywhere);
        Ok(())
    }

    /// Returns whether every VM serves the published profiles.
    async fn in_force(&self) -> bool {
        for (_, address) in self.caller_addresses() {
            let reply = self.caller.search(address, "clearance", "none").await;
            if !reply.is_ok_and(|reply| reply.status.is_success()) {
                return false;
            }
        }
        true
    }

    async fn search(
        &self,
        vm: &(String, SocketAddr),
        profile: &str,
        text: &str,
    ) -> Result<Reply, Report<Error>> {
        let since = Instant::now();
        let reply = self
            .caller
            .search(vm.1, profile, text)
            .await
            .change_context_lazy(|| error("a search was not answered"))?;
        let took = since.elapsed();
        let line = if reply.status.is_success() {
            format!(
                "search {text:?} through {}: snapshot {}, coverage {} of 1000000, {} rows, \
                 {} attempts, {:.1} ms",
                vm.0,
                reply.body["snapshot"],
                reply.body["coverage"]["parts_per_million"],
                rows(&reply).len(),
                reply.body["attempts"],
                took.as_secs_f64() * 1e3
            )
        } else {
            format!("search {text:?} through {}: {}", vm.0, reply.body)
        };
        (self.print)(&line);
        Ok(reply)
    }

    async fn send_searches(&mut self, index: &Index) -> Result<(), Report<Error>> {
        let contents =
            crate::standin::target::row::Index { seed: index.target.seed, rows: index.target.rows };
        let all = laburnum_core::key::Range::ALL;
        for vm in self.caller_addresses() {
            for text in ["maritime", "uhf"] {
                let reply = self.search(&vm, "clearance", text).await?;
                let expected = contents.read(laburnum_core::target::Version(1), all, text);
                let found = rows(&reply);
                let is_complete = found.len() == expected.len()
                    && found
                        .iter()
                        .zip(&expected)
                        .all(|(found, row)| found["body"].as_str() == Some(&*row.body));
                self.record("the answer holds every row of one snapshot, once", is_complete);
            }
        }
        Ok(())
    }

    async fn send_clearance(&mut self) -> Result<(), Report<Error>> {
        let key = Uuid::now_v7().to_string();
        let body = json!({
            "profile": "clearance",
            "operation": "clearance",
            "subject": 42,
            "detail": "mast 7, 460.0 MHz",
        });
        let mut results = Vec::new();
        for (name, address) in self.caller_addresses() {
            let reply = self
                .caller
                .operate(address, &key, &body)
                .await
                .change_context_lazy(|| error("a clearance was not answered"))?;
            (self.print)(&format!("clearance through {name} with the same key: {}", reply.body));
            results.push(reply);
        }
        let first_ran = results.first().is_some_and(|reply| {
            reply.status.is_success() && reply.body["replayed"] == json!(false)
        });
        self.record("the clearance ran", first_ran);
        let is_repeated = results.iter().skip(1).all(|reply| {
            reply.status.is_success()
                && reply.body["replayed"] == json!(true)
                && reply.body["result"] == results[0].body["result"]
        });
        self.record("each resend got the recorded outcome", is_repeated);
        let executions = self.executions().await?;
        self.record("the targets ran it once", executions == 1);
        Ok(())
    }

    /// The number of executions of operations that all targets recorded
    /// together.
    async fn executions(&self) -> Result<u64, Report<Error>> {
        let mut sum = 0;
        for target in &self.deployment.targets {
            let reply = self
                .caller
                .read(target.admin, "/v1/executions")
                .await
                .change_context_lazy(|| error("a target's executions could not be read"))?;
            let tokens = reply.body["tokens"].as_object().cloned().unwrap_or_default();
            sum += tokens.values().filter_map(Value::as_u64).sum::<u64>();
        }
        Ok(sum)
    }

    async fn drain_shard(&mut self, index: &Index) -> Result<(), Report<Error>> {
        let last = format!("shard-{}", index.shards - 1);
        for target in &self.deployment.targets {
            if target.listed.shard.as_str() != last {
                continue;
            }
            self.caller
                .send(
                    reqwest::Method::PUT,
                    target.admin,
                    "/v1/faults",
                    &[],
                    &json!({ "drain": true }),
                )
                .await
                .change_context_lazy(|| error("a target could not be drained"))?;
        }
        (self.print)(&format!("drained both targets of {last}"));
        tokio::time::sleep(DRAIN_WAIT).await;
        let Some(vm) = self.caller_addresses().into_iter().next() else { return Ok(()) };
        let reply = self.search(&vm, "browse", "maritime").await?;
        let coverage = reply.body["coverage"]["parts_per_million"].as_u64();
        let missing = reply.body["coverage"]["missing"].as_array().map_or(0, Vec::len);
        self.record(
            "a profile that allows it gets a partial answer that names what is missing",
            coverage.is_some_and(|parts| (740_000..1_000_000).contains(&parts)) && missing == 1,
        );
        let reply = self.search(&vm, "clearance", "maritime").await?;
        self.record(
            "a profile that needs the whole index is refused, and nothing ran",
            reply.body["kind"] == "coverage_too_low" && reply.body["ran"] == "no",
        );
        Ok(())
    }
}

fn profile(coverage: u32) -> Value {
    json!({
        "team": "local",
        "index": DEMO_INDEX,
        "coverage_ppm": coverage,
        "deadline_ms": 1000,
        "tail_ms": 50,
        "extra_load_ppm": 50_000,
        "concurrency": 100,
        "priority": 10,
    })
}

fn rows(reply: &Reply) -> Vec<Value> {
    reply.body["rows"].as_array().cloned().unwrap_or_default()
}
