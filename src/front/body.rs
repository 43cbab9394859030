//! Reading the body of a request within limits, and writing that of a response.

use std::time::Duration;

use laburnum_core::fault::{Fault, Kind};
use poem::{
    Body, Response,
    error::ReadBodyError,
    http::{HeaderMap, StatusCode, header},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::time::timeout;

use super::problem::Refusal;
use crate::settings::traffic::Callers;

/// The longest reason of a decoder that an error repeats, in characters.
const MAX_REASON: usize = 300;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest body in bytes.
    pub size: usize,
    /// The time in which the body must arrive.
    pub read_timeout: Duration,
}

impl From<&Callers> for Limits {
    fn from(callers: &Callers) -> Limits {
        let size = usize::try_from(callers.body_limit).unwrap_or(usize::MAX);
        Limits { size, read_timeout: callers.body_read }
    }
}

/// Refuses a body whose stated length is over the limit, before any of it is
/// read.
pub fn announced(headers: &HeaderMap, limits: Limits) -> Result<(), Refusal> {
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

/// Reads a whole body. The limit on its size holds whether or not the request
/// states a length.
pub async fn read(body: Body, limits: Limits) -> Result<Vec<u8>, Refusal> {
    let read = timeout(limits.read_timeout, body.into_bytes_limit(limits.size)).await;
    match read {
        Ok(Ok(bytes)) => Ok(bytes.into()),
        Ok(Err(ReadBodyError::PayloadTooLarge)) => Err(too_large("", limits)),
        Ok(Err(error)) => {
            let detail = format!("body: it cannot be read: {error}");
            Err(Fault::not_run(Kind::Malformed, detail).into())
        }
        Err(_) => {
            let detail = format!("body: allowed are {} ms", limits.read_timeout.as_millis());
            Err(Fault::not_run(Kind::SlowCaller, detail).into())
        }
    }
}

/// Reads a JSON document as a raw structure.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    serde_json::from_slice(bytes).map_err(|e| {
        let why: String = e.to_string().chars().take(MAX_REASON).collect();
        Fault::not_run(Kind::Malformed, format!("body: {why}"))
    })
}

/// Makes a response with a JSON document.
pub fn json<T: Serialize>(status: StatusCode, document: &T) -> Result<Response, Refusal> {
    let body = Body::from_json(document).map_err(|e| {
        // Only the encoding failed; the request was carried out.
        Fault::unknown(Kind::Internal, format!("the answer cannot be encoded: {e}"))
    })?;
    Ok(Response::builder().status(status).content_type("application/json").body(body))
}
