//! What every request of a front passes before its handler.

use poem::{
    Endpoint, EndpointExt, IntoResponse, Request, Response, Route,
    endpoint::BoxEndpoint,
    http::{HeaderValue, header},
};
use tokio::sync::watch;

use super::{
    body::{self, Limits},
    connection::Connection,
    problem,
};

/// Reads the body of every request within limits and keeps the phase of its
/// connection.
pub struct Intake {
    routes: BoxEndpoint<'static, Response>,
    limits: Limits,
    /// While the VM takes no requests, connections are closed after their
    /// response, so that callers turn to other VMs.
    ready: watch::Receiver<bool>,
}

impl Intake {
    /// Puts limits before `routes`.
    pub fn new(routes: Route, limits: Limits, ready: watch::Receiver<bool>) -> Intake {
        Intake { routes: routes.catch_all_error(problem::unrouted).boxed(), limits, ready }
    }

    /// Answers a request of `connection`.
    pub async fn take(&self, mut request: Request, connection: &Connection) -> Response {
        connection.begin();
        match body::read(request.take_body(), self.limits).await {
            Ok(bytes) => request.set_body(bytes),
            Err(refusal) => {
                connection.end();
                return refusal.into_response();
            }
        }
        let mut response = self.routes.get_response(request).await;
        if !*self.ready.borrow() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        connection.finish();
        response
    }
}
