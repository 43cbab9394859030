//! The traffic interface of a stand-in target: JSON over HTTP/2.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

use http::StatusCode;
use laburnum_core::{
    id,
    target::{Outcome, Reply, Request, Work},
};
use poem::{
    Body, Endpoint, EndpointExt, IntoEndpoint, Response, Route, get, handler,
    middleware::SizeLimit,
    post,
    web::{Data, Json},
};
use serde::Serialize;
use tokio::io::{AsyncRead, ReadBuf};

use super::{
    answer::Answer,
    engine::{Event, Handle},
    table::Job,
};
use crate::target::body::{self, Done, Operate, Refused, Rows, Search};

/// The longest request body that is read.
const MAX_BODY_BYTES: usize = 1024 * 1024;

/// The routes of the traffic interface.
pub fn routes(handle: Handle) -> impl IntoEndpoint<Endpoint = impl Endpoint + 'static> {
    Route::new()
        .at(body::SEARCH_PATH, post(run_search).with(SizeLimit::new(MAX_BODY_BYTES)))
        .at(body::OPERATE_PATH, post(run_operation).with(SizeLimit::new(MAX_BODY_BYTES)))
        .at(body::STATUS_PATH, get(read_status))
        .at("/v1/load", get(read_load))
        .data(handle)
}

#[handler]
async fn run_search(Data(handle): Data<&Handle>, Json(search): Json<Search>) -> Response {
    let Search { attempt, remaining, version, range, text } = search;
    let work = Work::Search { version, range, text };
    serve_request(handle, Request { attempt, work, remaining }).await
}

#[handler]
async fn run_operation(Data(handle): Data<&Handle>, Json(operate): Json<Operate>) -> Response {
    let Operate { attempt, remaining, subject, operation, detail, token } = operate;
    let work = Work::Operate { subject, operation, detail, token };
    serve_request(handle, Request { attempt, work, remaining }).await
}

#[handler]
async fn read_status(Data(handle): Data<&Handle>) -> Response {
    json_or_error(handle.call(|reply| Event::Status { reply }).await)
}

#[handler]
pub async fn read_load(Data(handle): Data<&Handle>) -> Response {
    json_or_error(handle.call(|reply| Event::Load { reply }).await)
}

/// Cancels a request when it is dropped. The handler of a request is dropped when its
/// stream is reset.
struct CancelOnDrop {
    handle: Handle,
    job: Job,
}

impl Drop for CancelOnDrop {
    fn drop(&mut self) {
        self.handle.send(Event::Cancel { job: self.job });
    }
}

async fn serve_request(handle: &Handle, request: Request) -> Response {
    let job = Job(handle.next_id());
    // Once a request has been answered, the engine ignores its cancellation.
    let _cancel = CancelOnDrop { handle: handle.clone(), job };
    match handle.call(|reply| Event::Request { job, request, reply }).await {
        Some(answer) => encode_answer(answer),
        None => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}

fn encode_answer(answer: Answer) -> Response {
    let Reply { attempt, outcome, status } = answer.reply;
    let (code, json) = match outcome {
        Outcome::Rows { version, range, rows, count, digest } => {
            let body = Rows { attempt, version, range, rows, count, digest, status };
            (StatusCode::OK, serde_json::to_vec(&body))
        }
        Outcome::Done { result } => {
            (StatusCode::OK, serde_json::to_vec(&Done { attempt, result, status }))
        }
        Outcome::Refused(refusal) => {
            (body::refusal_code(refusal), serde_json::to_vec(&Refused { attempt, refusal, status }))
        }
        Outcome::Garbled { detail } => (StatusCode::INTERNAL_SERVER_ERROR, Ok(detail.into())),
    };
    match json {
        Ok(json) => json_response(code, json, answer.cut),
        Err(error) => encoding_error(attempt, &error),
    }
}

fn encoding_error(attempt: Option<id::Attempt>, error: &serde_json::Error) -> Response {
    let text = format!("reply to {attempt:?} cannot be encoded: {error}");
    Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).body(text)
}

fn json_response(code: StatusCode, json: Vec<u8>, cut: bool) -> Response {
    let response = Response::builder().status(code).content_type("application/json");
    if cut {
        let half = json[..json.len() / 2].to_vec();
        return response.body(Body::from_async_read(TruncatedBody { half: Some(half) }));
    }
    response.body(json)
}

/// Encodes a reply of the engine as JSON, or an error if the target has crashed.
pub fn json_or_error<T: Serialize>(value: Option<T>) -> Response {
    match value.map(|value| serde_json::to_vec(&value)) {
        Some(Ok(json)) => json_response(StatusCode::OK, json, false),
        Some(Err(error)) => encoding_error(None, &error),
        None => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}

/// A body that fails after its first half.
struct TruncatedBody {
    half: Option<Vec<u8>>,
}

impl AsyncRead for TruncatedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Some(mut half) = self.half.take() else {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        };
        let rest = half.split_off(half.len().min(buffer.remaining()));
        buffer.put_slice(&half);
        if !rest.is_empty() {
            self.half = Some(rest);
        }
        Poll::Ready(Ok(()))
    }
}
