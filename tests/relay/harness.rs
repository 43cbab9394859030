//! A harness with a store, targets and relays that are ready to serve.

use std::{
    collections::BTreeMap,
    fs,
    net::SocketAddr,
    path::{Path, PathBuf},
    time::Duration,
};

use http::HeaderValue;
use laburnum_platform::{caller::READY_PATH, header as names};
use reqwest::{Response, StatusCode};
use serde_json::Value;
use tempfile::TempDir;
use tokio::time::sleep;

use crate::{
    child::{Child, Signal},
    entry::{self, SERVICES},
    port,
    standin::{
        entries::{self, CONFIG},
        target::Target,
    },
    store::Store,
};

/// A relay that runs as a process of its own.
pub struct Relay {
    child: Child,
    file: PathBuf,
    /// The most descriptors that the process may hold, from its next start on.
    descriptors: Option<u32>,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub metrics: SocketAddr,
}

impl Relay {
    /// Sends the process a signal to terminate.
    pub fn terminate(&self) {
        self.child.signal(Signal::TERM);
    }

    /// The name of the VM.
    pub fn name(&self) -> &str {
        self.file.file_stem().unwrap().to_str().unwrap()
    }

    /// Kills the process.
    pub fn kill(&self) {
        self.child.signal(Signal::KILL);
    }

    /// Changes the file of the settings and signals the process to read it.
    pub fn reload(&self, change: impl FnOnce(String) -> String) {
        self.change_settings(change);
        self.child.signal(Signal::HUP);
    }

    /// Changes the file of the settings, which the process reads when it starts again.
    pub fn change_settings(&self, change: impl FnOnce(String) -> String) {
        let text = fs::read_to_string(&self.file).unwrap();
        fs::write(&self.file, change(text)).unwrap();
    }

    /// Limits the descriptors of the process from its next start on.
    #[allow(dead_code)]
    pub fn limit_descriptors(&mut self, limit: u32) {
        self.descriptors = Some(limit);
    }

    /// Returns the id of the process.
    #[allow(dead_code)]
    pub fn process(&self) -> u32 {
        self.child.id()
    }

    /// Stops the process until it is continued.
    pub fn pause(&self) {
        self.child.signal(Signal::STOP);
    }

    /// Continues the process after a stop.
    pub fn resume(&self) {
        self.child.signal(Signal::CONT);
    }

    /// Returns the log.
    pub fn log(&self) -> String {
        fs::read_to_string(self.file.with_extension("log")).unwrap()
    }

    /// Waits until the log has a line of an event and returns the line.
    pub async fn logged(&self, event: u16) -> String {
        let pattern = format!("\"event\":{event},");
        for _ in 0..200 {
            if let Some(line) = self.log().lines().find(|line| line.contains(&pattern)) {
                return line.to_owned();
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("event {event} is not logged");
    }

    /// Waits until the process ends and returns whether it exited successfully.
    pub async fn exits_successfully(&mut self) -> bool {
        self.child.wait_exit(Duration::from_secs(10)).await.success()
    }
}

/// A store with two targets for each of three shards and for the service of an
/// operation.
pub struct Harness {
    pub store: Store,
    pub targets: BTreeMap<String, Target>,
    /// The entries of the targets by their ids.
    registrations: BTreeMap<String, Value>,
    folder: TempDir,
    client: reqwest::Client,
}

impl Harness {
    /// Starts the store and the targets.
    pub async fn start() -> Harness {
        let store = Store::start();
        let (mut targets, mut registrations) = (BTreeMap::new(), BTreeMap::new());
        for (service, fill) in SERVICES.iter().zip(1u8..) {
            for number in 1..=2 {
                let id = format!("{service}-{number}");
                let (target, address) = Target::start(&id, fill).await;
                let entry = entries::target(service, address, 2, false);
                store.put(&entries::target_key(&id), &entry).await;
                registrations.insert(id.clone(), entry);
                targets.insert(id, target);
            }
        }
        store.put(CONFIG, &entry::config(3)).await;
        let folder = TempDir::new().unwrap();
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        Harness { store, targets, registrations, folder, client }
    }

    /// Writes the entries of all targets again, as targets do all the time.
    pub async fn register_targets(&self) {
        for (id, entry) in &self.registrations {
            self.store.put(&entries::target_key(id), entry).await;
        }
    }

    /// Starts a relay with a number of cores and waits until it is ready.
    pub async fn relay(&self, name: &str, cores: f64) -> Relay {
        let relay = self.begin(name, cores);
        self.wait_ready(&relay).await;
        relay
    }

    /// Starts several relays at the same time and waits until all of them are ready.
    pub async fn relays(&self, names: &[String], cores: f64) -> Vec<Relay> {
        let relays: Vec<Relay> = names.iter().map(|name| self.begin(name, cores)).collect();
        for relay in &relays {
            self.wait_ready(relay).await;
        }
        relays
    }

    /// Starts a relay without waiting for it.
    fn begin(&self, name: &str, cores: f64) -> Relay {
        let address: Vec<SocketAddr> = (0..4).map(|_| port::unused_address()).collect();
        let file = self.folder.path().join(format!("{name}.toml"));
        fs::write(&file, settings(name, cores, &address, self.store.address)).unwrap();
        let child = self.launch(&file, None);
        let (callers, ready, metrics) = (address[0], address[1], address[2]);
        Relay { child, file, descriptors: None, callers, ready, metrics }
    }

    /// Starts the process of a relay by the file of its settings.
    fn launch(&self, file: &Path, descriptors: Option<u32>) -> Child {
        let name = file.file_stem().unwrap().to_str().unwrap();
        let path = file.display().to_string();
        let arguments = ["relay", "--settings", &path];
        match descriptors {
            Some(limit) => Child::start_limited(self.folder.path(), name, &arguments, limit),
            None => Child::start(self.folder.path(), name, &arguments),
        }
    }

    async fn wait_ready(&self, relay: &Relay) {
        while self.is_ready(relay).await != Some(true) {
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts a relay again, whose process was told to end, by the same settings, and
    /// waits until it is ready.
    pub async fn restart(&self, relay: &mut Relay) {
        relay.child.wait_exit(Duration::from_secs(10)).await;
        relay.child = self.launch(&relay.file, relay.descriptors);
        self.wait_ready(relay).await;
    }

    /// Returns whether the relay answers a probe that it is ready, or none if it does
    /// not answer.
    pub async fn is_ready(&self, relay: &Relay) -> Option<bool> {
        let url = format!("http://{}{READY_PATH}", relay.ready);
        let response = self.client.get(url).send().await.ok()?;
        Some(response.status() == StatusCode::OK)
    }

    /// Sends a request of a caller.
    pub async fn send(&self, relay: &Relay, method: reqwest::Method, path: &str) -> Response {
        let url = format!("http://{}{path}", relay.callers);
        let request = self.client.request(method, url).headers(entry::caller());
        request.send().await.unwrap()
    }

    /// Sends a search over all shards.
    pub async fn search(&self, relay: &Relay) -> Response {
        self.send(relay, reqwest::Method::GET, "/search/1").await
    }

    /// Sends an operation.
    pub async fn operate(&self, relay: &Relay) -> Response {
        self.send(relay, reqwest::Method::POST, "/desk/1").await
    }

    /// Sends an operation of a caller that waits for `wait`, and that may get no answer.
    pub async fn try_operate(&self, relay: &Relay, wait: Duration) -> reqwest::Result<Response> {
        self.try_operate_as(relay, "c1", wait).await
    }

    /// Does the same under an id of the attempt.
    pub async fn try_operate_as(
        &self,
        relay: &Relay,
        id: &str,
        wait: Duration,
    ) -> reqwest::Result<Response> {
        let mut headers = entry::caller();
        headers.insert(names::ATTEMPT_ID, HeaderValue::from_str(id).unwrap());
        headers.insert(names::DEADLINE_MS, HeaderValue::from(wait.as_millis() as u64));
        let url = format!("http://{}/desk/1", relay.callers);
        self.client.post(url).headers(headers).send().await
    }

    /// Returns the metrics of a relay as text.
    pub async fn metrics(&self, relay: &Relay) -> String {
        let url = format!("http://{}/metrics", relay.metrics);
        self.client.get(url).send().await.unwrap().text().await.unwrap()
    }

    /// Returns the number of requests that the targets of a service ran.
    pub fn runs(&self, service: &str) -> u64 {
        let targets = self.targets.iter().filter(|(id, _)| id.starts_with(service));
        targets.map(|(_, target)| target.runs()).sum()
    }
}

/// Returns the settings of a relay that listens on these addresses.
pub fn settings(name: &str, cores: f64, address: &[SocketAddr], store: SocketAddr) -> String {
    let [callers, ready, metrics, peers] = address else { panic!("four addresses") };
    format!(
        "[vm]\nname = \"{name}\"\ndomain = \"near\"\ncores = {cores}\n\
         [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\n\
         peers = \"{peers}\"\n[store]\naddress = \"{store}\"\n\
         [retry]\nratio = 0.2\nslack = 100\nwindow_s = 10\n\
         [shutdown]\nannounce_ms = 300\nlimit_ms = 3000\n"
    )
}
