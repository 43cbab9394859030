//! An HTTP client for callers and operators of a local deployment.

use std::{net::SocketAddr, time::Duration};

use reqwest::{Client, StatusCode};
use serde_json::Value;

use super::OPERATOR_TOKEN;

/// The time after which a request fails without an answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(10);

/// Sends the requests of callers and operators.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
}

/// The answer to a request.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: StatusCode,
    /// The JSON document, or null if the body is not JSON.
    pub body: Value,
}

impl Caller {
    /// Makes a client that uses no proxy.
    pub fn new() -> reqwest::Result<Caller> {
        Client::builder()
            .no_proxy()
            .timeout(REQUEST_TIMEOUT)
            .build()
            .map(|client| Caller { client })
    }

    /// Sends a request to `path` at `address`. A null `body` sends no document.
    pub async fn send(
        &self,
        method: reqwest::Method,
        address: SocketAddr,
        path: &str,
        headers: &[(&str, &str)],
        body: &Value,
    ) -> reqwest::Result<Reply> {
        let url = format!("http://{address}{path}");
        let mut request = self.client.request(method, url);
        if !body.is_null() {
            request = request.json(body);
        }
        for (key, value) in headers {
            request = request.header(*key, *value);
        }
        let response = request.send().await?;
        let status = response.status();
        let bytes = response.bytes().await?;
        let body = serde_json::from_slice(&bytes).unwrap_or(Value::Null);
        Ok(Reply { status, body })
    }

    /// Sends a search to `vm`, an address for callers.
    pub async fn search(
        &self,
        vm: SocketAddr,
        profile: &str,
        text: &str,
    ) -> reqwest::Result<Reply> {
        let body = serde_json::json!({ "profile": profile, "text": text });
        self.send(reqwest::Method::POST, vm, "/v1/search", &[], &body).await
    }

    /// Sends an operation with the idempotency key `key` to `vm`, an address
    /// for callers.
    pub async fn operate(&self, vm: SocketAddr, key: &str, body: &Value) -> reqwest::Result<Reply> {
        let headers = [("Idempotency-Key", key)];
        self.send(reqwest::Method::POST, vm, "/v1/operations", &headers, body).await
    }

    /// Publishes `profiles` through `vm`, an address for operators.
    pub async fn publish(&self, vm: SocketAddr, profiles: &Value) -> reqwest::Result<Reply> {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("Authorization", token.as_str())];
        let body = serde_json::json!({ "profiles": profiles });
        self.send(reqwest::Method::PUT, vm, "/v1/profiles", &headers, &body).await
    }

    /// Reads `path` as a text from an address for operators.
    pub async fn text(&self, address: SocketAddr, path: &str) -> reqwest::Result<String> {
        let request =
            self.client.get(format!("http://{address}{path}")).bearer_auth(OPERATOR_TOKEN);
        request.send().await?.text().await
    }

    /// Reads `path` as a document from an address for operators or from the
    /// administration address of a target.
    pub async fn read(&self, address: SocketAddr, path: &str) -> reqwest::Result<Reply> {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("Authorization", token.as_str())];
        self.send(reqwest::Method::GET, address, path, &headers, &Value::Null).await
    }
}
