//! The stand-in of the store, its faults, and what others than relays write.

use std::{
    net::{SocketAddr, TcpListener},
    time::Instant,
};

use laburnumworks::standin::platform::{List, serve};
use serde_json::{Value, json};

use crate::{
    bed::{self, SHARDS},
    entries::{self, CONFIG, Document, target_key},
    ledger::{Drain, Ledger, Version},
    target::{SLOTS, Target},
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
        let entry = entries::target(target.service(), address, SLOTS, drains);
        self.put(&entry_path(&target_key(target.id())), &entry).await;
        if drains {
            let row = Drain { target: target.id().to_owned(), acknowledged: Instant::now() };
            self.ledger.rows().drains.push(row);
        }
    }

    /// Writes a version of the configuration.
    pub async fn configure(&self, number: u64, shards: &[&'static str], desk: &'static str) {
        let written = Instant::now();
        self.put(&entry_path(CONFIG), &config(number, shards, desk)).await;
        let acknowledged = Instant::now();
        let shards = shards.to_vec();
        let row = Version { number, shards, desk, written, acknowledged };
        self.ledger.rows().versions.push(row);
    }
}

/// Where an entry is written in the place of its writer.
fn entry_path(key: &str) -> String {
    format!("/v1/entry?key={key}")
}

fn config(number: u64, shards: &[&str], desk: &str) -> Value {
    let services: Vec<&str> = SHARDS.concat().into_iter().chain(bed::DESKS).collect();
    let document = Document {
        version: number,
        search: bed::SEARCH,
        shards,
        top_k: bed::TOP,
        min_coverage: bed::LEAST,
        operation: bed::OPERATION,
        desk,
        services: &services,
        connections: bed::CONNECTIONS,
    };
    document.write()
}
