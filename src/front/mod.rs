//! The HTTP front for callers: decodes requests into typed events and encodes
//! the answers.
//!
//! Nothing is decided here. A body is decoded into a raw structure, which
//! `TryFrom` turns into a checked one; the traffic thread does the rest, so
//! that another front can use the same decisions. A request that is refused
//! before it reaches the traffic thread is malformed, too large or too slow,
//! and nothing of it has run.

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

use laburnum_core::memory::{self, Party};
use poem::{EndpointExt, Request, Response, Route, handler, post, web::Data};
use tokio::sync::watch;

use self::{
    limit::Fixed,
    port::Port,
    probe::{Metrics, Probe},
    problem::Refusal,
};
use crate::{memory::Ledger, settings::traffic::Callers, traffic::Handle};

/// The sockets, limits and channels that a front is made from.
pub struct Parts {
    /// The socket on which callers connect.
    pub listener: TcpListener,
    /// The limits on callers.
    pub limits: Callers,
    /// Counts what the process holds for others.
    pub ledger: Ledger,
    /// The number of the thread that serves the callers.
    pub thread: u16,
    /// Hands calls to the traffic thread.
    pub handle: Handle,
    /// Whether the VM takes requests.
    pub ready: watch::Receiver<bool>,
    pub metrics: Arc<dyn Metrics>,
    /// Becomes true when the VM shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// Serves callers until `shutdown` becomes true and the open requests have
/// finished.
pub async fn serve(parts: Parts) -> io::Result<()> {
    let Parts { listener, limits, ledger, thread, handle, ready, metrics, shutdown } = parts;
    let probe = Probe { ready: ready.clone(), metrics: Arc::clone(&metrics) };
    let port = Port {
        listener,
        limits: Arc::new(Fixed {
            connection: limit::Limits::from(&limits),
            body: body::Limits::from(&limits),
        }),
        ledger,
        port: memory::Port { party: Party::Caller, thread },
        gate: Box::new(intake::AllowAll),
        metrics,
        ready,
        shutdown,
    };
    port.serve(routes(handle, probe)).await
}

fn routes(handle: Handle, probe: Probe) -> Route {
    probe::routes(Route::new(), probe)
        .at("/v1/search", post(handle_search).data(handle.clone()))
        .at("/v1/operations", post(handle_operation).data(handle))
}

#[handler]
async fn handle_search(Data(handle): Data<&Handle>, body: Vec<u8>) -> Result<Response, Refusal> {
    let search = search::parse(&body)?;
    search::respond(handle.search(search).await)
}

#[handler]
async fn handle_operation(
    Data(handle): Data<&Handle>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    let key = operation::key(request.headers())?;
    let operate = operation::parse(&body, key)?;
    operation::respond(handle.operate(operate).await)
}
