//! The front for callers: passes their requests to the traffic thread and returns
//! its answers.

use std::{io, net::TcpListener, sync::Arc};

use laburnum_core::{
    fault::{Fault, Kind},
    memory::{self, Party},
    relay::{
        View,
        message::{Answer, Refusal},
        route::Bounds,
    },
};
use laburnum_platform::caller;
use poem::{Body, Endpoint, Request, Response, Result, Route};
use tokio::sync::watch;

use super::{Shared, handle::Handle};
use crate::{
    front::{
        body,
        intake::AllowAll,
        limit::{Limits, MIN_READ_RATE, Provider, to_usize},
        port::Port,
    },
    settings::relay::Settings,
};

/// The limits of the configuration in force, or those of the settings while no
/// configuration is known.
struct Configured {
    settings: watch::Receiver<Arc<Settings>>,
    view: watch::Receiver<Arc<View>>,
}

impl Configured {
    fn bounds(&self) -> Bounds {
        let view = self.view.borrow();
        let settings = self.settings.borrow().callers;
        view.config.as_ref().map_or_else(
            || Bounds {
                head: to_usize(settings.header_limit_bytes),
                body: to_usize(settings.body_limit_bytes),
                head_time: settings.header_read_timeout,
                idle: settings.idle_timeout,
            },
            |config| config.bounds,
        )
    }
}

impl Provider for Configured {
    fn connection(&self) -> Limits {
        let bounds = self.bounds();
        Limits {
            header_size: bounds.head,
            header_timeout: bounds.head_time,
            idle_timeout: bounds.idle,
            min_rate: MIN_READ_RATE,
            connections: to_usize(self.settings.borrow().callers.open_connections.into()),
        }
    }

    fn body(&self) -> body::Limits {
        body::Limits {
            size: self.bounds().body,
            read_timeout: self.settings.borrow().callers.body_read_timeout,
        }
    }
}

/// Serves callers until the VM shuts down and all open requests have finished.
pub async fn serve(listener: TcpListener, handle: Handle, shared: &Shared) -> io::Result<()> {
    let limits = Configured { settings: shared.latest.clone(), view: shared.view.clone() };
    let port = Port {
        listener,
        limits: Arc::new(limits),
        ledger: shared.ledger.clone(),
        port: memory::Port { party: Party::Caller, thread: 0 },
        gate: Box::new(AllowAll),
        metrics: Arc::new(shared.exporter()),
        ready: shared.ready.clone(),
        shutdown: shared.shutdown.clone(),
    };
    port.serve(Route::new().nest_no_strip("/", Forward { handle })).await
}

/// Passes every request to the traffic thread.
struct Forward {
    handle: Handle,
}

impl Endpoint for Forward {
    type Output = Response;

    async fn call(&self, mut request: Request) -> Result<Response> {
        let body = request.take_body().into_bytes().await?;
        let (method, uri) = (request.method(), request.original_uri());
        let answer = match caller::read(method, uri, request.headers(), body) {
            Ok(caller_request) => self.handle.request(caller_request).await,
            Err(fault) => Some(Answer::Refused(Refusal { fault, retry: None })),
        };
        // A request that the thread has taken may be with a target when the thread ends.
        let answer = answer.unwrap_or_else(|| {
            let fault =
                Fault::unknown(Kind::Internal, "the VM stopped before it answered the request");
            Answer::Refused(Refusal { fault, retry: None })
        });
        let counted = match &answer {
            Answer::Forwarded(reply) => reply.body.len(),
            Answer::Gathered(_) | Answer::Refused(_) => 0,
        };
        let (parts, body) = caller::write(answer).into_parts();
        let mut response = Response::builder().status(parts.status).body(Body::from(body));
        *response.headers_mut() = parts.headers;
        if counted > 0 {
            // The body has counted since it arrived from its target.
            response.extensions_mut().insert(body::Counted(counted));
        }
        Ok(response)
    }
}
