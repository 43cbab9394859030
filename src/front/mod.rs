//! The HTTP front for callers: bytes to typed events, answers to bytes.
//!
//! Nothing is decided here. A body becomes a raw structure, that becomes a
//! checked one by `TryFrom`, and the traffic thread does the rest, so that
//! another front can use the same decisions. What is refused before it reaches
//! the traffic thread is malformed, too large or too slow, and nothing of it
//! ran.

pub mod body;
pub mod field;
pub mod operation;
pub mod probe;
pub mod problem;
pub mod search;

use std::{io, net::TcpListener, sync::Arc};

use poem::{
    Body, EndpointExt, IntoEndpoint, Request, Response, Route, Server, handler,
    listener::TcpAcceptor, post, web::Data,
};
use tokio::sync::watch;

use self::{
    probe::{Metrics, Probe},
    problem::Refusal,
};
use crate::{settings::traffic::Callers, traffic::Handle};

/// What a front is made from.
pub struct Seed {
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

/// What the handlers share.
struct Front {
    limits: body::Limits,
    handle: Handle,
}

type Shared = Arc<Front>;

/// Serves callers until `shutdown` turns true and the open requests have
/// finished.
pub async fn serve(seed: Seed) -> io::Result<()> {
    let Seed { listener, limits, handle, ready, metrics, shutdown } = seed;
    listener.set_nonblocking(true)?;
    let acceptor = TcpAcceptor::from_std(listener)?;
    let front = Front { limits: body::Limits::from(&limits), handle };
    let routes = routes(Arc::new(front), Probe { ready, metrics });
    Server::new_with_acceptor(acceptor)
        .run_with_graceful_shutdown(routes, turned(shutdown), None)
        .await
}

/// Waits until `signal` is true or its sender is gone.
pub(crate) async fn turned(mut signal: watch::Receiver<bool>) {
    // An error says that the sender is gone, which ends the process as well.
    let _ = signal.wait_for(|on| *on).await;
}

fn routes(front: Shared, probe: Probe) -> impl IntoEndpoint<Endpoint: 'static> {
    probe::routes(Route::new(), probe)
        .at("/v1/search", post(take_search))
        .at("/v1/operations", post(take_operation))
        .data(front)
        .catch_all_error(problem::unrouted)
}

#[handler]
async fn take_search(Data(front): Data<&Shared>, body: Body) -> Result<Response, Refusal> {
    let bytes = body::read(body, front.limits).await?;
    let search = search::parse(&bytes)?;
    search::respond(front.handle.search(search).await)
}

#[handler]
async fn take_operation(
    Data(front): Data<&Shared>,
    request: &Request,
    body: Body,
) -> Result<Response, Refusal> {
    let key = operation::key(request.headers())?;
    let bytes = body::read(body, front.limits).await?;
    let operate = operation::parse(&bytes, key)?;
    operation::respond(front.handle.operate(operate).await)
}
