//! The HTTP front of the stand-in: bytes to inputs and outputs to bytes.

use std::{
    io,
    net::TcpListener,
    pin::Pin,
    task::{Context, Poll},
};

use laburnum_core::{name::Name, store::Call, view};
use poem::{
    Body, EndpointExt, IntoEndpoint, Request, Response, Route, Server, get, handler,
    http::StatusCode,
    listener::TcpAcceptor,
    post, put,
    web::{Data, Path},
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::{
    io::{AsyncRead, ReadBuf},
    sync::{mpsc::Sender, oneshot},
};

use super::{
    fault::Faults,
    list::{self, Change},
    system::{Input, Output},
    tick,
};
use crate::platform::wire::{self, CALL_PATH, MAX_CALL, VM_HEADER};

/// The way to the tick.
type Inputs = Sender<tick::Request>;

/// Serves HTTP on `listener`.
pub async fn run(listener: TcpListener, inputs: Inputs) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let acceptor = TcpAcceptor::from_std(listener)?;
    Server::new_with_acceptor(acceptor).run(routes(inputs)).await
}

fn routes(inputs: Inputs) -> impl IntoEndpoint<Endpoint: 'static> {
    Route::new()
        .at(CALL_PATH, post(take_call))
        .at("/v1/calls", get(show_calls))
        .at("/v1/faults", get(show_faults).put(set_faults))
        .at("/v1/list/vms/:name", put(put_vm).delete(remove_vm))
        .at("/v1/list/targets/:name", put(put_target).delete(remove_target))
        .at("/readyz", get(ready))
        .data(inputs)
}

#[handler]
fn ready() -> &'static str {
    "ready\n"
}

#[handler]
async fn take_call(inputs: Data<&Inputs>, request: &Request, body: Body) -> Response {
    let vm = match vm(request) {
        Ok(vm) => vm,
        Err(detail) => return refused(StatusCode::BAD_REQUEST, detail),
    };
    match decode::<wire::Call>(body).await {
        Ok(call) => ask(&inputs, Input::Call { vm, call: Call::from(call) }).await,
        Err(response) => response,
    }
}

#[handler]
async fn show_calls(inputs: Data<&Inputs>) -> Response {
    ask(&inputs, Input::ShowCalls).await
}

#[handler]
async fn show_faults(inputs: Data<&Inputs>) -> Response {
    ask(&inputs, Input::ShowFaults).await
}

#[handler]
async fn set_faults(inputs: Data<&Inputs>, body: Body) -> Response {
    match decode::<Faults>(body).await {
        Ok(faults) => ask(&inputs, Input::SetFaults(faults)).await,
        Err(response) => response,
    }
}

#[handler]
async fn put_vm(inputs: Data<&Inputs>, Path(name): Path<String>, body: Body) -> Response {
    match decode::<view::Vm>(body).await {
        Ok(vm) => change_list(&inputs, &name, vm.name.clone(), Change::try_from(vm)).await,
        Err(response) => response,
    }
}

#[handler]
async fn put_target(inputs: Data<&Inputs>, Path(name): Path<String>, body: Body) -> Response {
    match decode::<view::Target>(body).await {
        Ok(target) => {
            change_list(&inputs, &name, target.name.clone(), Change::try_from(target)).await
        }
        Err(response) => response,
    }
}

#[handler]
async fn remove_vm(inputs: Data<&Inputs>, Path(name): Path<String>) -> Response {
    match Name::try_from(name) {
        Ok(name) => ask(&inputs, Input::ChangeList(Change::RemoveVm(name))).await,
        Err(error) => refused(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

#[handler]
async fn remove_target(inputs: Data<&Inputs>, Path(name): Path<String>) -> Response {
    match Name::try_from(name) {
        Ok(name) => ask(&inputs, Input::ChangeList(Change::RemoveTarget(name))).await,
        Err(error) => refused(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

async fn change_list(
    inputs: &Inputs,
    path: &str,
    name: Name,
    change: Result<Change, list::Error>,
) -> Response {
    if name.as_str() != path {
        let detail = format!("name: found {name}, but the path names {path}");
        return refused(StatusCode::BAD_REQUEST, detail);
    }
    match change {
        Ok(change) => ask(inputs, Input::ChangeList(change)).await,
        Err(error) => refused(StatusCode::BAD_REQUEST, error.to_string()),
    }
}

/// The VM that a request says it comes from.
fn vm(request: &Request) -> Result<Option<Name>, String> {
    match request.headers().get(VM_HEADER) {
        None => Ok(None),
        Some(value) => {
            let text = value.to_str().map_err(|e| format!("{VM_HEADER}: {e}"))?;
            Name::try_from(text).map(Some).map_err(|e| format!("{VM_HEADER}: {e}"))
        }
    }
}

async fn decode<T: DeserializeOwned>(body: Body) -> Result<T, Response> {
    let bytes = body
        .into_bytes_limit(MAX_CALL)
        .await
        .map_err(|e| refused(StatusCode::PAYLOAD_TOO_LARGE, e.to_string()))?;
    serde_json::from_slice(&bytes).map_err(|e| refused(StatusCode::BAD_REQUEST, e.to_string()))
}

/// Hands an input to the tick and waits for its output.
async fn ask(inputs: &Inputs, input: Input) -> Response {
    let (answer, output) = oneshot::channel();
    if inputs.send(tick::Request { input, answer }).await.is_err() {
        return refused(StatusCode::SERVICE_UNAVAILABLE, "the service has ended".to_owned());
    }
    match output.await {
        Ok(output) => respond(output).await,
        Err(_) => cut(),
    }
}

async fn respond(output: Output) -> Response {
    match output {
        Output::Reply(reply) => match wire::Reply::try_from(reply) {
            Ok(wire::Reply::Refused { detail }) => refused(StatusCode::SERVICE_UNAVAILABLE, detail),
            Ok(reply) => json(StatusCode::OK, &reply),
            Err(wire::Unsendable) => cut(),
        },
        Output::Calls(calls) => json(StatusCode::OK, &calls),
        Output::Faults(faults) => json(StatusCode::OK, &faults),
        Output::Done => StatusCode::NO_CONTENT.into(),
        Output::Cut => cut(),
        // The connection and this future end when the client closes it.
        Output::Hang => std::future::pending().await,
    }
}

fn json<T: Serialize>(status: StatusCode, body: &T) -> Response {
    match Body::from_json(body) {
        Ok(body) => Response::builder().status(status).content_type("application/json").body(body),
        Err(_) => StatusCode::INTERNAL_SERVER_ERROR.into(),
    }
}

fn refused(status: StatusCode, detail: String) -> Response {
    json(status, &wire::Reply::Refused { detail })
}

/// A response whose body fails, upon which the server cuts the connection.
fn cut() -> Response {
    Response::builder().body(Body::from_async_read(Broken))
}

/// A body that fails at the first read.
struct Broken;

impl AsyncRead for Broken {
    fn poll_read(
        self: Pin<&mut Self>,
        _: &mut Context<'_>,
        _: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
    }
}
