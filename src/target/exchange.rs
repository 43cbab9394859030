//! One exchange with a target: a request and its reply, or how it failed.

use std::{error::Error, net::SocketAddr, time::Duration};

use http::{StatusCode, header::CONTENT_TYPE};
use laburnum_core::target::{Reply, Request, Status};

use super::{Limits, body};

/// How an exchange failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte of the request was handed to the connection, which is lost.
    Unsent { detail: String },
    /// The stream failed and the connection goes on. The request may have run.
    Stream { detail: String },
    /// The connection is lost. The request may have run.
    Connection { detail: String },
}

/// The means of an exchange over one connection.
#[derive(Clone, Debug)]
pub struct Channel {
    /// The client that is held to one connection.
    pub client: reqwest::Client,
    /// The address of the target.
    pub address: SocketAddr,
    /// The bounds of a reply.
    pub limits: Limits,
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
        let text = self.read(response).await?;
        Ok(body::decode(encoded.path, code, &text))
    }

    /// Reads the status of the target within `limit`.
    pub async fn ask(self, limit: Duration) -> Result<Status, Failure> {
        match tokio::time::timeout(limit, self.status()).await {
            Ok(result) => result,
            Err(_) => Err(Failure::Connection {
                detail: format!("no status within {} ms", limit.as_millis()),
            }),
        }
    }

    async fn status(&self) -> Result<Status, Failure> {
        let sending = self.client.get(self.url(body::STATUS)).send();
        let response = sending.await.map_err(|error| classify(&error))?;
        let code = response.status();
        if code != StatusCode::OK {
            return Err(Failure::Stream { detail: format!("status was answered with {code}") });
        }
        let text = self.read(response).await?;
        serde_json::from_slice(&text)
            .map_err(|error| Failure::Stream { detail: format!("status: {error}") })
    }

    async fn read(&self, mut response: reqwest::Response) -> Result<Vec<u8>, Failure> {
        let mut text = Vec::new();
        while let Some(chunk) = response.chunk().await.map_err(|error| classify(&error))? {
            if text.len() + chunk.len() > self.limits.body {
                let detail = format!("reply is longer than {} bytes", self.limits.body);
                return Err(Failure::Stream { detail });
            }
            text.extend_from_slice(&chunk);
        }
        Ok(text)
    }
}

/// Tells what an error of the HTTP client means for the connection.
///
/// Only a connect error proves that nothing was sent: the connector runs once,
/// so that error is the refusal to run again. A reset concerns one stream.
/// Anything else is taken as the loss of the connection.
fn classify(error: &reqwest::Error) -> Failure {
    let detail = describe(error);
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

fn describe(error: &reqwest::Error) -> String {
    let texts: Vec<String> = causes(error).map(ToString::to_string).collect();
    texts.join(": ")
}

fn causes<'a>(error: &'a reqwest::Error) -> impl Iterator<Item = &'a (dyn Error + 'static)> {
    let first: &'a (dyn Error + 'static) = error;
    std::iter::successors(Some(first), |cause: &&'a (dyn Error + 'static)| (*cause).source())
}
