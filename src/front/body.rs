//! Reads request bodies within limits and writes response bodies.

use std::time::Duration;

use bytes::Bytes;
use http_body::Body as _;
use http_body_util::{BodyExt, combinators::BoxBody};
use laburnum_core::{
    fault::{Fault, Kind},
    memory::Full,
};
use laburnum_http::buffer::Buffer;
use poem::{
    Body, IntoResponse, Response,
    http::{HeaderMap, StatusCode, header},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use super::problem::Refusal;
use crate::{memory::Hold, settings::traffic::Callers};

/// The most characters of a decoder's message that a fault repeats.
const MAX_REASON_CHARS: usize = 300;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest body in bytes.
    pub size: usize,
    /// The time within which the whole body must arrive.
    pub read_timeout: Duration,
}

impl From<&Callers> for Limits {
    fn from(callers: &Callers) -> Limits {
        let size = usize::try_from(callers.body_limit_bytes).unwrap_or(usize::MAX);
        Limits { size, read_timeout: callers.body_read_timeout }
    }
}

/// Refuses a body whose `Content-Length` is over the limit, before any of it is
/// read.
pub fn check_content_length(headers: &HeaderMap, limits: Limits) -> Result<(), Refusal> {
    let length = headers.get(header::CONTENT_LENGTH).and_then(|value| value.to_str().ok());
    match length.and_then(|length| length.parse::<u64>().ok()) {
        Some(length) if usize::try_from(length).is_ok_and(|length| length <= limits.size) => Ok(()),
        Some(length) => Err(too_large(&format!("found {length} bytes, "), limits)),
        None => Ok(()),
    }
}

fn too_large(found: &str, limits: Limits) -> Refusal {
    let detail = format!("body: {found}allowed are {} bytes", limits.size);
    Fault::not_run(Kind::TooLarge, detail).into()
}

/// Reads a whole body, which counts in `hold` as it arrives. The limit on its size also
/// holds for a request without `Content-Length`.
pub async fn read(body: Body, limits: Limits, hold: Hold) -> Result<Bytes, Refusal> {
    match timeout(limits.read_timeout, collect(body, limits, hold)).await {
        Ok(read) => read,
        Err(_) => {
            let detail = format!("body: allowed are {} ms", limits.read_timeout.as_millis());
            Err(Fault::not_run(Kind::SlowCaller, detail).into())
        }
    }
}

async fn collect(body: Body, limits: Limits, mut hold: Hold) -> Result<Bytes, Refusal> {
    let mut body = BoxBody::from(body);
    let expected = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    let mut bytes = Buffer::new(expected);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| {
            Fault::not_run(Kind::Malformed, format!("body: cannot be read: {error}"))
        })?;
        // A trailer is no part of the body.
        let Ok(data) = frame.into_data() else { continue };
        if bytes.len() + data.len() > limits.size {
            return Err(too_large("", limits));
        }
        if !bytes.push(&data, &mut hold) {
            return Err(no_room(Full));
        }
    }
    Ok(hold.keep(bytes.into_bytes()))
}

/// Makes the refusal of a request for which there is no room.
pub fn no_room(full: Full) -> Refusal {
    Fault::not_run(Kind::TooManyOpen, full.to_string()).into()
}

/// Counts the body of a response until the caller has taken it. An answer for which there is
/// no room is dropped, and its caller does not learn whether the request ran.
pub async fn hold_answer(response: Response, mut hold: Hold) -> Response {
    if response.extensions().get::<Counted>().is_some() {
        return response;
    }
    let (parts, body) = response.into_parts();
    let bytes = match body.into_bytes().await {
        Ok(bytes) => bytes,
        Err(error) => return lost_answer(error.to_string()),
    };
    match hold.grow_to(bytes.len()) {
        Ok(()) => Response::from_parts(parts, Body::from_bytes(hold.keep(bytes))),
        Err(full) => lost_answer(full.to_string()),
    }
}

/// Makes the response to a request that may have run and whose answer cannot be sent.
fn lost_answer(detail: String) -> Response {
    Refusal::from(Fault::unknown(Kind::Internal, detail)).into_response()
}

/// Marks a response of whose body this many bytes count already.
#[derive(Clone, Copy, Debug)]
pub struct Counted(pub usize);

/// Decodes a JSON document into a structure whose values are not checked yet.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(bytes).map_err(|e| {
        let reason: String = e.to_string().chars().take(MAX_REASON_CHARS).collect();
        Fault::not_run(Kind::Malformed, format!("body: {reason}"))
    })
}

/// Makes a response whose body is `document` as JSON.
pub fn json<T: Serialize>(status: StatusCode, document: &T) -> Result<Response, Refusal> {
    let body = Body::from_json(document).map_err(|e| {
        // Only the encoding failed; the request itself may have run.
        Fault::unknown(Kind::Internal, format!("the answer cannot be encoded: {e}"))
    })?;
    Ok(Response::builder().status(status).content_type("application/json").body(body))
}
