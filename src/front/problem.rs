//! Faults as problem documents (RFC 9457).
//!
//! Status, title and retry advice come from the table in
//! [`laburnum_core::fault`].

use laburnum_core::{
    fault::{Fault, Kind, Ran, Retry},
    id,
};
use poem::{
    Body, Error, IntoResponse, Response,
    http::{HeaderMap, HeaderValue, StatusCode, header},
};
use serde::Serialize;
use serde_json::{Map, Value};

/// The content type of a problem document.
pub const CONTENT_TYPE: &str = "application/problem+json";

/// The prefix of the `type` member; the kind of the fault follows.
const TYPE: &str = "urn:laburnumworks:fault:";

/// The members of a problem document.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    kind: Kind,
    ran: Ran,
    retry: RetryAdvice,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(flatten)]
    more: &'a Map<String, Value>,
}

/// Whether the request may be sent again, and after how long, as the `retry`
/// member.
#[derive(Debug, Serialize)]
struct RetryAdvice {
    allowed: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u128>,
}

impl From<Retry> for RetryAdvice {
    fn from(retry: Retry) -> RetryAdvice {
        match retry {
            Retry::Never => RetryAdvice { allowed: false, after_ms: None },
            Retry::After(pause) => RetryAdvice { allowed: true, after_ms: Some(pause.as_millis()) },
        }
    }
}

/// A refused request: its fault and the other members of its problem document.
#[derive(Debug)]
pub struct Refusal {
    fault: Fault,
    request: Option<id::Query>,
    more: Map<String, Value>,
}

impl From<Fault> for Refusal {
    fn from(fault: Fault) -> Refusal {
        Refusal { fault, request: None, more: Map::new() }
    }
}

impl Refusal {
    /// Adds the id of the request.
    pub fn with_request(mut self, request: id::Query) -> Refusal {
        self.request = Some(request);
        self
    }

    /// Adds an extension member to the document.
    pub fn with_member(mut self, member: &str, value: Value) -> Refusal {
        self.more.insert(member.to_owned(), value);
        self
    }

    /// Encodes the problem document.
    fn document(&self) -> Vec<u8> {
        let answer = self.fault.kind.answer();
        let problem = Problem {
            r#type: format!("{TYPE}{}", self.fault.kind),
            title: answer.title,
            status: answer.status,
            detail: &self.fault.detail,
            kind: self.fault.kind,
            ran: self.fault.ran,
            retry: answer.retry.into(),
            request: self.request.map(|query| query.to_string()),
            more: &self.more,
        };
        // The members are strings and numbers, whose encoding does not fail.
        serde_json::to_vec(&problem).unwrap_or_default()
    }

    /// Returns the value of the `Retry-After` header in seconds, rounded up.
    fn retry_after(&self) -> Option<u64> {
        match self.fault.kind.answer().retry {
            Retry::Never => None,
            Retry::After(pause) => {
                let millis = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
                Some(millis.div_ceil(1000))
            }
        }
    }

    fn headers(&self) -> HeaderMap {
        let mut headers = HeaderMap::new();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
        if let Some(seconds) = self.retry_after() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        if self.fault.kind == Kind::Unauthorized {
            headers.insert(header::WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        headers
    }

    /// Encodes the whole response as HTTP/1.1, for a connection that is closed
    /// after it.
    pub fn to_http(&self) -> Vec<u8> {
        let document = self.document();
        let mut headers = self.headers();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
        headers.insert(header::CONTENT_LENGTH, HeaderValue::from(document.len()));
        let mut message = format!("HTTP/1.1 {}\r\n", self.status()).into_bytes();
        for (name, value) in &headers {
            message.extend([name.as_str().as_bytes(), b": ", value.as_bytes(), b"\r\n"].concat());
        }
        message.extend(b"\r\n");
        message.extend(document);
        message
    }

    /// Returns the kind of a refusal that no thread has counted and that the
    /// intake counts instead. A refusal with a request id was counted, since a
    /// thread gives an id to each request that it takes.
    fn uncounted_kind(&self) -> Option<Kind> {
        self.request.is_none().then_some(self.fault.kind)
    }

    fn status(&self) -> StatusCode {
        // Every status in the table of faults is valid.
        StatusCode::from_u16(self.fault.kind.answer().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let mut response =
            Response::builder().status(self.status()).body(Body::from_vec(self.document()));
        response.headers_mut().extend(self.headers());
        if let Some(kind) = self.uncounted_kind() {
            response.extensions_mut().insert(kind);
        }
        response
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Error {
        let uncounted = refusal.uncounted_kind();
        let mut error = Error::from_response(refusal.into_response());
        // poem replaces the extensions of the response by those of the error.
        if let Some(kind) = uncounted {
            error.set_data(kind);
        }
        error
    }
}

/// Makes the response to an error of a handler or of the router.
pub async fn error_response(error: Error) -> Response {
    if error.is_from_response() {
        return error.into_response();
    }
    let fault = match error.status() {
        StatusCode::NOT_FOUND => Fault::not_run(Kind::NotFound, "path: no such resource"),
        StatusCode::METHOD_NOT_ALLOWED => {
            Fault::not_run(Kind::NotFound, "method: the resource does not support this method")
        }
        status if status.is_client_error() => Fault::not_run(Kind::Malformed, error.to_string()),
        _ => Fault::unknown(Kind::Internal, "the request could not be handled"),
    };
    Refusal::from(fault).into_response()
}
