//! The endpoints of load balancers and metrics collectors.

use std::sync::Arc;

use laburnum_core::fault::{Fault, Kind};
use poem::{Endpoint, EndpointExt, IntoResponse, Response, Route, get, handler, web::Data};
use tokio::sync::watch;

use super::problem::Refusal;

/// The content type of the response to `/metrics`.
pub const CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// The metrics of the VM.
pub trait Metrics: Send + Sync {
    /// Encodes all metrics as OpenMetrics text.
    fn encode(&self) -> String;
    /// Counts a refusal of a request that reached no thread, so that no thread
    /// has counted it.
    fn refused(&self, kind: Kind);
}

/// What the endpoints report.
#[derive(Clone)]
pub struct Probe {
    /// Whether the VM takes requests.
    pub ready: watch::Receiver<bool>,
    pub metrics: Arc<dyn Metrics>,
}

/// Adds `/livez`, `/readyz` and `/metrics` to `route`.
pub fn routes(route: Route, probe: Probe) -> Route {
    route
        .at("/livez", get(live))
        .at("/readyz", with_probe(get(ready), probe.clone()))
        .at("/metrics", with_probe(get(metrics), probe))
}

fn with_probe(endpoint: impl Endpoint + 'static, probe: Probe) -> impl Endpoint + 'static {
    endpoint.data(probe)
}

#[handler]
fn live() -> &'static str {
    "live\n"
}

#[handler]
fn ready(Data(probe): Data<&Probe>) -> Response {
    if *probe.ready.borrow() {
        return "ready\n".into_response();
    }
    let detail =
        "this VM is starting, leaving or isolated from other VMs and the platform's service";
    let mut response = Refusal::from(Fault::not_run(Kind::NotReady, detail)).into_response();
    // Without a kind the response is not counted as a refused request.
    response.extensions_mut().remove::<Kind>();
    response
}

#[handler]
fn metrics(Data(probe): Data<&Probe>) -> Response {
    Response::builder().content_type(CONTENT_TYPE).body(probe.metrics.encode())
}
