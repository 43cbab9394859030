//! What every request of a front passes before its handler.

use std::sync::Arc;

use poem::{
    Addr, Endpoint, EndpointExt, IntoResponse, Request, Response,
    http::{HeaderValue, header},
};
use tokio::sync::watch;

use super::{
    body::{self, Limits},
    connection::{Connection, Table},
    problem,
};

/// Reads the body of every request within limits and keeps the phase of its
/// connection.
pub struct Intake {
    /// The limits on the body.
    pub limits: Limits,
    /// The connections of the front.
    pub table: Arc<Table>,
    /// Whether the VM takes requests; while it does not, connections are closed
    /// after their response, so that callers turn to other VMs.
    pub ready: watch::Receiver<bool>,
}

/// Puts `intake` before `endpoint`.
pub fn wrap(endpoint: impl Endpoint + 'static, intake: Intake) -> impl Endpoint + 'static {
    let intake = Arc::new(intake);
    endpoint.catch_all_error(problem::unrouted).around(move |next, request| {
        let intake = Arc::clone(&intake);
        async move { Ok(intake.take(next.as_ref(), request).await) }
    })
}

impl Intake {
    async fn take(&self, next: &impl Endpoint, mut request: Request) -> Response {
        let connection = self.connection(&request);
        connection.begin();
        match body::read(request.take_body(), self.limits).await {
            Ok(bytes) => request.set_body(bytes),
            Err(refusal) => {
                connection.end();
                return refusal.into_response();
            }
        }
        let mut response = next.get_response(request).await;
        if !*self.ready.borrow() {
            response.headers_mut().insert(header::CONNECTION, HeaderValue::from_static("close"));
        }
        connection.finish();
        response
    }

    fn connection(&self, request: &Request) -> Arc<Connection> {
        let found = match request.remote_addr().0 {
            Addr::SocketAddr(address) => self.table.get(address),
            _ => None,
        };
        found.unwrap_or_default()
    }
}
