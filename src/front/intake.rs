//! What every request of a front passes before its handler.

use std::sync::Arc;

use laburnum_core::fault::Kind;
use poem::{
    Endpoint, EndpointExt, IntoResponse, Request, Response, Route,
    endpoint::BoxEndpoint,
    http::{HeaderMap, HeaderValue, header},
};
use tokio::sync::watch;

use super::{
    body,
    connection::Connection,
    limit::Provider,
    probe::Metrics,
    problem::{self, Refusal},
};

/// Who may send a body at all.
pub trait Gate: Send + Sync {
    /// Checks the path and headers of a request before its body is read.
    fn check(&self, path: &str, headers: &HeaderMap) -> Result<(), Refusal>;
}

/// A gate that everyone passes.
pub struct AllowAll;

impl Gate for AllowAll {
    fn check(&self, _: &str, _: &HeaderMap) -> Result<(), Refusal> {
        Ok(())
    }
}

/// Reads the body of every request within limits and keeps the phase of its
/// connection.
pub struct Intake {
    routes: BoxEndpoint<'static, Response>,
    gate: Box<dyn Gate>,
    limits: Arc<dyn Provider>,
    metrics: Arc<dyn Metrics>,
    /// While the VM takes no requests, connections are closed after their
    /// response, so that callers turn to other VMs.
    ready: watch::Receiver<bool>,
}

impl Intake {
    /// Puts `gate` and limits before `routes`.
    pub fn new(
        routes: Route,
        gate: Box<dyn Gate>,
        limits: Arc<dyn Provider>,
        metrics: Arc<dyn Metrics>,
        ready: watch::Receiver<bool>,
    ) -> Intake {
        let routes = routes.catch_all_error(problem::unrouted).boxed();
        Intake { routes, gate, limits, metrics, ready }
    }

    /// Answers a request of `connection` and counts a refusal that came from no
    /// thread.
    pub async fn take(&self, request: Request, connection: &Connection) -> Response {
        let response = self.answer(request, connection).await;
        if let Some(&kind) = response.extensions().get::<Kind>() {
            self.metrics.refused(kind);
        }
        response
    }

    async fn answer(&self, mut request: Request, connection: &Connection) -> Response {
        connection.begin();
        if let Err(refusal) = self.fill(&mut request).await {
            connection.end();
            return closing(refusal.into_response());
        }
        let response = self.routes.get_response(request).await;
        connection.finish();
        if *self.ready.borrow() { response } else { closing(response) }
    }

    /// Replaces the body of a request that is still arriving by a whole one.
    async fn fill(&self, request: &mut Request) -> Result<(), Refusal> {
        self.gate.check(request.uri().path(), request.headers())?;
        let limits = self.limits.body();
        body::announced(request.headers(), limits)?;
        let bytes = body::read(request.take_body(), limits).await?;
        request.set_body(bytes);
        Ok(())
    }
}

/// Lets the connection be closed after the response.
fn closing(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
