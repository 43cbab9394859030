//! The ports for the balancer's probes and the collector of metrics.

use std::{io, net::TcpListener, sync::Arc, time::Duration};

use laburnum_core::memory::{self, Party};
use laburnum_platform::caller::READY_PATH;
use poem::{EndpointExt, Response, Route, get, handler, http::StatusCode, web::Data};
use tokio::sync::watch;

use super::Shared;
use crate::front::{
    body,
    intake::AllowAll,
    limit::{Fixed, Limits, MIN_READ_RATE},
    port::Port,
    probe::{self, Probe},
};

/// The limits on probes and the collector, which need few connections and send
/// small requests.
const LIMITS: Limits = Limits {
    header_size: 8 << 10,
    header_timeout: Duration::from_secs(2),
    idle_timeout: Duration::from_secs(30),
    min_rate: MIN_READ_RATE,
    connections: 16,
};

/// Serves the balancer's probes until the VM stops.
pub async fn ready(listener: TcpListener, shared: &Shared) -> io::Result<()> {
    let state = shared.ready.clone();
    let routes = Route::new().at(READY_PATH, get(answer).data(state));
    port(listener, shared, Party::Probe).serve(routes).await
}

/// Serves the collector of metrics until the VM stops.
pub async fn metrics(listener: TcpListener, shared: &Shared) -> io::Result<()> {
    let probe = Probe { ready: shared.ready.clone(), metrics: Arc::new(shared.exporter()) };
    port(listener, shared, Party::Collector).serve(probe::routes(Route::new(), probe)).await
}

fn port(listener: TcpListener, shared: &Shared, party: Party) -> Port {
    Port {
        listener,
        limits: Arc::new(Fixed {
            connection: LIMITS,
            body: body::Limits { size: 1024, read_timeout: LIMITS.header_timeout },
        }),
        ledger: shared.ledger.clone(),
        port: memory::Port { party, thread: 0 },
        gate: Box::new(AllowAll),
        metrics: Arc::new(shared.exporter()),
        ready: shared.ready.clone(),
        shutdown: shared.stop.clone(),
    }
}

#[handler]
fn answer(Data(ready): Data<&watch::Receiver<bool>>) -> Response {
    let status = if *ready.borrow() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    Response::builder().status(status).finish()
}
