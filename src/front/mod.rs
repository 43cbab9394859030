//! The HTTP front for callers: bytes to typed events, answers to bytes.
//!
//! Nothing is decided here. A body becomes a raw structure, that becomes a
//! checked one by `TryFrom`, and the traffic thread does the rest, so that
//! another front can use the same decisions. What is refused before it reaches
//! the traffic thread is malformed, too large or too slow, and nothing of it
//! ran.

pub mod accept;
pub mod body;
pub mod connection;
pub mod field;
pub mod head;
pub mod intake;
pub mod operation;
pub mod probe;
pub mod problem;
pub mod search;
pub mod stream;

use std::{io, net::TcpListener, sync::Arc};

use poem::{EndpointExt, Request, Response, Route, Server, handler, post, web::Data};
use tokio::sync::watch;

use self::{
    accept::Acceptor,
    connection::Table,
    intake::Intake,
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

/// Serves callers until `shutdown` turns true and the open requests have
/// finished.
pub async fn serve(seed: Seed) -> io::Result<()> {
    let Seed { listener, limits, handle, ready, metrics, shutdown } = seed;
    let probe = Probe { ready: ready.clone(), metrics };
    let port = Port {
        listener,
        connections: accept::Limits::from(&limits),
        bodies: body::Limits::from(&limits),
        ready,
        shutdown,
    };
    port.serve(routes(handle, probe)).await
}

/// An address on which a front serves within limits.
pub(crate) struct Port {
    /// Where connections come in.
    pub listener: TcpListener,
    /// The limits on connections.
    pub connections: accept::Limits,
    /// The limits on bodies.
    pub bodies: body::Limits,
    /// Whether the VM takes requests.
    pub ready: watch::Receiver<bool>,
    /// Turns true when the VM shuts down.
    pub shutdown: watch::Receiver<bool>,
}

impl Port {
    /// Serves `routes` until the VM shuts down and the open requests have
    /// finished.
    pub async fn serve(self, routes: Route) -> io::Result<()> {
        let table = Arc::new(Table::default());
        let acceptor = Acceptor::new(self.listener, self.connections, Arc::clone(&table))?;
        let intake = Intake { limits: self.bodies, table, ready: self.ready };
        Server::new_with_acceptor(acceptor)
            .run_with_graceful_shutdown(intake::wrap(routes, intake), turned(self.shutdown), None)
            .await
    }
}

/// Waits until `signal` is true or its sender is gone.
async fn turned(mut signal: watch::Receiver<bool>) {
    // An error says that the sender is gone, which ends the process as well.
    let _ = signal.wait_for(|on| *on).await;
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
