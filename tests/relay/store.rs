//! The stand-in for the store, and the entries that others than the relay write.

use std::{
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use laburnum_platform::store::shape::{KEY_PATH, Missing};
use laburnumworks::standin::platform::{List, serve};
use reqwest::{Response, StatusCode};
use serde_json::{Value, json};

/// A store that runs in the runtime of the test until the test ends.
pub struct Store {
    pub address: SocketAddr,
    client: reqwest::Client,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, List::default()));
        Store { address, client: reqwest::Client::builder().no_proxy().build().unwrap() }
    }

    /// Writes a key, as operators and targets do.
    pub async fn put(&self, key: &str, value: &Value) {
        let url = format!("http://{}/v1/entry?key={key}", self.address);
        let response = self.client.put(url).body(value.to_string()).send().await.unwrap();
        assert_eq!(response.status(), StatusCode::NO_CONTENT);
    }

    /// Sets the faults that the relays see. An empty object removes all faults.
    pub async fn set_faults(&self, faults: &Value) {
        self.control("/v1/faults", faults).await;
    }

    /// Takes a copy, from which the store can return.
    pub async fn take_copy(&self) {
        self.control("/v1/copy", &Value::Null).await;
    }

    /// Lets the store return from the copy after a time, and ends what is open before in
    /// the way `open`.
    pub async fn restore(&self, open: &str, away: Duration) {
        let away_ms = u64::try_from(away.as_millis()).unwrap();
        self.control("/v1/restore", &json!({ "open": open, "away_ms": away_ms })).await;
    }

    async fn control(&self, path: &str, body: &Value) {
        let url = format!("http://{}{path}", self.address);
        let response = self.client.put(url).body(body.to_string()).send().await.unwrap();
        assert!(response.status().is_success(), "{path}: {}", response.status());
    }

    /// Returns the number of the last change.
    pub async fn change(&self) -> u64 {
        self.read("none").await.json::<Missing>().await.unwrap().change
    }

    /// Returns whether a key exists.
    pub async fn has(&self, key: &str) -> bool {
        self.read(key).await.status() == StatusCode::OK
    }

    /// Reads a key over a new connection, because one of an earlier read may be silent.
    async fn read(&self, key: &str) -> Response {
        let url = format!("http://{}{KEY_PATH}?key={key}", self.address);
        let client = reqwest::Client::builder().no_proxy().build().unwrap();
        client.get(url).send().await.unwrap()
    }
}
