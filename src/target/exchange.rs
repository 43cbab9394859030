//! An exchange with a target: a request and its reply, or a failure.

use std::{error::Error, net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Method, StatusCode, header::CONTENT_TYPE};
use http_body_util::{BodyExt, Full};
use hyper::{body::Incoming, client::conn::http2::SendRequest};
use laburnum_core::{
    memory,
    target::{Reply, Request, Status},
};
use laburnum_http::describe;

use super::{
    Rules, body, dial,
    meter::{self, Meter},
};

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
    sender: SendRequest<Full<Bytes>>,
    meter: Meter,
    address: SocketAddr,
    rules: Rules,
}

/// The head of a reply, and its body on its way in.
struct Arrival {
    code: StatusCode,
    body: Incoming,
    exchange: meter::Exchange,
}

impl Channel {
    /// Connects to a target.
    pub async fn open(address: SocketAddr, rules: Rules) -> Result<Channel, Failure> {
        let opened = dial::open(address).await;
        let dial::Link { sender, meter } =
            opened.map_err(|error| Failure::Unsent { detail: format!("connect: {error}") })?;
        Ok(Channel { sender, meter, address, rules })
    }

    /// Sends a request and reads the reply.
    pub async fn send(self, request: Request) -> Result<Reply, Failure> {
        let encoded =
            body::encode(request).map_err(|error| Failure::Unsent { detail: error.to_string() })?;
        let request = self
            .request(Method::POST, encoded.path)
            .header(CONTENT_TYPE, "application/json")
            .body(Full::from(encoded.json));
        let arrival = self.begin(request).await?;
        let code = arrival.code;
        let bytes = self.read_body(arrival).await?;
        Ok(body::decode(encoded.path, code, &bytes))
    }

    /// Reads the status of the target within `limit`.
    pub async fn read_status(self, limit: Duration) -> Result<Status, Failure> {
        match tokio::time::timeout(limit, self.fetch_status()).await {
            Ok(result) => result,
            Err(_) => Err(late_status(limit)),
        }
    }

    async fn fetch_status(&self) -> Result<Status, Failure> {
        let request = self.request(Method::GET, body::STATUS_PATH).body(Full::default());
        let arrival = self.begin(request).await?;
        if arrival.code != StatusCode::OK {
            let detail = format!("status was answered with {}", arrival.code);
            return Err(Failure::Stream { detail });
        }
        let bytes = self.read_body(arrival).await?;
        serde_json::from_slice(&bytes)
            .map_err(|error| Failure::Stream { detail: format!("status: {error}") })
    }

    fn request(&self, method: Method, path: &str) -> http::request::Builder {
        let uri = format!("http://{}{path}", self.address);
        http::Request::builder().method(method).uri(uri)
    }

    /// Sends a request and waits for the head of its reply.
    async fn begin(
        &self,
        request: http::Result<http::Request<Full<Bytes>>>,
    ) -> Result<Arrival, Failure> {
        let request = request.map_err(|error| Failure::Unsent { detail: error.to_string() })?;
        let exchange = self.meter.begin();
        let sending = self.sender.clone().try_send_request(request);
        let response = sending.await.map_err(|mut error| {
            // hyper returns a request of which it has sent nothing.
            let is_unsent = error.take_message().is_some();
            let error = error.error();
            if is_unsent { Failure::Unsent { detail: describe(error) } } else { classify(error) }
        })?;
        exchange.deliver();
        Ok(Arrival { code: response.status(), body: response.into_body(), exchange })
    }

    async fn read_body(&self, arrival: Arrival) -> Result<Vec<u8>, Failure> {
        let Arrival { mut body, exchange, .. } = arrival;
        let limit = self.rules.limits.body_bytes;
        let mut held = self.rules.ledger.begin_reply();
        let closer = held.closer();
        let mut bytes = Vec::new();
        loop {
            let frame = tokio::select! {
                biased;
                () = closer.notified() => return Err(unheld(memory::Full)),
                frame = body.frame() => frame.transpose().map_err(|error| classify(&error))?,
            };
            let Some(frame) = frame else {
                exchange.finish();
                return Ok(bytes);
            };
            let Ok(piece) = frame.into_data() else { continue };
            if piece.is_empty() {
                continue;
            }
            exchange.deliver();
            let length = bytes.len() + piece.len();
            if length > limit {
                let detail = format!("reply is longer than {limit} bytes");
                return Err(Failure::Stream { detail });
            }
            held.grow_to(length).map_err(unheld)?;
            bytes.extend_from_slice(&piece);
        }
    }
}

/// Returns the failure of a connection on which no status came within `limit`.
pub fn late_status(limit: Duration) -> Failure {
    Failure::Connection { detail: format!("no status within {} ms", limit.as_millis()) }
}

/// Returns the failure of an exchange for whose reply there is no room.
fn unheld(full: memory::Full) -> Failure {
    Failure::Stream { detail: full.to_string() }
}

/// Classifies an error of a request that may have been sent, by its effect on the
/// connection: a reset affects one stream, any other error counts as the loss of the
/// connection.
fn classify(error: &hyper::Error) -> Failure {
    let detail = describe(error);
    if is_reset(error) { Failure::Stream { detail } } else { Failure::Connection { detail } }
}

fn is_reset(error: &hyper::Error) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<h2::Error>());
    cause.is_some_and(h2::Error::is_reset)
}
