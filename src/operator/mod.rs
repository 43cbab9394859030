//! The HTTP front for operators: decodes requests into typed ones and encodes
//! the answers.
//!
//! The only decision here is whether the token is known and carries the role
//! that the path needs. Which profiles a team may change is decided by
//! [`laburnum_core::control::access`], against the document in force.

pub mod access;
pub mod answer;
pub mod document;

use std::{io, net::TcpListener, sync::Arc, time::Duration};

use laburnum_core::{
    control::{Answer, Request as ControlRequest},
    memory::{self, Party},
};
use poem::{EndpointExt, Request, Response, Route, get, handler, post, web::Data};
use tokio::sync::watch;

use crate::{
    control::Handle,
    front::{
        body,
        limit::{self, Fixed, MIN_READ_RATE},
        port::Port,
        probe::{self, Metrics, Probe},
        problem::Refusal,
    },
    memory::Ledger,
    settings::identity::{Operators, Role},
};

/// Limits on the body of a request. A document of profiles takes more bytes in
/// a request than in its stored form.
const BODY_LIMITS: body::Limits =
    body::Limits { size: 2 * 1024 * 1024, read_timeout: Duration::from_secs(30) };

/// Limits on the connections of operators.
const CONNECTION_LIMITS: limit::Limits = limit::Limits {
    header_size: 16 * 1024,
    header_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
    min_rate: MIN_READ_RATE,
    connections: 64,
};

/// The sockets, tokens and channels that a front is made from.
pub struct Parts {
    /// The socket on which operators connect.
    pub listener: TcpListener,
    /// The tokens that are accepted.
    pub operators: Operators,
    /// Counts what the process holds for others.
    pub ledger: Ledger,
    /// Hands requests to the control thread.
    pub handle: Handle,
    /// Whether the VM takes requests of callers.
    pub ready: watch::Receiver<bool>,
    pub metrics: Arc<dyn Metrics>,
    /// Becomes true when the VM shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// What the handlers need: the accepted tokens and the control thread.
struct Front {
    operators: Arc<Operators>,
    handle: Handle,
}

type SharedFront = Arc<Front>;

/// Serves operators until `shutdown` becomes true and the open requests have
/// finished.
pub async fn serve(parts: Parts) -> io::Result<()> {
    let Parts { listener, operators, ledger, handle, ready, metrics, shutdown } = parts;
    let probe = Probe { ready: ready.clone(), metrics: Arc::clone(&metrics) };
    let operators = Arc::new(operators);
    let port = Port {
        listener,
        limits: Arc::new(Fixed { connection: CONNECTION_LIMITS, body: BODY_LIMITS }),
        ledger,
        port: memory::Port { party: Party::Operator, thread: 0 },
        gate: Box::new(access::TokenGate(Arc::clone(&operators))),
        metrics,
        ready,
        shutdown,
    };
    port.serve(routes(Arc::new(Front { operators, handle }), probe)).await
}

fn routes(front: SharedFront, probe: Probe) -> Route {
    let paths = Route::new()
        .at("/profiles", get(show).put(publish))
        .at("/profiles/diff", post(diff))
        .at("/profiles/history", get(history))
        .at("/profiles/rollback", post(rollback))
        .at("/profiles/status", get(status))
        .at("/publications/settle", post(settle))
        .at("/vms", get(vms))
        .at("/targets", get(targets))
        .data(front);
    probe::routes(Route::new(), probe).nest(access::GUARDED_PREFIX, paths)
}

impl Front {
    /// Answers a request that changes nothing, which needs [`Role::Read`].
    async fn read(
        &self,
        request: &Request,
        control_request: ControlRequest,
    ) -> Result<Response, Refusal> {
        access::authorize(request.headers(), &self.operators, Role::Read)?;
        self.send(control_request).await
    }

    async fn send(&self, control_request: ControlRequest) -> Result<Response, Refusal> {
        let answer: Option<Answer> = self.handle.request(control_request).await;
        answer::respond(answer)
    }
}

#[handler]
async fn show(Data(front): Data<&SharedFront>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, ControlRequest::Show).await
}

#[handler]
async fn history(Data(front): Data<&SharedFront>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, ControlRequest::History).await
}

#[handler]
async fn status(Data(front): Data<&SharedFront>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, ControlRequest::Status).await
}

#[handler]
async fn vms(Data(front): Data<&SharedFront>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, ControlRequest::Vms).await
}

#[handler]
async fn targets(Data(front): Data<&SharedFront>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, ControlRequest::Targets).await
}

#[handler]
async fn diff(
    Data(front): Data<&SharedFront>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    access::authorize(request.headers(), &front.operators, Role::Read)?;
    let profiles = document::profiles(&body)?;
    front.send(ControlRequest::Diff { profiles }).await
}

#[handler]
async fn publish(
    Data(front): Data<&SharedFront>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    let token = access::authorize(request.headers(), &front.operators, Role::Publish)?;
    let expect = document::expected_revision(request.headers())?;
    let dry_run = document::dry_run(request.uri().query())?;
    let profiles = document::profiles(&body)?;
    let (who, team) = (token.name.to_string(), token.team.clone());
    front.send(ControlRequest::Publish { profiles, expect, who, team, dry_run }).await
}

#[handler]
async fn rollback(
    Data(front): Data<&SharedFront>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    let token = access::authorize(request.headers(), &front.operators, Role::Publish)?;
    let document::Rollback { to, expect } = document::rollback(&body)?;
    let (who, team) = (token.name.to_string(), token.team.clone());
    front.send(ControlRequest::Rollback { to, expect, who, team }).await
}

#[handler]
async fn settle(
    Data(front): Data<&SharedFront>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    access::authorize(request.headers(), &front.operators, Role::Publish)?;
    let token = document::token(&body)?;
    front.send(ControlRequest::Settle { token }).await
}
