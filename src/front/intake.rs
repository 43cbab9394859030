//! The steps that every request of a front passes before its handler: the gate,
//! the limits and the reading of its body.

use std::sync::Arc;

use laburnum_core::{fault::Kind, memory::Purpose};
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

/// Decides which requests may send a body.
pub trait Gate: Send + Sync {
    /// Checks the path and headers of a request before its body is read.
    fn check(&self, path: &str, headers: &HeaderMap) -> Result<(), Refusal>;
}

/// A gate that every request passes.
pub struct AllowAll;

impl Gate for AllowAll {
    fn check(&self, _: &str, _: &HeaderMap) -> Result<(), Refusal> {
        Ok(())
    }
}

/// Reads the body of every request within limits, and keeps the phase of its
/// connection up to date.
pub struct Intake {
    routes: BoxEndpoint<'static, Response>,
    gate: Box<dyn Gate>,
    limits: Arc<dyn Provider>,
    metrics: Arc<dyn Metrics>,
    /// Whether the VM takes requests. While it takes none, each connection is
    /// closed after its response, so that callers turn to other VMs.
    ready: watch::Receiver<bool>,
}

impl Intake {
    /// Makes an intake that checks `gate` and the limits before `routes`.
    pub fn new(
        routes: Route,
        gate: Box<dyn Gate>,
        limits: Arc<dyn Provider>,
        metrics: Arc<dyn Metrics>,
        ready: watch::Receiver<bool>,
    ) -> Intake {
        let routes = routes.catch_all_error(problem::error_response).boxed();
        Intake { routes, gate, limits, metrics, ready }
    }

    /// Answers a request of `connection`. A refusal that no thread has counted
    /// is counted here.
    pub async fn handle(&self, request: Request, connection: &Connection) -> Response {
        let response = self.answer(request, connection).await;
        if let Some(&kind) = response.extensions().get::<Kind>() {
            self.metrics.refused(kind);
        }
        response
    }

    async fn answer(&self, mut request: Request, connection: &Connection) -> Response {
        connection.begin_request();
        if let Err(refusal) = self.read_body(&mut request, connection).await {
            connection.close();
            return close_after(refusal.into_response());
        }
        let response = match connection.begin_work() {
            Ok(()) => self.routes.get_response(request).await,
            Err(full) => body::no_room(full).into_response(),
        };
        let response = body::hold_answer(response, connection.hold(Purpose::Answer)).await;
        let attributed =
            response.extensions().get::<body::Counted>().map_or(0, |counted| counted.0);
        connection.finish_request(attributed);
        if *self.ready.borrow() { response } else { close_after(response) }
    }

    /// Replaces the body that is still arriving with the whole body, read
    /// within limits.
    async fn read_body(
        &self,
        request: &mut Request,
        connection: &Connection,
    ) -> Result<(), Refusal> {
        self.gate.check(request.uri().path(), request.headers())?;
        let limits = self.limits.body();
        body::check_content_length(request.headers(), limits)?;
        let hold = connection.hold(Purpose::Request);
        let bytes = body::read(request.take_body(), limits, hold).await?;
        request.set_body(bytes);
        Ok(())
    }
}

/// Sets `Connection: close`, which closes the connection after the response.
fn close_after(mut response: Response) -> Response {
    response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
