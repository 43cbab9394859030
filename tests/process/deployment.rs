//! A deployment of processes on the loopback interface, with methods to start
//! VMs, send requests, publish profiles, set faults and read counts.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::{Duration, Instant},
};

use laburnumworks::local::{Caller, DEMO_INDEX, OPERATOR_TOKEN, caller::Reply};
use reqwest::Method;
use serde_json::{Value, json};
use tokio::{task::JoinHandle, time::sleep};

use super::{
    operation::Operation,
    part::{Plan, Platform, Target, Vm},
};

/// The time within which a process must accept requests after its start.
pub const START_LIMIT: Duration = Duration::from_secs(10);

/// The time within which an accepted publication must be in force on every VM.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);

/// The interval between checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The interval at which [`Deployment::send_spaced`] sends operations.
const SEND_INTERVAL: Duration = Duration::from_millis(3);

/// The answer to a request, or the reason why there was none.
pub type Outcome = Result<Reply, String>;

/// A profile that accepts only complete answers.
pub const COMPLETE_PROFILE: &str = "clearance";

/// A profile that accepts partial answers.
pub const PARTIAL_PROFILE: &str = "browse";

/// A running deployment; its processes are killed when it is dropped.
pub struct Deployment {
    pub platform: Platform,
    pub vms: Vec<Vm>,
    /// Ordered by shard, then by replica.
    pub targets: Vec<Target>,
    /// The client that sends the requests of callers and operators.
    pub caller: Caller,
    folder: PathBuf,
    plan: Plan,
}

impl Deployment {
    /// Starts a deployment, publishes its profiles and waits until they are in
    /// force on every VM.
    pub async fn start(folder: &Path, plan: Plan) -> Deployment {
        let targets = Target::start_all(folder, &plan);
        let vms: Vec<Vm> = (1..=plan.vms).map(|number| Vm::new(number, plan.threads)).collect();
        let platform = Platform::start(folder, &vms, &targets);
        let caller = Caller::new().unwrap();
        let mut deployment =
            Deployment { platform, vms, targets, caller, folder: folder.to_owned(), plan };
        deployment.wait_for_stand_ins().await;
        for number in 0..deployment.plan.started as usize {
            deployment.start_vm(number);
        }
        for number in 0..deployment.plan.started as usize {
            deployment.wait_ready(number).await;
        }
        deployment.publish_initial_profiles().await;
        deployment
    }

    /// Starts the process of a VM; one that was killed can be started again.
    pub fn start_vm(&mut self, number: usize) {
        self.vms[number].start(&self.folder, self.platform.address);
    }

    async fn wait_for_stand_ins(&self) {
        let platform = (self.platform.address, "/readyz");
        let targets = self.targets.iter().map(|target| (target.admin, "/v1/counts"));
        for (address, path) in std::iter::once(platform).chain(targets) {
            self.wait(path, START_LIMIT, async || self.is_success(address, path).await).await;
        }
    }

    /// Waits until a VM reports that it is ready.
    pub async fn wait_ready(&self, number: usize) {
        let callers = self.vms[number].endpoints.callers;
        self.wait("readyz", START_LIMIT, async || self.is_success(callers, "/readyz").await).await;
    }

    /// Returns whether a GET of the path is answered with a success status.
    pub async fn is_success(&self, address: SocketAddr, path: &str) -> bool {
        self.caller.read(address, path).await.is_ok_and(|reply| reply.status.is_success())
    }

    /// Waits until `holds` returns true and panics if that takes longer than
    /// `limit`.
    pub async fn wait(&self, what: &str, limit: Duration, holds: impl AsyncFn() -> bool) {
        let since = Instant::now();
        while !holds().await {
            assert!(since.elapsed() < limit, "{what}: not within {limit:?}");
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn publish_initial_profiles(&self) {
        let profiles =
            json!({ COMPLETE_PROFILE: profile(1_000_000, 10), PARTIAL_PROFILE: profile(1, 10) });
        let reply = self.caller.publish(self.vms[0].endpoints.operators, &profiles).await.unwrap();
        assert!(reply.status.is_success(), "publish: {}", reply.body);
        self.wait_in_force(&self.started(), 1, IN_FORCE_LIMIT).await;
        self.wait("searches are complete", START_LIMIT, async || {
            self.is_complete_everywhere().await
        })
        .await;
    }

    async fn is_complete_everywhere(&self) -> bool {
        for number in self.started() {
            if !self
                .search(number, COMPLETE_PROFILE, "radar")
                .await
                .is_ok_and(|r| r.status.is_success())
            {
                return false;
            }
        }
        true
    }

    /// The numbers of the VMs that were started.
    pub fn started(&self) -> Vec<usize> {
        (0..self.vms.len()).filter(|&number| self.vms[number].child.is_some()).collect()
    }

    /// Waits until each of the VMs answers with `revision` or a later one.
    pub async fn wait_in_force(&self, vms: &[usize], revision: u64, limit: Duration) {
        let is_in_force = async || {
            for &number in vms {
                if self.revision(number).await.is_none_or(|found| found < revision) {
                    return false;
                }
            }
            true
        };
        self.wait(&format!("revision {revision} in force"), limit, is_in_force).await;
    }

    /// Returns the revision stated by a VM's answer to a search.
    pub async fn revision(&self, number: usize) -> Option<u64> {
        self.search(number, PARTIAL_PROFILE, "none").await.ok()?.body["revision"].as_u64()
    }

    pub async fn search(&self, number: usize, profile: &str, text: &str) -> reqwest::Result<Reply> {
        self.caller.search(self.vms[number].endpoints.callers, profile, text).await
    }

    pub async fn operate(&self, number: usize, operation: &Operation) -> reqwest::Result<Reply> {
        let callers = self.vms[number].endpoints.callers;
        self.caller.operate(callers, &operation.key, &operation.body).await
    }

    /// Sends operations through a VM at intervals of [`SEND_INTERVAL`] without
    /// waiting for the answers in between. The task returns the outcomes in order.
    pub fn send_spaced(&self, number: usize, operations: &[Operation]) -> JoinHandle<Vec<Outcome>> {
        let callers = self.vms[number].endpoints.callers;
        let (caller, operations) = (self.caller.clone(), operations.to_vec());
        tokio::spawn(async move {
            let mut sent = Vec::new();
            for Operation { key, body, .. } in operations {
                let caller = caller.clone();
                sent.push(tokio::spawn(async move { caller.operate(callers, &key, &body).await }));
                sleep(SEND_INTERVAL).await;
            }
            let mut outcomes = Vec::new();
            for task in sent {
                outcomes.push(task.await.unwrap().map_err(|e| format!("no answer: {e:?}")));
            }
            outcomes
        })
    }

    /// Publishes profiles through a VM on condition that the current revision is
    /// `expect`.
    pub async fn publish(&self, number: usize, expect: u64, profiles: &Value) -> Reply {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let expect = format!("\"{expect}\"");
        let headers = [("Authorization", authorization.as_str()), ("If-Match", expect.as_str())];
        let body = json!({ "profiles": profiles });
        let operators = self.vms[number].endpoints.operators;
        let sent = self.caller.send(Method::PUT, operators, "/v1/profiles", &headers, &body);
        sent.await.unwrap()
    }

    /// Settles an unsettled publication through a VM.
    pub async fn settle(&self, number: usize, token: &Value) -> Reply {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("Authorization", authorization.as_str())];
        let operators = self.vms[number].endpoints.operators;
        let path = "/v1/publications/settle";
        let body = json!({ "token": token });
        self.caller.send(Method::POST, operators, path, &headers, &body).await.unwrap()
    }

    pub async fn set_platform_faults(&self, faults: &Value) {
        self.put(self.platform.address, "/v1/faults", faults).await;
    }

    pub async fn set_target_faults(&self, number: usize, faults: &Value) {
        self.put(self.targets[number].admin, "/v1/faults", faults).await;
    }

    /// Sets the state of a target to leaving in the platform's list.
    pub async fn list_leaving(&self, number: usize) {
        let target = &self.targets[number];
        let mut listed = target.listed.clone();
        listed["state"] = json!("leaving");
        let path = format!("/v1/list/targets/{}", target.name);
        self.put(self.platform.address, &path, &listed).await;
    }

    async fn put(&self, address: SocketAddr, path: &str, body: &Value) {
        let reply = self.caller.send(Method::PUT, address, path, &[], body).await.unwrap();
        assert!(reply.status.is_success(), "PUT {path}: {}", reply.body);
    }

    /// Reads one of the counts of a target by its name.
    pub async fn count(&self, number: usize, name: &str) -> u64 {
        let reply = self.caller.read(self.targets[number].admin, "/v1/counts").await.unwrap();
        reply.body[name].as_u64().unwrap_or_else(|| panic!("{name}: {}", reply.body))
    }

    /// Returns how often the targets executed each operation, by its detail.
    pub async fn executions(&self) -> BTreeMap<String, u64> {
        let mut sums = BTreeMap::new();
        for target in &self.targets {
            let reply = self.caller.read(target.admin, "/v1/executions").await.unwrap();
            for (detail, count) in reply.body["details"].as_object().unwrap() {
                *sums.entry(detail.clone()).or_default() += count.as_u64().unwrap();
            }
        }
        sums
    }
}

/// A profile with the given coverage and priority, as a JSON document.
pub fn profile(coverage_ppm: u32, priority: u32) -> Value {
    json!({
        "team": "local",
        "index": DEMO_INDEX,
        "coverage_ppm": coverage_ppm,
        "deadline_ms": 1000,
        "tail_ms": 50,
        "extra_load_ppm": 50_000,
        "concurrency": 100,
        "priority": priority,
    })
}
