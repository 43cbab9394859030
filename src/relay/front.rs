//! The front for callers: requests to inquiries, answers to responses.

use std::{io, net::TcpListener, sync::Arc};

use laburnum_core::{
    fault::{Fault, Kind},
    relay::message::{Answer, Refusal},
};
use laburnum_platform::caller;
use poem::{Body, Endpoint, Request, Response, Result, Route};

use super::{Shared, handle::Handle};
use crate::{
    front::{
        body,
        intake::Open,
        port::{self, Port},
    },
    settings::relay::Callers,
};

/// The limits on connections.
pub fn limits(callers: &Callers) -> port::Limits {
    port::Limits {
        header_size: size(callers.head),
        header_read: callers.head_time,
        idle: callers.idle,
        connections: size(callers.connections.into()),
    }
}

fn size(limit: u64) -> usize {
    usize::try_from(limit).unwrap_or(usize::MAX)
}

/// Serves callers until the VM shuts down and the open requests have finished.
pub async fn serve(listener: TcpListener, handle: Handle, shared: &Shared) -> io::Result<()> {
    let callers = &shared.settings.callers;
    let port = Port {
        listener,
        limits: limits(callers),
        bodies: body::Limits { size: size(callers.body), read: callers.head_time },
        gate: Box::new(Open),
        metrics: Arc::new(shared.text()),
        ready: shared.ready.clone(),
        shutdown: shared.shutdown.clone(),
    };
    port.serve(Route::new().nest_no_strip("/", Forward { handle })).await
}

/// Hands every request to the traffic thread.
struct Forward {
    handle: Handle,
}

impl Endpoint for Forward {
    type Output = Response;

    async fn call(&self, mut request: Request) -> Result<Response> {
        let body = request.take_body().into_bytes().await?;
        let (method, uri) = (request.method(), request.original_uri());
        let answer = match caller::read(method, uri, request.headers(), &body) {
            Ok(inquiry) => self.handle.ask(inquiry).await,
            Err(fault) => Some(Answer::Refused(Refusal { fault, retry: None })),
        };
        // The thread ends only after the front; without it nothing was run.
        let answer = answer.unwrap_or_else(|| {
            let fault = Fault::not_run(Kind::NotReady, "this VM is leaving");
            Answer::Refused(Refusal { fault, retry: None })
        });
        let (parts, body) = caller::write(&answer).into_parts();
        let mut response = Response::builder().status(parts.status).body(Body::from(body));
        *response.headers_mut() = parts.headers;
        Ok(response)
    }
}
