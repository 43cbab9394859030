//! The deployment of a soak.

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

/// The sets of shards that a configuration may name.
pub const SHARDS: [&[&str]; 2] = [&["one", "two", "three"], &["four", "five"]];
/// The services that operations may go to.
pub const DESKS: [&str; 2] = ["desk", "bureau"];
/// The targets of each service.
const REPLICAS: usize = 2;
/// All targets.
pub const TARGETS: usize = 7 * REPLICAS;
/// The times of searches.
pub const SEARCH: Route =
    Route { timeout: Duration::from_millis(700), goal: Duration::from_millis(100) };
/// The times of operations.
pub const OPERATION: Route =
    Route { timeout: Duration::from_millis(1200), goal: Duration::from_millis(400) };
/// The connections that each target takes.
pub const CONNECTIONS: u32 = 40;
/// The records of a search's answer.
pub const TOP: usize = 6;
/// The least share of shards in an answer.
pub const LEAST: f64 = 0.5;
/// The time for which a target that leaves serves on.
pub const DRAIN: Duration = Duration::from_secs(3);
/// The time in which a configuration is in force.
pub const APPLY: Duration = Duration::from_secs(3);
/// The extra attempts for each first one.
pub const RETRY_RATIO: f64 = 0.2;
/// The extra attempts of all VMs in a window beyond these.
pub const RETRY_SLACK: f64 = 40.0;
/// The window of the retry budget.
pub const RETRY_WINDOW: Duration = Duration::from_secs(10);
/// The cores of each relay; the last one hands its requests on.
pub const RELAYS: [f64; 3] = [1.0, 1.0, 0.1];

/// A target with the link to it.
pub struct Place {
    pub target: Target,
    pub link: Proxy,
}

/// Everything that runs.
pub struct Bed {
    pub ledger: Ledger,
    pub store: Store,
    pub places: Vec<Mutex<Place>>,
    pub uplinks: Vec<Proxy>,
    pub relays: Vec<Mutex<Relay>>,
    pub callers: Vec<Caller>,
    pub version: Mutex<u64>,
    client: reqwest::Client,
}

impl Bed {
    /// Starts everything and waits until the relays are ready.
    pub async fn start(folder: &Path) -> Arc<Bed> {
        let ledger = Ledger::default();
        let store = Store::start(ledger.clone());
        let mut places = Vec::new();
        for service in SHARDS.iter().flat_map(|set| set.iter()).chain(DESKS.iter()) {
            for number in 1..=REPLICAS {
                let id = format!("{service}-{number}");
                let place = place(&id, service, places.len(), &store, &ledger).await;
                places.push(Mutex::new(place));
            }
        }
        store.configure(1, SHARDS[0], DESKS[0]).await;
        let (mut uplinks, mut relays, mut callers) = (Vec::new(), Vec::new(), Vec::new());
        for (number, cores) in RELAYS.into_iter().enumerate() {
            let uplink = Proxy::start(store.address, up()).await;
            let relay = Relay::start(number, cores, uplink.address, folder, &ledger);
            let address = relay.callers;
            callers.push(Caller { relay: number, address, ledger: ledger.clone() });
            uplinks.push(uplink);
            relays.push(Mutex::new(relay));
        }
        let version = Mutex::new(1);
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        let bed = Bed { ledger, store, places, uplinks, relays, callers, version, client };
        bed.ready().await;
        Arc::new(bed)
    }

    /// Waits until every relay is ready.
    pub async fn ready(&self) {
        let since = Instant::now();
        for relay in &self.relays {
            while !relay.lock().await.is_ready(&self.client).await {
                assert!(since.elapsed() < Duration::from_secs(15), "a relay does not get ready");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// What never goes down.
fn up() -> watch::Receiver<bool> {
    // Without a sender the value stays as it is.
    watch::channel(false).1
}

/// Starts a target behind a link and registers it.
pub async fn place(
    id: &str,
    service: &'static str,
    number: usize,
    store: &Store,
    ledger: &Ledger,
) -> Place {
    let target = Target::start(id, service, number, ledger.clone()).await;
    let link = Proxy::start(target.address, target.down()).await;
    store.register(&target, link.address, false).await;
    Place { target, link }
}
