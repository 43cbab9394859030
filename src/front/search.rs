//! `POST /v1/search`.

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

/// Reads the body of a request.
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
    rows: Vec<Line>,
}

#[derive(Debug, Serialize)]
struct Coverage {
    parts_per_million: u32,
    complete: bool,
    missing: Vec<[String; 2]>,
}

#[derive(Debug, Serialize)]
struct Line {
    key: String,
    body: std::sync::Arc<str>,
}

impl From<Row> for Line {
    fn from(row: Row) -> Line {
        Line { key: hex(row.key), body: row.body }
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
            rows: found.rows.into_iter().map(Line::from).collect(),
        }
    }
}

/// A key as texts show it, since JSON numbers lose digits above 2^53.
fn hex(key: u64) -> String {
    format!("{key:016x}")
}

/// Makes the response to a search.
pub fn respond(answer: Option<Answer>) -> Result<Response, Refusal> {
    let Answer { query, body, .. } = answer.ok_or_else(ended)?;
    match body {
        Body::Found(found) => body::json(StatusCode::OK, &Document::new(query.to_string(), found)),
        Body::Refused(fault) => Err(Refusal::from(fault).of(query)),
        Body::Done { .. } => Err(crossed().of(query)),
    }
}

/// The refusal when the traffic thread ended before it answered.
pub fn ended() -> Refusal {
    Fault::unknown(Kind::Internal, "the VM ended before it had an answer").into()
}

/// The refusal when the answer is not to what was asked.
pub fn crossed() -> Refusal {
    Fault::unknown(Kind::Internal, "the answer belongs to another kind of request").into()
}
