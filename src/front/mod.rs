//! The HTTP front for callers: bytes to typed events, answers to bytes.
//!
//! Nothing is decided here. A body becomes a raw structure, that becomes a
//! checked one by `TryFrom`, and the traffic thread does the rest, so that
//! another front can use the same decisions. What is refused before it reaches
//! the traffic thread is malformed, too large or too slow, and nothing of it
//! ran.

pub mod body;
pub mod connection;
pub mod field;
pub mod head;
pub mod intake;
pub mod limit;
pub mod operation;
pub mod port;
pub mod probe;
pub mod problem;
pub mod search;
pub mod stream;

use std::{io, net::TcpListener, sync::Arc};

use poem::{EndpointExt, Request, Response, Route, handler, post, web::Data};
use tokio::sync::watch;

use self::{
    limit::Fixed,
    port::Port,
    probe::{Metrics, Probe},
    problem::Refusal,
};
use crate::{settings::traffic::Callers, traffic::Handle};

/// What a front is made from.
pub struct Parts {
    /// Where callers connect.
    pub listener: TcpListener,
    /// The limits on them.
    pub limits: Callers,
    /// The way into the traffic thread.
    pub handle: Handle,
    /// Whether the VM takes requests.
    pub ready: watch::Receiver<bool>,
    /// The metrics of the VM.
    pub metrics: Arc<dyn Metrics>,
    /// Turns true when the VM shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// Serves callers until `shutdown` turns true and the open requests have
/// finished.
pub async fn serve(seed: Parts) -> io::Result<()> {
    let Parts { listener, limits, handle, ready, metrics, shutdown } = seed;
    let probe = Probe { ready: ready.clone(), metrics: Arc::clone(&metrics) };
    let port = Port {
        listener,
        limits: Arc::new(Fixed {
            connection: limit::Limits::from(&limits),
            body: body::Limits::from(&limits),
        }),
        gate: Box::new(intake::AllowAll),
        metrics,
        ready,
        shutdown,
    };
    port.serve(routes(handle, probe)).await
}

fn routes(handle: Handle, probe: Probe) -> Route {
    probe::routes(Route::new(), probe)
        .at("/v1/search", post(take_search).data(handle.clone()))
        .at("/v1/operations", post(take_operation).data(handle))
}

#[handler]
async fn take_search(Data(handle): Data<&Handle>, body: Vec<u8>) -> Result<Response, Refusal> {
    let search = search::parse(&body)?;
    search::respond(handle.search(search).await)
}

#[handler]
async fn take_operation(
    Data(handle): Data<&Handle>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    let key = operation::key(request.headers())?;
    let operate = operation::parse(&body, key)?;
    operation::respond(handle.operate(operate).await)
}
