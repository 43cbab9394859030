//! Serves the routes of a front on one address, within limits on its
//! connections.
//!
//! The routes are poem's, but the accept loop is not: poem's server polls a
//! connection again after it has ended, which keeps the handler of a caller
//! that went away. Here a connection that ends drops its handler, which tells
//! the traffic thread that the caller went away.

use std::{
    convert::Infallible,
    future::pending,
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use laburnum_core::{
    fault::{Fault, Kind},
    memory::{self, Full, Party},
};
use poem::{
    Request, Route,
    http::{self, uri::Scheme},
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::watch,
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    connection::{Connection, Phase, State},
    intake::{Gate, Intake},
    limit::{Limits, Provider},
    probe::Metrics,
    problem::Refusal,
    stream::{DISCARD_BUFFER_BYTES, LINGER_TIMEOUT, Stream},
};
use crate::memory::{Account, Ledger};

/// The most connections beyond the limit that are answered with a refusal at a
/// time; the rest are closed without an answer.
const MAX_REFUSALS: usize = 64;

/// The pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection without a request stays open at a shutdown, for a caller that
/// has just connected and sends its first one.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);

/// How long any other connection stays open, for a request that has arrived and was not
/// read yet.
const READ_GRACE: Duration = Duration::from_millis(10);

/// A listening socket, with the limits and channels for serving on it.
pub struct Port {
    /// The socket that accepts connections.
    pub listener: TcpListener,
    pub limits: Arc<dyn Provider>,
    /// Counts what the process holds for others.
    pub ledger: Ledger,
    /// The port in that table.
    pub port: memory::Port,
    /// Decides which requests may send a body.
    pub gate: Box<dyn Gate>,
    /// Counts the refusals that reach no thread.
    pub metrics: Arc<dyn Metrics>,
    /// Whether the VM takes requests.
    pub ready: watch::Receiver<bool>,
    /// Becomes true when the VM shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// A connection that was accepted.
struct Accepted {
    socket: TcpStream,
    address: SocketAddr,
}

/// A port that accepts connections.
struct Server {
    /// None once the VM shuts down.
    listener: Option<tokio::net::TcpListener>,
    local: SocketAddr,
    limits: Arc<dyn Provider>,
    ledger: Ledger,
    port: memory::Port,
    metrics: Arc<dyn Metrics>,
    intake: Arc<Intake>,
    shutdown: watch::Receiver<bool>,
    tasks: JoinSet<()>,
}

impl Port {
    /// Serves `routes` until the VM shuts down and the open requests have
    /// finished.
    pub async fn serve(self, routes: Route) -> io::Result<()> {
        self.listener.set_nonblocking(true)?;
        let metrics = Arc::clone(&self.metrics);
        let server = Server {
            metrics: self.metrics,
            local: self.listener.local_addr()?,
            listener: Some(tokio::net::TcpListener::from_std(self.listener)?),
            intake: Arc::new(Intake::new(
                routes,
                self.gate,
                Arc::clone(&self.limits),
                metrics,
                self.ready,
            )),
            limits: self.limits,
            ledger: self.ledger,
            port: self.port,
            shutdown: self.shutdown,
            tasks: JoinSet::new(),
        };
        server.accept_loop().await;
        Ok(())
    }
}

impl Server {
    /// Accepts connections until the VM shuts down, then waits for those that
    /// are open to finish.
    async fn accept_loop(mut self) {
        let stop = wait_until_true(self.shutdown.clone());
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                Some(_) = self.tasks.join_next() => {}
                accepted = accept(self.listener.as_ref()) => self.admit(accepted),
            }
        }
        self.listener
            .take()
            .into_iter()
            .flat_map(waiting)
            .for_each(|accepted| self.admit(accepted));
        while self.tasks.join_next().await.is_some() {}
    }

    /// Opens a connection, or refuses one for which there is no room.
    fn admit(&mut self, accepted: Accepted) {
        let limits = self.limits.connection();
        match self.ledger.open(self.port, limits.connections, limits.connection_bytes()) {
            Ok(account) => self.open(accepted, account, limits),
            Err(Full) => self.refuse(accepted, &limits),
        }
    }

    fn refuse(&mut self, accepted: Accepted, limits: &Limits) {
        let port = memory::Port { party: Party::Refused, ..self.port };
        if let Ok(account) = self.ledger.open(port, MAX_REFUSALS, 0) {
            let detail = format!("connections: allowed are {} at a time", limits.connections);
            let refusal = Fault::not_run(Kind::TooManyOpen, detail).into();
            self.metrics.refused(Kind::TooManyOpen);
            self.tasks.spawn(refuse(accepted.socket, refusal, account));
        }
    }

    fn open(&mut self, accepted: Accepted, account: Account, limits: Limits) {
        let Accepted { socket, address } = accepted;
        // Without `TCP_NODELAY` a response may wait for an acknowledgement. A
        // failure only makes the connection slower.
        let _ = socket.set_nodelay(true);
        let connection = Arc::new(Connection::new(account));
        let metrics = Arc::clone(&self.metrics);
        let stream = Stream::new(socket, limits, metrics, Arc::clone(&connection));
        let context = Context {
            connection,
            intake: Arc::clone(&self.intake),
            local: self.local,
            address,
            read_buffer: limits.read_buffer(),
        };
        self.tasks.spawn(serve(stream, context, self.shutdown.clone()));
    }
}

/// Waits for the next connection.
async fn accept(listener: Option<&tokio::net::TcpListener>) -> Accepted {
    let Some(listener) = listener else { return pending().await };
    loop {
        match listener.accept().await {
            Ok((socket, address)) => return Accepted { socket, address },
            // The process is out of file descriptors, or the caller is gone.
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
}

/// Closes the listener and returns the connections that waited to be accepted. They may
/// hold requests already, and closing the listener before them would reset them.
fn waiting(listener: tokio::net::TcpListener) -> Vec<Accepted> {
    let mut waiting = Vec::new();
    // An error of the listener means that nothing more can be accepted.
    let Ok(listener) = listener.into_std() else { return waiting };
    while let Ok((socket, address)) = listener.accept() {
        let socket = socket.set_nonblocking(true).and_then(|()| TcpStream::from_std(socket));
        waiting.extend(socket.map(|socket| Accepted { socket, address }));
    }
    waiting
}

/// What the requests of one connection share.
struct Context {
    connection: Arc<Connection>,
    intake: Arc<Intake>,
    local: SocketAddr,
    address: SocketAddr,
    /// The most bytes that are buffered of what arrives.
    read_buffer: usize,
}

impl Context {
    fn request(&self, request: http::Request<Incoming>) -> Request {
        let local = LocalAddr(self.local.into());
        let remote = RemoteAddr(self.address.into());
        Request::from((request, local, remote, Scheme::HTTP))
    }
}

/// Serves one connection until it ends, or until it is to be closed to make room.
async fn serve(stream: Stream, context: Context, shutdown: watch::Receiver<bool>) {
    let connection = Arc::clone(&context.connection);
    tokio::select! {
        biased;
        () = connection.closing() => {}
        () = serve_requests(stream, context, shutdown) => {}
    }
}

/// Serves the requests of one connection until it ends.
async fn serve_requests(stream: Stream, context: Context, shutdown: watch::Receiver<bool>) {
    let state = Arc::clone(&context.connection);
    let service = service_fn(|request| {
        let request = context.request(request);
        let (intake, connection) = (&context.intake, &context.connection);
        async move { Ok::<_, Infallible>(intake.handle(request, connection).await.into()) }
    });
    let connection = http1::Builder::new()
        .max_buf_size(context.read_buffer)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        biased;
        // An error means that the caller went away or did not send HTTP.
        _ = connection.as_mut() => return,
        () = wait_until_true(shutdown) => {}
    }
    // A graceful shutdown closes a connection whose next request has arrived but was not
    // read yet.
    let grace = match state.state() {
        State { phase: Phase::Waiting, answered: 0 } => FIRST_REQUEST_GRACE,
        State { phase: Phase::Waiting, .. } => READ_GRACE,
        State { .. } => Duration::ZERO,
    };
    tokio::select! {
        biased;
        _ = connection.as_mut() => return,
        () = sleep(grace) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Answers a connection beyond the limit with `refusal` and closes it.
async fn refuse(mut socket: TcpStream, refusal: Refusal, _account: Account) {
    let mut discarded = [0; DISCARD_BUFFER_BYTES];
    let exchange = async {
        socket.write_all(&refusal.to_http()).await?;
        socket.shutdown().await?;
        while socket.read(&mut discarded).await? > 0 {}
        io::Result::Ok(())
    };
    // The caller may be gone or slow; it is closed after the timeout.
    let _ = timeout(LINGER_TIMEOUT, exchange).await;
}

/// Waits until `signal` is true or its sender is gone.
async fn wait_until_true(mut signal: watch::Receiver<bool>) {
    // An error means that the sender is gone, which happens only when the VM
    // ends.
    let _ = signal.wait_for(|on| *on).await;
}
