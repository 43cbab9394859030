//! The stand-in of the store with its faults, and the writes of operators and targets.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    time::{Duration, Instant},
};

use laburnumworks::standin::platform::{List, serve};
use serde_json::{Value, json};
use tokio::sync::Mutex;

use crate::{
    deployment::{self, SHARD_SETS},
    entries::{self, CONFIG, Document, target_key},
    ledger::{Drain, Ledger, Version},
    target::{SLOTS, Target},
};

/// The stand-in of the store, which runs as a task of the test.
pub struct Store {
    pub address: SocketAddr,
    client: reqwest::Client,
    ledger: Ledger,
    /// What operators and targets wrote last, by its key.
    entries: Mutex<BTreeMap<String, Value>>,
}

impl Store {
    pub fn start(ledger: Ledger) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, List::default()));
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        Store { address, client, ledger, entries: Mutex::default() }
    }

    async fn put(&self, path: &str, body: &Value) {
        let url = format!("http://{}{path}", self.address);
        let response = self.client.put(url).body(body.to_string()).send().await.unwrap();
        assert!(response.status().is_success(), "{path}: {}", response.status());
    }

    /// Sets the faults that the relays see. Operators and targets see none. An empty
    /// object removes all faults.
    pub async fn set_faults(&self, faults: &Value) {
        self.put("/v1/faults", faults).await;
    }

    /// Discards the history of changes, so that watches cannot resume.
    pub async fn discard_history(&self) {
        self.put("/v1/history", &json!("forgotten")).await;
    }

    /// Takes a copy, from which the store can return.
    pub async fn take_copy(&self) {
        self.put("/v1/copy", &Value::Null).await;
    }

    /// Lets the store return from the copy after a time, and ends what is open before in
    /// the way `open`.
    pub async fn restore(&self, open: &str, away: Duration) {
        let away_ms = u64::try_from(away.as_millis()).unwrap();
        self.put("/v1/restore", &json!({ "open": open, "away_ms": away_ms })).await;
    }

    /// Writes an entry as its operator or target.
    async fn write(&self, key: &str, entry: Value) {
        let mut entries = self.entries.lock().await;
        self.put(&entry_path(key), &entry).await;
        entries.insert(key.to_owned(), entry);
    }

    /// Writes all entries again. Other writes wait, so that none is followed by an older
    /// one of its key.
    pub async fn write_again(&self) {
        for (key, entry) in &*self.entries.lock().await {
            self.put(&entry_path(key), entry).await;
        }
    }

    /// Registers a target at the address of its proxy and records it if it is draining.
    pub async fn register(&self, target: &Target, address: SocketAddr, is_draining: bool) {
        let entry = entries::target(target.service(), address, SLOTS, is_draining);
        self.write(&target_key(target.id()), entry).await;
        if is_draining {
            let row = Drain { target: target.id().to_owned(), acknowledged: Instant::now() };
            self.ledger.rows().drains.push(row);
        }
    }

    /// Writes a version of the configuration and records it.
    pub async fn configure(&self, number: u64, shards: &[&'static str], desk: &'static str) {
        let written = Instant::now();
        self.write(CONFIG, config(number, shards, desk)).await;
        let acknowledged = Instant::now();
        let shards = shards.to_vec();
        let row = Version { number, shards, desk, written, acknowledged };
        self.ledger.rows().versions.push(row);
    }
}

/// Returns the path that writes an entry directly, as its operator or target would.
fn entry_path(key: &str) -> String {
    format!("/v1/entry?key={key}")
}

fn config(number: u64, shards: &[&str], desk: &str) -> Value {
    let services: Vec<&str> =
        SHARD_SETS.concat().into_iter().chain(deployment::OPERATION_SERVICES).collect();
    let document = Document {
        version: number,
        search: deployment::SEARCH_ROUTE,
        shards,
        top_k: deployment::TOP_K,
        min_coverage: deployment::MIN_COVERAGE,
        operation: deployment::OPERATION_ROUTE,
        desk,
        services: &services,
        connections: deployment::MAX_CONNECTIONS,
    };
    document.write()
}
