//! The stand-in of the store, and what others than the relay write there.

use std::net::{SocketAddr, TcpListener};

use laburnum_platform::store::shape::KEY_PATH;
use laburnumworks::standin::platform::{List, serve};
use reqwest::StatusCode;
use serde_json::Value;

/// A store that runs until the runtime of the test ends.
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

    /// Writes a key in the place of operators and targets.
    pub async fn put(&self, key: &str, value: &Value) {
        let url = format!("http://{}/v1/entry?key={key}", self.address);
        let response = self.client.put(url).body(value.to_string()).send().await.unwrap();
        assert_eq!(response.status(), StatusCode::NO_CONTENT);
    }

    /// Whether a key exists.
    pub async fn has(&self, key: &str) -> bool {
        let url = format!("http://{}{KEY_PATH}?key={key}", self.address);
        self.client.get(url).send().await.unwrap().status() == StatusCode::OK
    }
}
