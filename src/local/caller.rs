//! A caller and operator of a local deployment, over HTTP.

use std::{net::SocketAddr, time::Duration};

use reqwest::{Client, StatusCode};
use serde_json::Value;

use super::OPERATOR_TOKEN;

/// The time after which a request is given up.
const LIMIT: Duration = Duration::from_secs(10);

/// An HTTP client for callers and operators.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client,
}

/// An answer: the status code and the document.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status code.
    pub status: StatusCode,
    /// The document, or null if it was none.
    pub body: Value,
}

impl Caller {
    /// Makes a caller.
    pub fn new() -> reqwest::Result<Caller> {
        Client::builder().no_proxy().timeout(LIMIT).build().map(|client| Caller { client })
    }

    /// Sends a document with a method to a path.
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

    /// Sends a search to a VM.
    pub async fn search(
        &self,
        vm: SocketAddr,
        profile: &str,
        text: &str,
    ) -> reqwest::Result<Reply> {
        let body = serde_json::json!({ "profile": profile, "text": text });
        self.send(reqwest::Method::POST, vm, "/v1/search", &[], &body).await
    }

    /// Sends an operation to a VM.
    pub async fn operate(&self, vm: SocketAddr, key: &str, body: &Value) -> reqwest::Result<Reply> {
        let headers = [("Idempotency-Key", key)];
        self.send(reqwest::Method::POST, vm, "/v1/operations", &headers, body).await
    }

    /// Publishes profiles through a VM.
    pub async fn publish(&self, vm: SocketAddr, profiles: &Value) -> reqwest::Result<Reply> {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("Authorization", token.as_str())];
        let body = serde_json::json!({ "profiles": profiles });
        self.send(reqwest::Method::PUT, vm, "/v1/profiles", &headers, &body).await
    }

    /// Reads a text of an operator's address.
    pub async fn text(&self, address: SocketAddr, path: &str) -> reqwest::Result<String> {
        let request =
            self.client.get(format!("http://{address}{path}")).bearer_auth(OPERATOR_TOKEN);
        request.send().await?.text().await
    }

    /// Reads a document of an operator's or administration address.
    pub async fn read(&self, address: SocketAddr, path: &str) -> reqwest::Result<Reply> {
        let token = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("Authorization", token.as_str())];
        self.send(reqwest::Method::GET, address, path, &headers, &Value::Null).await
    }
}
