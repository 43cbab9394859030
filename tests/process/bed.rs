//! A deployment of processes on loopback, with the orders of a test: what it
//! starts, asks, publishes, counts and breaks.

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

/// The time within which a process must take requests after its start.
pub const START: Duration = Duration::from_secs(10);

/// The time within which an accepted publication must be in force everywhere.
pub const IN_FORCE: Duration = Duration::from_secs(3);

/// The time between two looks at something that is awaited.
const POLL: Duration = Duration::from_millis(20);

/// The time between two operations that are sent in turn.
const GAP: Duration = Duration::from_millis(3);

/// The answer to a request, or why there was none.
pub type Outcome = Result<Reply, String>;

/// The profile that takes only whole answers.
pub const WHOLE: &str = "clearance";

/// The profile that takes partial answers.
pub const PART: &str = "browse";

/// A deployment.
pub struct Bed {
    /// The platform.
    pub platform: Platform,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The targets, ordered by shard and replica.
    pub targets: Vec<Target>,
    /// The caller and operator.
    pub caller: Caller,
    folder: PathBuf,
    plan: Plan,
}

impl Bed {
    /// Starts a deployment, publishes its profiles and waits until they are in
    /// force on every VM.
    pub async fn start(folder: &Path, plan: Plan) -> Bed {
        let targets = Target::start_all(folder, &plan);
        let vms: Vec<Vm> = (1..=plan.vms).map(|number| Vm::new(number, plan.threads)).collect();
        let platform = Platform::start(folder, &vms, &targets);
        let caller = Caller::new().unwrap();
        let mut bed = Bed { platform, vms, targets, caller, folder: folder.to_owned(), plan };
        bed.wait_for_stand_ins().await;
        for number in 0..bed.plan.started as usize {
            bed.start_vm(number);
        }
        for number in 0..bed.plan.started as usize {
            bed.wait_ready(number).await;
        }
        bed.publish_first().await;
        bed
    }

    /// Starts a VM, also one whose earlier process was killed.
    pub fn start_vm(&mut self, number: usize) {
        self.vms[number].start(&self.folder, self.platform.address);
    }

    async fn wait_for_stand_ins(&self) {
        let platform = (self.platform.address, "/readyz");
        let targets = self.targets.iter().map(|target| (target.admin, "/v1/counts"));
        for (address, path) in std::iter::once(platform).chain(targets) {
            self.wait(path, START, async || self.is_success(address, path).await).await;
        }
    }

    /// Waits until a VM says that it takes requests.
    pub async fn wait_ready(&self, number: usize) {
        let callers = self.vms[number].place.callers;
        self.wait("readyz", START, async || self.is_success(callers, "/readyz").await).await;
    }

    /// Whether a path answers that all is well.
    pub async fn is_success(&self, address: SocketAddr, path: &str) -> bool {
        self.caller.read(address, path).await.is_ok_and(|reply| reply.status.is_success())
    }

    /// Waits until something holds.
    pub async fn wait(&self, what: &str, limit: Duration, holds: impl AsyncFn() -> bool) {
        let since = Instant::now();
        while !holds().await {
            assert!(since.elapsed() < limit, "{what}: not within {limit:?}");
            sleep(POLL).await;
        }
    }

    async fn publish_first(&self) {
        let profiles = json!({ WHOLE: profile(1_000_000, 10), PART: profile(1, 10) });
        let reply = self.caller.publish(self.vms[0].place.operators, &profiles).await.unwrap();
        assert!(reply.status.is_success(), "publish: {}", reply.body);
        self.wait_in_force(&self.started(), 1, IN_FORCE).await;
        self.wait("searches are whole", START, async || self.is_whole_everywhere().await).await;
    }

    async fn is_whole_everywhere(&self) -> bool {
        for number in self.started() {
            if !self.search(number, WHOLE, "radar").await.is_ok_and(|r| r.status.is_success()) {
                return false;
            }
        }
        true
    }

    /// The numbers of the VMs that were started.
    pub fn started(&self) -> Vec<usize> {
        (0..self.vms.len()).filter(|&number| self.vms[number].child.is_some()).collect()
    }

    /// Waits until answers of each of the VMs state `revision` or a later one.
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

    /// The revision that an answer of a VM states.
    pub async fn revision(&self, number: usize) -> Option<u64> {
        self.search(number, PART, "none").await.ok()?.body["revision"].as_u64()
    }

    /// Sends a search through a VM.
    pub async fn search(&self, number: usize, profile: &str, text: &str) -> reqwest::Result<Reply> {
        self.caller.search(self.vms[number].place.callers, profile, text).await
    }

    /// Sends an operation through a VM.
    pub async fn operate(&self, number: usize, operation: &Operation) -> reqwest::Result<Reply> {
        let callers = self.vms[number].place.callers;
        self.caller.operate(callers, &operation.key, &operation.body).await
    }

    /// Starts to send operations through a VM, a few milliseconds apart.
    pub fn send_in_turn(
        &self,
        number: usize,
        operations: &[Operation],
    ) -> JoinHandle<Vec<Outcome>> {
        let callers = self.vms[number].place.callers;
        let (caller, operations) = (self.caller.clone(), operations.to_vec());
        tokio::spawn(async move {
            let mut sent = Vec::new();
            for Operation { key, body, .. } in operations {
                let caller = caller.clone();
                sent.push(tokio::spawn(async move { caller.operate(callers, &key, &body).await }));
                sleep(GAP).await;
            }
            let mut outcomes = Vec::new();
            for task in sent {
                outcomes.push(task.await.unwrap().map_err(|e| format!("no answer: {e:?}")));
            }
            outcomes
        })
    }

    /// Publishes profiles through a VM if `expect` is in force.
    pub async fn publish(&self, number: usize, expect: u64, profiles: &Value) -> Reply {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let expect = format!("\"{expect}\"");
        let headers = [("Authorization", authorization.as_str()), ("If-Match", expect.as_str())];
        let body = json!({ "profiles": profiles });
        let operators = self.vms[number].place.operators;
        let sent = self.caller.send(Method::PUT, operators, "/v1/profiles", &headers, &body);
        sent.await.unwrap()
    }

    /// Asks through a VM what became of a publication.
    pub async fn settle(&self, number: usize, token: &Value) -> Reply {
        let authorization = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("Authorization", authorization.as_str())];
        let operators = self.vms[number].place.operators;
        let path = "/v1/publications/settle";
        let body = json!({ "token": token });
        self.caller.send(Method::POST, operators, path, &headers, &body).await.unwrap()
    }

    /// Switches the faults of the platform.
    pub async fn platform_faults(&self, faults: &Value) {
        self.put(self.platform.address, "/v1/faults", faults).await;
    }

    /// Switches the faults of a target.
    pub async fn target_faults(&self, number: usize, faults: &Value) {
        self.put(self.targets[number].admin, "/v1/faults", faults).await;
    }

    /// Lists a target as leaving.
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

    /// One of the counts of a target.
    pub async fn count(&self, number: usize, name: &str) -> u64 {
        let reply = self.caller.read(self.targets[number].admin, "/v1/counts").await.unwrap();
        reply.body[name].as_u64().unwrap_or_else(|| panic!("{name}: {}", reply.body))
    }

    /// The executions of operations that all targets recorded, by detail.
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

/// A profile of the deployment.
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
