//! The deployment of a soak: the store, the targets, the relays and their callers.

use std::{
    path::Path,
    sync::Arc,
    time::{Duration, Instant},
};

use tokio::{
    sync::{Mutex, watch},
    time::sleep,
};

use crate::{
    caller::Caller, entries::Route, ledger::Ledger, proxy::Proxy, relay::Relay, store::Store,
    target::Target,
};

/// The sets of shards between which versions of the configuration switch.
pub const SHARD_SETS: [&[&str]; 2] = [&["one", "two", "three"], &["four", "five"]];
/// The services between which versions of the configuration switch operations.
pub const OPERATION_SERVICES: [&str; 2] = ["desk", "bureau"];
/// The number of targets of each service.
const REPLICAS_PER_SERVICE: usize = 2;
/// The number of targets of all seven services.
pub const TARGET_COUNT: usize = 7 * REPLICAS_PER_SERVICE;
/// The time limits of searches.
pub const SEARCH_ROUTE: Route =
    Route { timeout: Duration::from_millis(700), goal: Duration::from_millis(100) };
/// The time limits of operations.
pub const OPERATION_ROUTE: Route =
    Route { timeout: Duration::from_millis(1200), goal: Duration::from_millis(400) };
/// The number of connections that each target accepts.
pub const MAX_CONNECTIONS: u32 = 40;
/// The number of records in the answer to a search.
pub const TOP_K: usize = 6;
/// The least share of the shards that the answer to a search must cover.
pub const MIN_COVERAGE: f64 = 0.5;
/// How long a draining target still gets requests.
pub const DRAIN_PERIOD: Duration = Duration::from_secs(3);
/// The time within which a new version of the configuration is in force.
pub const APPLY_LIMIT: Duration = Duration::from_secs(3);
/// The number of extra attempts that the retry budget allows for each first attempt.
pub const RETRY_RATIO: f64 = 0.2;
/// The number of extra attempts that all VMs may send in a window beyond the ratio.
pub const RETRY_SLACK: f64 = 40.0;
/// The window of the retry budget.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The processor cores that each relay announces. The last one announces so few that it
/// hands its requests to the others.
pub const RELAY_CORES: [f64; 3] = [1.0, 1.0, 0.1];

/// A target and the proxy that relays reach it through.
pub struct Endpoint {
    pub target: Target,
    pub link: Proxy,
}

/// All parts of a running soak.
pub struct Deployment {
    pub ledger: Ledger,
    pub store: Store,
    pub endpoints: Vec<Mutex<Endpoint>>,
    /// The proxy between each relay and the store.
    pub store_links: Vec<Proxy>,
    pub relays: Vec<Mutex<Relay>>,
    /// One caller for each relay.
    pub callers: Vec<Caller>,
    /// The number of the last version of the configuration.
    pub version: Mutex<u64>,
    /// Held while a copy of the store is in use.
    pub copy: Mutex<()>,
    client: reqwest::Client,
}

impl Deployment {
    /// Starts all parts and waits until the relays are ready.
    pub async fn start(folder: &Path) -> Arc<Deployment> {
        let ledger = Ledger::default();
        let store = Store::start(ledger.clone());
        let mut endpoints = Vec::new();
        for service in SHARD_SETS.iter().flat_map(|set| set.iter()).chain(OPERATION_SERVICES.iter())
        {
            for number in 1..=REPLICAS_PER_SERVICE {
                let id = format!("{service}-{number}");
                let endpoint = start_endpoint(&id, service, endpoints.len(), &store, &ledger).await;
                endpoints.push(Mutex::new(endpoint));
            }
        }
        store.configure(1, SHARD_SETS[0], OPERATION_SERVICES[0]).await;
        let (mut store_links, mut relays, mut callers) = (Vec::new(), Vec::new(), Vec::new());
        for (number, cores) in RELAY_CORES.into_iter().enumerate() {
            let store_link = Proxy::start(store.address, never_down()).await;
            let relay = Relay::start(number, cores, store_link.address, folder, &ledger);
            let address = relay.callers_address;
            callers.push(Caller { relay: number, address, ledger: ledger.clone() });
            store_links.push(store_link);
            relays.push(Mutex::new(relay));
        }
        let version = Mutex::new(1);
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let deployment = Deployment {
            ledger,
            store,
            endpoints,
            store_links,
            relays,
            callers,
            version,
            copy: Mutex::default(),
            client,
        };
        deployment.wait_ready().await;
        Arc::new(deployment)
    }

    /// Waits until every relay is ready and panics if that takes longer than 15 s.
    pub async fn wait_ready(&self) {
        let since = Instant::now();
        for relay in &self.relays {
            while !relay.lock().await.is_ready(&self.client).await {
                assert!(
                    since.elapsed() < Duration::from_secs(15),
                    "a relay was not ready within 15 s"
                );
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Returns the state of a server that never goes down, for the proxy before it.
fn never_down() -> watch::Receiver<bool> {
    // The sender is dropped, so that the value never changes.
    watch::channel(false).1
}

/// Starts a target behind a proxy and registers it at the proxy's address.
pub async fn start_endpoint(
    id: &str,
    service: &'static str,
    number: usize,
    store: &Store,
    ledger: &Ledger,
) -> Endpoint {
    let target = Target::start(id, service, number, ledger.clone()).await;
    let link = Proxy::start(target.address, target.down()).await;
    store.register(&target, link.address, false).await;
    Endpoint { target, link }
}
