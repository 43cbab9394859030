//! The JSON bodies of requests and replies between VMs and targets.
//!
//! They are separate from the types of `laburnum_core::target`, so that the names on
//! the wire do not change with the names in the code.

use std::{sync::Arc, time::Duration};

use http::StatusCode;
use laburnum_core::{
    id, key,
    name::Name,
    target::{Outcome, Refusal, Reply, Request, Row, Status, Version, Work},
};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};
use uuid::Uuid;

/// The path of searches.
pub const SEARCH_PATH: &str = "/v1/search";
/// The path of non-idempotent operations.
pub const OPERATE_PATH: &str = "/v1/operate";
/// The path of the status.
pub const STATUS_PATH: &str = "/v1/status";

/// The body of a search.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Search {
    /// The id that the reply echoes.
    pub attempt: id::Attempt,
    /// The time that remains until the deadline.
    #[serde(rename = "remaining_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// The version to read.
    pub version: Version,
    /// The range to read.
    pub range: key::Range,
    /// The text that the rows must match.
    pub text: Arc<str>,
}

/// The body of a non-idempotent operation.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operate {
    /// The id that the reply echoes.
    pub attempt: id::Attempt,
    /// The time that remains until the deadline.
    #[serde(rename = "remaining_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub remaining: Duration,
    /// The key that the operation is about.
    pub subject: u64,
    /// The name of the operation.
    pub operation: Name,
    /// The parameters of the operation.
    pub detail: Arc<str>,
    /// Identifies this run of the operation.
    pub token: Uuid,
}

/// The body of the reply to a search.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rows {
    /// The id from the request.
    pub attempt: Option<id::Attempt>,
    /// The version that was read.
    pub version: Version,
    /// The range that was read.
    pub range: key::Range,
    pub rows: Vec<Row>,
    /// The number of rows that the target meant to send.
    pub count: u64,
    /// The digest of the rows that the target meant to send.
    pub digest: u64,
    /// The status of the target.
    pub status: Option<Status>,
}

/// The body of the reply to an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The id from the request.
    pub attempt: Option<id::Attempt>,
    /// The result of the operation.
    pub result: Arc<str>,
    /// The status of the target.
    pub status: Option<Status>,
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The id from the request.
    pub attempt: Option<id::Attempt>,
    /// The reason why the request was not started.
    pub refusal: Refusal,
    /// The status of the target.
    pub status: Option<Status>,
}

/// The HTTP status code of a refusal.
pub fn refusal_code(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::VersionGone => StatusCode::GONE,
        Refusal::RangeMoved => StatusCode::CONFLICT,
        Refusal::Shed | Refusal::Draining | Refusal::DeadlinePassed | Refusal::Cancelled => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// A request as it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoded {
    pub path: &'static str,
    /// The body of the request, a JSON text.
    pub json: Vec<u8>,
}

/// Encodes a request.
pub fn encode(request: Request) -> serde_json::Result<Encoded> {
    let Request { attempt, work, remaining } = request;
    match work {
        Work::Search { version, range, text } => {
            let body = Search { attempt, remaining, version, range, text };
            Ok(Encoded { path: SEARCH_PATH, json: serde_json::to_vec(&body)? })
        }
        Work::Operate { subject, operation, detail, token } => {
            let body = Operate { attempt, remaining, subject, operation, detail, token };
            Ok(Encoded { path: OPERATE_PATH, json: serde_json::to_vec(&body)? })
        }
    }
}

/// Decodes the reply to a request that was sent to `path`.
///
/// A reply that cannot be decoded becomes [`Outcome::Garbled`], so that there is
/// always a reply to decide on.
pub fn decode(path: &str, code: StatusCode, json: &[u8]) -> Reply {
    let decoded = if code != StatusCode::OK {
        decode_refusal(code, json)
    } else if path == SEARCH_PATH {
        decode_rows(json)
    } else {
        decode_done(json)
    };
    decoded.unwrap_or_else(|error| garbled(format!("status {code}: {error}")))
}

/// Makes the reply that stands for one that cannot be decoded.
pub fn garbled(detail: String) -> Reply {
    Reply { attempt: None, outcome: Outcome::Garbled { detail }, status: None }
}

fn decode_rows(json: &[u8]) -> serde_json::Result<Reply> {
    let Rows { attempt, version, range, rows, count, digest, status } =
        serde_json::from_slice(json)?;
    let outcome = Outcome::Rows { version, range, rows, count, digest };
    Ok(Reply { attempt, outcome, status })
}

fn decode_done(json: &[u8]) -> serde_json::Result<Reply> {
    let Done { attempt, result, status } = serde_json::from_slice(json)?;
    Ok(Reply { attempt, outcome: Outcome::Done { result }, status })
}

fn decode_refusal(found: StatusCode, json: &[u8]) -> serde_json::Result<Reply> {
    let Refused { attempt, refusal, status } = serde_json::from_slice(json)?;
    if refusal_code(refusal) != found {
        // If the status code contradicts the body, the refusal does not prove that the
        // request did not run.
        return Ok(garbled(format!("status {found} with refusal {refusal:?}")));
    }
    Ok(Reply { attempt, outcome: Outcome::Refused(refusal), status })
}
