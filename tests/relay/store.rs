//! The stand-in for the store, and the entries that others than the relay write.

use std::net::{SocketAddr, TcpListener};

use laburnum_platform::store::shape::KEY_PATH;
use laburnumworks::standin::platform::{List, serve};
use reqwest::StatusCode;
use serde_json::Value;

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
        let url = format!("http://{}/v1/faults", self.address);
        let response = self.client.put(url).body(faults.to_string()).send().await.unwrap();
        assert!(response.status().is_success());
    }

    /// Returns whether a key exists.
    pub async fn has(&self, key: &str) -> bool {
        let url = format!("http://{}{KEY_PATH}?key={key}", self.address);
        self.client.get(url).send().await.unwrap().status() == StatusCode::OK
    }
}
