//! The HTTP front for operators: bytes to typed requests, answers to bytes.
//!
//! Nothing is decided here but whether the token is known and carries the role
//! of the path. Which profiles a team may change is decided by
//! [`laburnum_core::control::access`], against the document in force.

pub mod access;
pub mod answer;
pub mod document;

use std::{io, net::TcpListener, sync::Arc, time::Duration};

use laburnum_core::control::{Answer, Request as Ask};
use poem::{EndpointExt, Request, Response, Route, get, handler, post, web::Data};
use tokio::sync::watch;

use crate::{
    control::Handle,
    front::{
        body,
        limit::{self, Fixed},
        port::Port,
        probe::{self, Metrics, Probe},
        problem::Refusal,
    },
    settings::identity::{Operators, Role},
};

/// Limits on the body of a request: a document of profiles in JSON takes more
/// than its stored form.
const BODIES: body::Limits =
    body::Limits { size: 2 * 1024 * 1024, read_timeout: Duration::from_secs(30) };

/// Limits on connections.
const CONNECTIONS: limit::Limits = limit::Limits {
    header_size: 16 * 1024,
    header_timeout: Duration::from_secs(5),
    idle_timeout: Duration::from_secs(60),
    connections: 64,
};

/// What a front is made from.
pub struct Parts {
    /// Where operators connect.
    pub listener: TcpListener,
    /// Who may administer.
    pub operators: Operators,
    /// The way into the control thread.
    pub handle: Handle,
    /// Whether the VM takes requests of callers.
    pub ready: watch::Receiver<bool>,
    /// The metrics of the VM.
    pub metrics: Arc<dyn Metrics>,
    /// Turns true when the VM shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// What the handlers share.
struct Front {
    operators: Arc<Operators>,
    handle: Handle,
}

type Shared = Arc<Front>;

/// Serves operators until `shutdown` turns true and the open requests have
/// finished.
pub async fn serve(seed: Parts) -> io::Result<()> {
    let Parts { listener, operators, handle, ready, metrics, shutdown } = seed;
    let probe = Probe { ready: ready.clone(), metrics: Arc::clone(&metrics) };
    let operators = Arc::new(operators);
    let port = Port {
        listener,
        limits: Arc::new(Fixed { connection: CONNECTIONS, body: BODIES }),
        gate: Box::new(access::Holders(Arc::clone(&operators))),
        metrics,
        ready,
        shutdown,
    };
    port.serve(routes(Arc::new(Front { operators, handle }), probe)).await
}

fn routes(front: Shared, probe: Probe) -> Route {
    let paths = Route::new()
        .at("/profiles", get(show).put(publish))
        .at("/profiles/diff", post(diff))
        .at("/profiles/history", get(history))
        .at("/profiles/rollback", post(roll_back))
        .at("/profiles/status", get(status))
        .at("/publications/settle", post(settle))
        .at("/vms", get(vms))
        .at("/targets", get(targets))
        .data(front);
    probe::routes(Route::new(), probe).nest(access::GUARDED, paths)
}

impl Front {
    /// Answers a request that changes nothing.
    async fn read(&self, request: &Request, ask: Ask) -> Result<Response, Refusal> {
        access::token(request.headers(), &self.operators, Role::Read)?;
        self.ask(ask).await
    }

    async fn ask(&self, ask: Ask) -> Result<Response, Refusal> {
        let answer: Option<Answer> = self.handle.request(ask).await;
        answer::respond(answer)
    }
}

#[handler]
async fn show(Data(front): Data<&Shared>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, Ask::Show).await
}

#[handler]
async fn history(Data(front): Data<&Shared>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, Ask::History).await
}

#[handler]
async fn status(Data(front): Data<&Shared>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, Ask::Status).await
}

#[handler]
async fn vms(Data(front): Data<&Shared>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, Ask::Vms).await
}

#[handler]
async fn targets(Data(front): Data<&Shared>, request: &Request) -> Result<Response, Refusal> {
    front.read(request, Ask::Targets).await
}

#[handler]
async fn diff(
    Data(front): Data<&Shared>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    access::token(request.headers(), &front.operators, Role::Read)?;
    let profiles = document::profiles(&body)?;
    front.ask(Ask::Diff { profiles }).await
}

#[handler]
async fn publish(
    Data(front): Data<&Shared>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    let token = access::token(request.headers(), &front.operators, Role::Publish)?;
    let expect = document::expect(request.headers())?;
    let dry_run = document::dry_run(request.uri().query())?;
    let profiles = document::profiles(&body)?;
    let (who, team) = (token.name.to_string(), token.team.clone());
    front.ask(Ask::Publish { profiles, expect, who, team, dry_run }).await
}

#[handler]
async fn roll_back(
    Data(front): Data<&Shared>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    let token = access::token(request.headers(), &front.operators, Role::Publish)?;
    let document::Rollback { to, expect } = document::roll_back(&body)?;
    let (who, team) = (token.name.to_string(), token.team.clone());
    front.ask(Ask::Rollback { to, expect, who, team }).await
}

#[handler]
async fn settle(
    Data(front): Data<&Shared>,
    request: &Request,
    body: Vec<u8>,
) -> Result<Response, Refusal> {
    access::token(request.headers(), &front.operators, Role::Publish)?;
    let token = document::token(&body)?;
    front.ask(Ask::Settle { token }).await
}
