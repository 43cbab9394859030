//! An exchange with a target: a request and its reply, or a failure.

use std::{error::Error, net::SocketAddr, time::Duration};

use http::{StatusCode, header::CONTENT_TYPE};
use laburnum_core::{
    memory::Full,
    target::{Reply, Request, Status},
};

use super::{Rules, body};

/// The failure of an exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection was lost before any byte of the request was handed to it.
    Unsent { detail: String },
    /// The stream failed, but the connection is still usable. The request may have run.
    Stream { detail: String },
    /// The connection was lost. The request may have run.
    Connection { detail: String },
}

/// A connection to a target, over which exchanges run.
#[derive(Clone, Debug)]
pub struct Channel {
    /// The HTTP client, which is limited to one connection; see [`super::dial`].
    pub client: reqwest::Client,
    pub address: SocketAddr,
    pub rules: Rules,
}

impl Channel {
    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    /// Sends a request and reads the reply.
    pub async fn send(self, request: Request) -> Result<Reply, Failure> {
        let encoded =
            body::encode(request).map_err(|error| Failure::Unsent { detail: error.to_string() })?;
        let sending = self
            .client
            .post(self.url(encoded.path))
            .header(CONTENT_TYPE, "application/json")
            .body(encoded.json)
            .send();
        let response = sending.await.map_err(|error| classify(&error))?;
        let code = response.status();
        let bytes = self.read_body(response).await?;
        Ok(body::decode(encoded.path, code, &bytes))
    }

    /// Reads the status of the target within `limit`.
    pub async fn read_status(self, limit: Duration) -> Result<Status, Failure> {
        match tokio::time::timeout(limit, self.fetch_status()).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Connection {
                detail: format!("no status within {} ms", limit.as_millis()),
            }),
        }
    }

    async fn fetch_status(&self) -> Result<Status, Failure> {
        let sending = self.client.get(self.url(body::STATUS_PATH)).send();
        let response = sending.await.map_err(|error| classify(&error))?;
        let code = response.status();
        if code != StatusCode::OK {
            return Err(Failure::Stream { detail: format!("status was answered with {code}") });
        }
        let bytes = self.read_body(response).await?;
        serde_json::from_slice(&bytes)
            .map_err(|error| Failure::Stream { detail: format!("status: {error}") })
    }

    async fn read_body(&self, mut response: reqwest::Response) -> Result<Vec<u8>, Failure> {
        let limit = self.rules.limits.body_bytes;
        let mut arrival = self.rules.ledger.begin_reply();
        let closer = arrival.closer();
        let mut bytes = Vec::new();
        loop {
            let chunk = tokio::select! {
                biased;
                () = closer.notified() => return Err(unheld(Full)),
                chunk = response.chunk() => chunk.map_err(|error| classify(&error))?,
            };
            let Some(chunk) = chunk else { return Ok(bytes) };
            let length = bytes.len() + chunk.len();
            if length > limit {
                let detail = format!("reply is longer than {limit} bytes");
                return Err(Failure::Stream { detail });
            }
            arrival.grow_to(length).map_err(unheld)?;
            bytes.extend_from_slice(&chunk);
        }
    }
}

/// Returns the failure of an exchange for whose reply there is no room.
fn unheld(full: Full) -> Failure {
    Failure::Stream { detail: full.to_string() }
}

/// Classifies an error of the HTTP client by its effect on the connection.
///
/// Only a connect error proves that nothing was sent: it is the connector's refusal to
/// run a second time. A reset affects one stream. Any other error counts as the loss of
/// the connection.
fn classify(error: &reqwest::Error) -> Failure {
    let detail = error_chain(error);
    if error.is_connect() {
        Failure::Unsent { detail }
    } else if is_reset(error) {
        Failure::Stream { detail }
    } else {
        Failure::Connection { detail }
    }
}

fn is_reset(error: &reqwest::Error) -> bool {
    causes(error).any(|cause| cause.downcast_ref::<h2::Error>().is_some_and(h2::Error::is_reset))
}

/// The texts of an error and its sources.
fn error_chain(error: &reqwest::Error) -> String {
    let texts: Vec<String> = causes(error).map(ToString::to_string).collect();
    texts.join(": ")
}

fn causes<'a>(error: &'a reqwest::Error) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    let first: &'a (dyn Error + 'static) = error;
    std::iter::successors(Some(first), |cause: &&'a (dyn Error + 'static)| (*cause).source())
}
