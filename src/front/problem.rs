//! Faults as problem documents (RFC 9457).
//!
//! Status, title and retry come from the one table in [`laburnum_core::fault`].

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

/// The prefix of the `type` member; the text of the kind follows.
const TYPE: &str = "urn:laburnumworks:fault:";

/// A problem document.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: &'static str,
    status: u16,
    detail: &'a str,
    kind: Kind,
    ran: Ran,
    retry: Again,
    #[serde(skip_serializing_if = "Option::is_none")]
    request: Option<String>,
    #[serde(flatten)]
    more: &'a Map<String, Value>,
}

/// Whether and when to send again, as it stands in a problem document.
#[derive(Debug, Serialize)]
struct Again {
    allowed: bool,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<u128>,
}

impl From<Retry> for Again {
    fn from(retry: Retry) -> Again {
        match retry {
            Retry::Never => Again { allowed: false, after_ms: None },
            Retry::After(pause) => Again { allowed: true, after_ms: Some(pause.as_millis()) },
        }
    }
}

/// A refusal with what its document says beyond the fault.
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
    /// Adds the request id.
    pub fn of(mut self, request: id::Query) -> Refusal {
        self.request = Some(request);
        self
    }

    /// Adds a member of its own to the document.
    pub fn with(mut self, member: &str, value: Value) -> Refusal {
        self.more.insert(member.to_owned(), value);
        self
    }

    /// The problem document.
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
        // The members are texts and numbers, whose encoding does not fail.
        serde_json::to_vec(&problem).unwrap_or_default()
    }

    /// The value of the `Retry-After` header in seconds, rounded up.
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

    /// The whole response as bytes of HTTP/1.1, for a connection that is closed
    /// after it.
    pub fn message(&self) -> Vec<u8> {
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

    /// The kind of a refusal that no thread has counted, which the intake does;
    /// a thread gives each request that it takes an id.
    fn uncounted(&self) -> Option<Kind> {
        self.request.is_none().then_some(self.fault.kind)
    }

    /// The status of the response.
    fn status(&self) -> StatusCode {
        // Every status in the table is valid.
        StatusCode::from_u16(self.fault.kind.answer().status)
            .unwrap_or(StatusCode::INTERNAL_SERVER_ERROR)
    }
}

impl IntoResponse for Refusal {
    fn into_response(self) -> Response {
        let mut response =
            Response::builder().status(self.status()).body(Body::from_vec(self.document()));
        response.headers_mut().extend(self.headers());
        if let Some(kind) = self.uncounted() {
            response.extensions_mut().insert(kind);
        }
        response
    }
}

impl From<Refusal> for Error {
    fn from(refusal: Refusal) -> Error {
        let uncounted = refusal.uncounted();
        let mut error = Error::from_response(refusal.into_response());
        // The library replaces the extensions of the response by its own.
        if let Some(kind) = uncounted {
            error.set_data(kind);
        }
        error
    }
}

/// The response to an error of a handler or of the router.
pub async fn unrouted(error: Error) -> Response {
    if error.is_from_response() {
        return error.into_response();
    }
    let fault = match error.status() {
        StatusCode::NOT_FOUND => Fault::not_run(Kind::NotFound, "path: nothing is here"),
        StatusCode::METHOD_NOT_ALLOWED => {
            Fault::not_run(Kind::NotFound, "method: nothing is here for this method")
        }
        status if status.is_client_error() => Fault::not_run(Kind::Malformed, error.to_string()),
        _ => Fault::unknown(Kind::Internal, "the request could not be handled"),
    };
    Refusal::from(fault).into_response()
}
