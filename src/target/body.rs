//! The JSON bodies between VMs and targets.
//!
//! They are apart from the types of the border, so that the names on the wire
//! do not change with the names in the code.

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
pub const SEARCH: &str = "/v1/search";
/// The path of non-idempotent operations.
pub const OPERATE: &str = "/v1/operate";
/// The path of the status.
pub const STATUS: &str = "/v1/status";

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
    /// What the rows must match.
    pub text: Arc<str>,
}

/// The body of an operation.
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
    /// The operation.
    pub operation: Name,
    /// What exactly is asked.
    pub detail: Arc<str>,
    /// Names this one run.
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
    /// The rows.
    pub rows: Vec<Row>,
    /// The number of rows that the target meant to send.
    pub count: u64,
    /// The digest of the rows that the target meant to send.
    pub digest: u64,
    /// What the target says of itself.
    pub status: Option<Status>,
}

/// The body of the reply to an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Done {
    /// The id from the request.
    pub attempt: Option<id::Attempt>,
    /// What the operation returned.
    pub result: Arc<str>,
    /// What the target says of itself.
    pub status: Option<Status>,
}

/// The body of a refusal.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// The id from the request.
    pub attempt: Option<id::Attempt>,
    /// Why the request was not started.
    pub refusal: Refusal,
    /// What the target says of itself.
    pub status: Option<Status>,
}

/// The HTTP status code of a refusal.
pub fn code(refusal: Refusal) -> StatusCode {
    match refusal {
        Refusal::VersionGone => StatusCode::GONE,
        Refusal::RangeMoved => StatusCode::CONFLICT,
        Refusal::Shed | Refusal::Draining | Refusal::DeadlinePassed | Refusal::Cancelled => {
            StatusCode::SERVICE_UNAVAILABLE
        }
    }
}

/// A request as it is sent: its path and its body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Encoded {
    /// The path.
    pub path: &'static str,
    /// The JSON text.
    pub json: Vec<u8>,
}

/// Encodes a request.
pub fn encode(request: Request) -> serde_json::Result<Encoded> {
    let Request { attempt, work, remaining } = request;
    match work {
        Work::Search { version, range, text } => {
            let body = Search { attempt, remaining, version, range, text };
            Ok(Encoded { path: SEARCH, json: serde_json::to_vec(&body)? })
        }
        Work::Operate { subject, operation, detail, token } => {
            let body = Operate { attempt, remaining, subject, operation, detail, token };
            Ok(Encoded { path: OPERATE, json: serde_json::to_vec(&body)? })
        }
    }
}

/// Decodes the reply to a request that was sent to `path`.
///
/// What cannot be read becomes [`Outcome::Garbled`], so that the caller always
/// has a reply to decide on.
pub fn decode(path: &str, code: StatusCode, json: &[u8]) -> Reply {
    let read = if code != StatusCode::OK {
        refused(code, json)
    } else if path == SEARCH {
        rows(json)
    } else {
        done(json)
    };
    read.unwrap_or_else(|error| garbled(format!("status {code}: {error}")))
}

/// Makes the reply that stands for one that could not be read.
pub fn garbled(detail: String) -> Reply {
    Reply { attempt: None, outcome: Outcome::Garbled { detail }, status: None }
}

fn rows(json: &[u8]) -> serde_json::Result<Reply> {
    let Rows { attempt, version, range, rows, count, digest, status } =
        serde_json::from_slice(json)?;
    let outcome = Outcome::Rows { version, range, rows, count, digest };
    Ok(Reply { attempt, outcome, status })
}

fn done(json: &[u8]) -> serde_json::Result<Reply> {
    let Done { attempt, result, status } = serde_json::from_slice(json)?;
    Ok(Reply { attempt, outcome: Outcome::Done { result }, status })
}

fn refused(found: StatusCode, json: &[u8]) -> serde_json::Result<Reply> {
    let Refused { attempt, refusal, status } = serde_json::from_slice(json)?;
    if code(refusal) != found {
        // A code that contradicts the body is no proof that nothing ran.
        return Ok(garbled(format!("status {found} with refusal {refusal:?}")));
    }
    Ok(Reply { attempt, outcome: Outcome::Refused(refusal), status })
}
