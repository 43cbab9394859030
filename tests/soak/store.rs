//! The stand-in of the store, its faults, and what others than relays write.

use std::{
    net::{SocketAddr, TcpListener},
    time::Instant,
};

use laburnumworks::standin::platform::{List, serve};
use serde_json::{Value, json};

use crate::{
    bed::{self, SHARDS},
    ledger::{Drain, Ledger, Version},
    target::Target,
};

/// The store.
pub struct Store {
    pub address: SocketAddr,
    client: reqwest::Client,
    ledger: Ledger,
}

impl Store {
    pub fn start(ledger: Ledger) -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, List::default()));
        Store { address, client: reqwest::Client::builder().no_proxy().build().unwrap(), ledger }
    }

    async fn put(&self, path: &str, body: &Value) {
        let url = format!("http://{}{path}", self.address);
        let response = self.client.put(url).body(body.to_string()).send().await.unwrap();
        assert!(response.status().is_success(), "{path}: {}", response.status());
    }

    /// Puts faults in force for the relays; operators and targets have none.
    pub async fn faults(&self, faults: &Value) {
        self.put("/v1/faults", faults).await;
    }

    /// Discards the history of changes.
    pub async fn forget(&self) {
        self.put("/v1/history", &json!("forgotten")).await;
    }

    /// Registers a target at an address.
    pub async fn register(&self, target: &Target, address: SocketAddr, drains: bool) {
        let state = if drains { "draining" } else { "ready" };
        let entry = json!({"backend": target.service(), "addr": address, "zone": "near",
            "version": "v1", "max_concurrency": 4, "state": state, "cold_left_ms": 0,
            "sequence": 1, "born": 1});
        self.put(&format!("/v1/entry?key=servers/{}", target.id()), &entry).await;
        if drains {
            let row = Drain { target: target.id().to_owned(), acknowledged: Instant::now() };
            self.ledger.rows().drains.push(row);
        }
    }

    /// Writes a version of the configuration.
    pub async fn configure(&self, number: u64, shards: &[&'static str], desk: &'static str) {
        let written = Instant::now();
        self.put("/v1/entry?key=op/config", &config(number, shards, desk)).await;
        let acknowledged = Instant::now();
        let shards = shards.to_vec();
        let row = Version { number, shards, desk, written, acknowledged };
        self.ledger.rows().versions.push(row);
    }
}

fn config(number: u64, shards: &[&str], desk: &str) -> Value {
    let services = SHARDS.iter().flat_map(|set| set.iter()).chain(bed::DESKS.iter());
    let service = |name: &&str| json!({"name": name, "health_path": "/health", "max_conns": 40});
    json!({
        "version": number,
        "routes": [
            {"name": "search", "host": bed::HOST, "prefix": "/search/", "kind": "idempotent",
             "timeout_ms": bed::SEARCH_MS, "goal_ms": 100, "priority": 1,
             "attempts": bed::ATTEMPTS, "gather": shards, "top_k": bed::TOP,
             "min_fraction": bed::LEAST},
            {"name": "desk", "host": bed::HOST, "prefix": "/desk/", "kind": "non_idempotent",
             "timeout_ms": bed::DESK_MS, "goal_ms": 400, "priority": 1,
             "attempts": bed::ATTEMPTS, "backend": desk},
        ],
        "backends": services.map(service).collect::<Vec<Value>>(),
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262_144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
    })
}
