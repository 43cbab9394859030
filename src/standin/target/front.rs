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

/// The longest request body that is read, in bytes.
const MAX_BODY: usize = 1024 * 1024;

/// The routes of the traffic interface.
pub fn routes(handle: Handle) -> impl IntoEndpoint<Endpoint = impl Endpoint + 'static> {
    Route::new()
        .at(body::SEARCH, post(run_search).with(SizeLimit::new(MAX_BODY)))
        .at(body::OPERATE, post(run_operation).with(SizeLimit::new(MAX_BODY)))
        .at(body::STATUS, get(read_status))
        .at("/v1/load", get(read_load))
        .data(handle)
}

#[handler]
async fn run_search(Data(handle): Data<&Handle>, Json(search): Json<Search>) -> Response {
    let Search { attempt, remaining, version, range, text } = search;
    let work = Work::Search { version, range, text };
    run(handle, Request { attempt, work, remaining }).await
}

#[handler]
async fn run_operation(Data(handle): Data<&Handle>, Json(operate): Json<Operate>) -> Response {
    let Operate { attempt, remaining, subject, operation, detail, token } = operate;
    let work = Work::Operate { subject, operation, detail, token };
    run(handle, Request { attempt, work, remaining }).await
}

#[handler]
async fn read_status(Data(handle): Data<&Handle>) -> Response {
    optional(handle.ask(|reply| Event::Status { reply }).await)
}

#[handler]
pub async fn read_load(Data(handle): Data<&Handle>) -> Response {
    optional(handle.ask(|reply| Event::Load { reply }).await)
}

/// Withdraws a request when its stream is reset, which drops its handler.
struct Withdrawal {
    handle: Handle,
    job: Job,
}

impl Drop for Withdrawal {
    fn drop(&mut self) {
        self.handle.tell(Event::Withdraw { job: self.job });
    }
}

async fn run(handle: &Handle, request: Request) -> Response {
    let job = Job(handle.number());
    // A request that was answered is unknown to the loop and withdrawn in vain.
    let _withdrawal = Withdrawal { handle: handle.clone(), job };
    match handle.ask(|reply| Event::Arrive { job, request, reply }).await {
        Some(answer) => encode(answer),
        None => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}

fn encode(answer: Answer) -> Response {
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
            (body::code(refusal), serde_json::to_vec(&Refused { attempt, refusal, status }))
        }
        Outcome::Garbled { detail } => (StatusCode::INTERNAL_SERVER_ERROR, Ok(detail.into())),
    };
    match json {
        Ok(json) => respond(code, json, answer.cut),
        Err(error) => failure(attempt, &error),
    }
}

fn failure(attempt: Option<id::Attempt>, error: &serde_json::Error) -> Response {
    let text = format!("reply to {attempt:?} cannot be encoded: {error}");
    Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).body(text)
}

fn respond(code: StatusCode, json: Vec<u8>, cut: bool) -> Response {
    let response = Response::builder().status(code).content_type("application/json");
    if cut {
        let half = json[..json.len() / 2].to_vec();
        return response.body(Body::from_async_read(Cut { half: Some(half) }));
    }
    response.body(json)
}

/// Encodes what the loop answered; nothing if the target crashed meanwhile.
pub fn optional<T: Serialize>(value: Option<T>) -> Response {
    match value.map(|value| serde_json::to_vec(&value)) {
        Some(Ok(json)) => respond(StatusCode::OK, json, false),
        Some(Err(error)) => failure(None, &error),
        None => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}

/// A body that fails after its first half.
struct Cut {
    half: Option<Vec<u8>>,
}

impl AsyncRead for Cut {
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
