//! Decodes requests to `POST /v1/operations` and encodes their responses.

use std::sync::Arc;

use laburnum_core::{
    claim,
    fault::Fault,
    traffic::{Answer, Body, Operate},
};
use poem::{
    Response,
    http::{HeaderMap, HeaderValue, StatusCode},
};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use uuid::Uuid;

use super::{
    body, field,
    problem::Refusal,
    search::{mismatched, thread_ended},
};

/// The header that holds the idempotency key.
pub const KEY_HEADER: &str = "Idempotency-Key";

/// The allowed content of [`KEY_HEADER`], for error messages.
const ALLOWED_KEY: &str = "one UUIDv7";

/// The body of a request before it is checked.
#[derive(Debug, Deserialize)]
#[serde(
    deny_unknown_fields,
    expecting = "an object with profile, operation, subject, detail and deadline_ms"
)]
struct Raw {
    profile: Option<Value>,
    operation: Option<Value>,
    subject: Option<Value>,
    detail: Option<Value>,
    deadline_ms: Option<Value>,
}

/// A request before it is checked, with its idempotency key.
struct Keyed {
    key: claim::Key,
    raw: Raw,
}

impl TryFrom<Keyed> for Operate {
    type Error = Fault;

    fn try_from(Keyed { key, raw }: Keyed) -> Result<Operate, Fault> {
        Ok(Operate {
            profile: field::name("profile", raw.profile.as_ref())?,
            operation: field::name("operation", raw.operation.as_ref())?,
            subject: field::number("subject", raw.subject.as_ref())?,
            detail: field::text("detail", raw.detail.as_ref())?.into(),
            key,
            deadline: field::deadline(raw.deadline_ms.as_ref())?,
        })
    }
}

/// Reads the idempotency key, which must be a single UUIDv7.
pub fn key(headers: &HeaderMap) -> Result<claim::Key, Fault> {
    let mut values = headers.get_all(KEY_HEADER).iter();
    let value =
        values.next().ok_or_else(|| field::malformed(KEY_HEADER, "nothing", ALLOWED_KEY))?;
    if values.next().is_some() {
        return Err(field::malformed(KEY_HEADER, "more than one", ALLOWED_KEY));
    }
    let key = uuid(value).map(claim::Key).filter(|key| key.issued_millis().is_some());
    key.ok_or_else(|| {
        let found = field::excerpt(&String::from_utf8_lossy(value.as_bytes()));
        field::malformed(KEY_HEADER, &found, ALLOWED_KEY)
    })
}

fn uuid(value: &HeaderValue) -> Option<Uuid> {
    Uuid::try_parse(value.to_str().ok()?.trim()).ok()
}

/// Decodes and checks the body of a request.
pub fn parse(bytes: &[u8], key: claim::Key) -> Result<Operate, Fault> {
    Operate::try_from(Keyed { key, raw: body::decode(bytes)? })
}

/// The body of a response.
#[derive(Debug, Serialize)]
struct Document {
    request: String,
    result: Arc<str>,
    replayed: bool,
    revision: u64,
}

/// Makes the response to an operation; `answer` is none when the traffic thread
/// has ended.
pub fn respond(answer: Option<Answer>) -> Result<Response, Refusal> {
    let Answer { query, body, .. } = answer.ok_or_else(thread_ended)?;
    match body {
        Body::Done { result, replayed, revision } => {
            let document = Document { request: query.to_string(), result, replayed, revision };
            body::json(StatusCode::OK, &document)
        }
        Body::Refused(fault) => Err(Refusal::from(fault).with_request(query)),
        Body::Found(_) => Err(mismatched().with_request(query)),
    }
}
