//! Decodes requests to `POST /v1/search` and encodes their responses.

use laburnum_core::{
    fault::{Fault, Kind},
    key::{Range, Set},
    target::Row,
    traffic::{Answer, Body, Found, Search},
};
use poem::{Response, http::StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{body, field, problem::Refusal};

/// The body of a request before it is checked.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "an object with profile, text and deadline_ms")]
struct Raw {
    profile: Option<Value>,
    text: Option<Value>,
    deadline_ms: Option<Value>,
}

impl TryFrom<Raw> for Search {
    type Error = Fault;

    fn try_from(raw: Raw) -> Result<Search, Fault> {
        Ok(Search {
            profile: field::name("profile", raw.profile.as_ref())?,
            text: field::text("text", raw.text.as_ref())?.into(),
            deadline: field::deadline(raw.deadline_ms.as_ref())?,
        })
    }
}

/// Decodes and checks the body of a request.
pub fn parse(bytes: &[u8]) -> Result<Search, Fault> {
    Search::try_from(body::decode::<Raw>(bytes)?)
}

/// The body of a response.
#[derive(Debug, Serialize)]
struct Document {
    request: String,
    snapshot: u64,
    coverage: Coverage,
    revision: u64,
    attempts: u32,
    rows: Vec<Entry>,
}

#[derive(Debug, Serialize)]
struct Coverage {
    parts_per_million: u32,
    complete: bool,
    missing: Vec<[String; 2]>,
}

#[derive(Debug, Serialize)]
struct Entry {
    key: String,
    body: std::sync::Arc<str>,
}

impl From<Row> for Entry {
    fn from(row: Row) -> Entry {
        Entry { key: hex(row.key), body: row.body }
    }
}

impl Coverage {
    fn new(parts_per_million: u32, missing: &Set) -> Coverage {
        let bounds = |range: &Range| [hex(range.first()), hex(range.last())];
        Coverage {
            parts_per_million,
            complete: missing.is_empty(),
            missing: missing.ranges().iter().map(bounds).collect(),
        }
    }
}

impl Document {
    fn new(request: String, found: Found) -> Document {
        Document {
            request,
            snapshot: found.version.0,
            coverage: Coverage::new(found.coverage, &found.missing),
            revision: found.revision,
            attempts: found.attempts,
            rows: found.rows.into_iter().map(Entry::from).collect(),
        }
    }
}

/// Formats a key as hexadecimal text, since many clients lose digits of JSON
/// numbers above 2^53.
fn hex(key: u64) -> String {
    format!("{key:016x}")
}

/// Makes the response to a search; `answer` is none when the traffic thread has
/// ended.
pub fn respond(answer: Option<Answer>) -> Result<Response, Refusal> {
    let Answer { query, body, .. } = answer.ok_or_else(thread_ended)?;
    match body {
        Body::Found(found) => body::json(StatusCode::OK, &Document::new(query.to_string(), found)),
        Body::Refused(fault) => Err(Refusal::from(fault).with_request(query)),
        Body::Done { .. } => Err(mismatched().with_request(query)),
    }
}

/// Makes the refusal of a request that the traffic thread did not answer before
/// it ended.
pub fn thread_ended() -> Refusal {
    Fault::unknown(Kind::Internal, "the VM stopped before it answered the request").into()
}

/// Makes the refusal for an answer to another kind of request, such as the rows
/// of a search for an operation.
pub fn mismatched() -> Refusal {
    Fault::unknown(Kind::Internal, "the answer belongs to another kind of request").into()
}
