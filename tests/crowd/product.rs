//! Crowds of callers and operators of an entry VM.

use std::{fs, net::SocketAddr, path::Path, slice, time::Duration};

use laburnumworks::local::{Caller, DEMO_INDEX, Endpoints, OPERATOR_TOKEN};
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::time::sleep;

use crate::{
    alone::alone,
    caller::{self, crowd, plain_head, read_slowly, send_slowly},
    child::Child,
    part::{Platform, Target, Vm},
    process,
};

/// The longest body that the settings of the cases allow, in bytes.
const LONG_BODY: usize = 8 << 20;

/// The number of connections that the settings of some cases allow.
const CONNECTIONS: usize = 16;

/// The number of rows in the index; a search that finds them all has an answer of 1.8 MB.
const ROWS: u32 = 20_000;

/// A text that each row contains.
const EACH_ROW: &str = "licence";

/// A platform, a target and one VM.
pub struct Deployment {
    pub endpoints: Endpoints,
    pub vm: Child,
    _platform: Platform,
    _target: Target,
    _folder: TempDir,
}

impl Deployment {
    /// Starts a deployment whose VM has these settings too, and publishes a profile.
    async fn start(settings: &str) -> Deployment {
        let folder = TempDir::new().unwrap();
        let target = launch_target(folder.path());
        let listed = [target.listed.clone()];
        let deployment = Deployment::start_with(settings, folder, target, &listed).await;
        deployment.publish(&[("all", DEMO_INDEX)]).await;
        deployment.wait_served().await;
        deployment
    }

    /// Starts a deployment with a sound target, and with these targets in the platform's
    /// list. No profile is published.
    pub async fn start_with(
        settings: &str,
        folder: TempDir,
        target: Target,
        listed: &[Value],
    ) -> Deployment {
        let vm = Vm::new(1, 1);
        let platform = Platform::start_with(folder.path(), slice::from_ref(&vm), listed);
        let endpoints = vm.endpoints;
        let text = format!("{}{settings}", endpoints.settings(platform.address));
        fs::write(folder.path().join("vm.toml"), text).unwrap();
        let vm = Child::start(folder.path(), "vm", &["entry", "--settings", "vm.toml"]);
        Deployment { endpoints, vm, _platform: platform, _target: target, _folder: folder }
    }

    /// Publishes profiles with these names and indices.
    pub async fn publish(&self, profiles: &[(&str, &str)]) {
        let caller = Caller::new().unwrap();
        let profile = |index: &str| {
            json!({"team": "local", "index": index,
            "coverage_ppm": 1_000_000, "deadline_ms": 30_000, "tail_ms": 10_000,
            "extra_load_ppm": 0, "concurrency": 1000, "priority": 10})
        };
        let profiles: serde_json::Map<String, Value> =
            profiles.iter().map(|(name, index)| ((*name).to_owned(), profile(index))).collect();
        let profiles = Value::from(profiles);
        let is_published = async || {
            let reply = caller.publish(self.endpoints.operators, &profiles).await;
            reply.is_ok_and(|reply| reply.status.is_success())
        };
        while !is_published().await {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until the sound target serves the profile `all`.
    pub async fn wait_served(&self) {
        let caller = Caller::new().unwrap();
        let is_served = async || {
            let reply = caller.search(self.endpoints.callers, "all", "uhf").await;
            reply.is_ok_and(|reply| reply.status.is_success())
        };
        while !is_served().await {
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Asserts that the VM lives, is sound and serves an ordinary caller.
    async fn assert_serves(&self) {
        let status = caller::status(self.endpoints.callers, search("uhf").as_bytes()).await;
        process::assert_sound(self.vm.id());
        assert_eq!(status, 200, "an ordinary request is served");
    }
}

/// Launches a target with [`ROWS`] rows.
pub fn launch_target(folder: &Path) -> Target {
    let settings = format!("rows = {ROWS}\nqueue = 1000\n");
    let place = json!({"shard": "shard-0", "domain": "domain-1"});
    Target::launch(folder, "target", &settings, &place)
}

pub fn search(text: &str) -> String {
    search_with("all", text)
}

/// Returns a search by a profile.
pub fn search_with(profile: &str, text: &str) -> String {
    let body = format!("{{\"profile\":\"{profile}\",\"text\":\"{text}\"}}");
    format!("{}{body}", plain_head("POST", "/v1/search", body.len()))
}

async fn settle() {
    sleep(Duration::from_secs(2)).await;
}

async fn slow_readers() {
    let deployment = Deployment::start("").await;
    let callers = deployment.endpoints.callers;
    read_slowly(crowd(callers, 96, search(EACH_ROW).as_bytes()).await);
    // The answers are made one after the other.
    sleep(Duration::from_secs(20)).await;
    deployment.assert_serves().await;
}

async fn bodies_without_their_end() {
    let deployment =
        Deployment::start(&format!("[callers]\nbody_limit_bytes = {LONG_BODY}\n")).await;
    let mut request = plain_head("POST", "/v1/search", LONG_BODY).into_bytes();
    request.resize(request.len() + LONG_BODY - 4096, b'x');
    send_slowly(crowd(deployment.endpoints.callers, 32, &request).await);
    settle().await;
    deployment.assert_serves().await;
}

async fn held_connections(request: &str) {
    let settings = format!(
        "[callers]\nopen_connections = {CONNECTIONS}\nidle_ms = 600000\n\
         header_read_ms = 60000\nbody_read_ms = 60000\n"
    );
    let deployment = Deployment::start(&settings).await;
    let callers = deployment.endpoints.callers;
    let _idle = crowd(callers, CONNECTIONS, b"").await;
    send_slowly(crowd(callers, CONNECTIONS, request.as_bytes()).await);
    settle().await;
    let probe = plain_head("GET", "/readyz", 0);
    assert_eq!(caller::status(callers, probe.as_bytes()).await, 200);
    deployment.assert_serves().await;
}

async fn begun_heads() {
    held_connections("POST /v1/search HTTP/1.1\r\nFiller: ").await;
}

async fn begun_bodies() {
    held_connections(&plain_head("POST", "/v1/search", 60_000)).await;
}

/// Holds every connection of the port for operators, which serves probes and metrics too.
async fn operators() {
    let deployment = Deployment::start("").await;
    let port: SocketAddr = deployment.endpoints.operators;
    let _idle = crowd(port, 100, b"").await;
    send_slowly(crowd(port, 100, b"GET /metrics HTTP/1.1\r\nFiller: ").await);
    settle().await;
    let token = format!("Authorization: Bearer {OPERATOR_TOKEN}\r\n\r\n");
    let show = plain_head("GET", "/v1/profiles", 0).replace("\r\n\r\n", &format!("\r\n{token}"));
    for request in [plain_head("GET", "/readyz", 0), plain_head("GET", "/metrics", 0), show] {
        assert_eq!(caller::status(port, request.as_bytes()).await, 200, "{request}");
    }
    deployment.assert_serves().await;
}

/// More connections than the machine has descriptors for.
async fn descriptors() {
    let deployment = Deployment::start("[callers]\nidle_ms = 600000\n").await;
    caller::raise_descriptor_limit();
    let _callers = crowd(deployment.endpoints.callers, 3000, b"").await;
    settle().await;
    deployment.assert_serves().await;
}

cases! {
    slow_readers_of_long_answers => alone(slow_readers);
    long_bodies_that_stop_before_their_end => alone(bodies_without_their_end);
    slow_heads_take_no_other_callers_place => alone(begun_heads);
    slow_bodies_take_no_other_callers_place => alone(begun_bodies);
    the_port_for_operators_serves_beside_a_crowd => alone(operators);
    a_crowd_of_connections => alone(descriptors);
}
