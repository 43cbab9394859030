//! An address on which a front serves, within limits on its connections.
//!
//! The routes are poem's; the loop that accepts is not, because poem's server
//! polls a connection again after it has ended and thereby keeps the handler of
//! a caller that went away. Here a connection that ends drops its handler, which
//! tells the traffic thread that the caller went away.

use std::{
    convert::Infallible,
    io,
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::TokioIo;
use laburnum_core::fault::{Fault, Kind};
use poem::{
    Request, Route,
    http::{self, uri::Scheme},
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore, watch},
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    connection::Connection,
    intake::{Gate, Intake},
    limit::Provider,
    probe::Metrics,
    problem::Refusal,
    stream::{LINGER, Stream, WASTE},
};

/// The connections beyond the limit that are answered at a time; the rest are
/// closed without an answer.
const REFUSALS: usize = 64;

/// The pause after the system could not accept a connection.
const PAUSE: Duration = Duration::from_millis(50);

/// What a port is made from.
pub struct Port {
    /// Where connections come in.
    pub listener: TcpListener,
    /// The limits on connections and bodies.
    pub limits: Arc<dyn Provider>,
    /// Who may send a body at all.
    pub gate: Box<dyn Gate>,
    /// Counts the refusals of the port itself.
    pub metrics: Arc<dyn Metrics>,
    /// Whether the VM takes requests.
    pub ready: watch::Receiver<bool>,
    /// Turns true when the VM shuts down.
    pub shutdown: watch::Receiver<bool>,
}

/// A connection that was accepted.
struct Accepted {
    socket: TcpStream,
    address: SocketAddr,
}

/// A port while it serves.
struct Server {
    listener: tokio::net::TcpListener,
    local: SocketAddr,
    limits: Arc<dyn Provider>,
    connections: usize,
    metrics: Arc<dyn Metrics>,
    intake: Arc<Intake>,
    shutdown: watch::Receiver<bool>,
    places: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
    tasks: JoinSet<()>,
}

impl Port {
    /// Serves `routes` until the VM shuts down and the open requests have
    /// finished.
    pub async fn serve(self, routes: Route) -> io::Result<()> {
        self.listener.set_nonblocking(true)?;
        let connections = self.limits.connection().connections;
        let places = connections.min(Semaphore::MAX_PERMITS);
        let metrics = Arc::clone(&self.metrics);
        let server = Server {
            metrics: self.metrics,
            local: self.listener.local_addr()?,
            listener: tokio::net::TcpListener::from_std(self.listener)?,
            intake: Arc::new(Intake::new(
                routes,
                self.gate,
                Arc::clone(&self.limits),
                metrics,
                self.ready,
            )),
            limits: self.limits,
            connections,
            shutdown: self.shutdown,
            places: Arc::new(Semaphore::new(places)),
            refusals: Arc::new(Semaphore::new(REFUSALS)),
            tasks: JoinSet::new(),
        };
        server.run().await;
        Ok(())
    }
}

impl Server {
    async fn run(mut self) {
        let stop = turned(self.shutdown.clone());
        tokio::pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                Some(_) = self.tasks.join_next() => {}
                accepted = accept(&self.listener) => self.admit(accepted),
            }
        }
        let Server { listener, mut tasks, .. } = self;
        drop(listener);
        while tasks.join_next().await.is_some() {}
    }

    fn admit(&mut self, accepted: Accepted) {
        if let Ok(permit) = Arc::clone(&self.places).try_acquire_owned() {
            self.open(accepted, permit);
        } else if let Ok(permit) = Arc::clone(&self.refusals).try_acquire_owned() {
            let detail = format!("connections: allowed are {} at a time", self.connections);
            let refusal = Fault::not_run(Kind::TooManyOpen, detail).into();
            self.metrics.refused(Kind::TooManyOpen);
            self.tasks.spawn(refuse(accepted.socket, refusal, permit));
        }
    }

    fn open(&mut self, accepted: Accepted, permit: OwnedSemaphorePermit) {
        let Accepted { socket, address } = accepted;
        // Without it a response may wait for an acknowledgement.
        let _ = socket.set_nodelay(true);
        let connection = Arc::new(Connection::default());
        let metrics = Arc::clone(&self.metrics);
        let stream =
            Stream::new(socket, self.limits.connection(), metrics, Arc::clone(&connection));
        let peers =
            Peers { connection, intake: Arc::clone(&self.intake), local: self.local, address };
        self.tasks.spawn(serve(stream, peers, self.shutdown.clone(), permit));
    }
}

/// The next connection.
async fn accept(listener: &tokio::net::TcpListener) -> Accepted {
    loop {
        match listener.accept().await {
            Ok((socket, address)) => return Accepted { socket, address },
            // The system is out of descriptors or the caller is gone.
            Err(_) => sleep(PAUSE).await,
        }
    }
}

/// What the requests of one connection have in common.
struct Peers {
    connection: Arc<Connection>,
    intake: Arc<Intake>,
    local: SocketAddr,
    address: SocketAddr,
}

impl Peers {
    fn request(&self, request: http::Request<Incoming>) -> Request {
        let local = LocalAddr(self.local.into());
        let remote = RemoteAddr(self.address.into());
        Request::from((request, local, remote, Scheme::HTTP))
    }
}

/// Serves one connection until it ends.
async fn serve(
    stream: Stream,
    peers: Peers,
    shutdown: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
) {
    let service = service_fn(|request| {
        let request = peers.request(request);
        let (intake, connection) = (&peers.intake, &peers.connection);
        async move { Ok::<_, Infallible>(intake.take(request, connection).await.into()) }
    });
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        biased;
        // An error says that the caller went away or sent no HTTP.
        _ = connection.as_mut() => return,
        () = turned(shutdown) => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

/// Answers a connection beyond the limit and closes it.
async fn refuse(mut socket: TcpStream, refusal: Refusal, _permit: OwnedSemaphorePermit) {
    let mut waste = [0; WASTE];
    let exchange = async {
        socket.write_all(&refusal.message()).await?;
        socket.shutdown().await?;
        while socket.read(&mut waste).await? > 0 {}
        io::Result::Ok(())
    };
    // The caller may be gone or slow; it is given up after the time.
    let _ = timeout(LINGER, exchange).await;
}

/// Waits until `signal` is true or its sender is gone.
async fn turned(mut signal: watch::Receiver<bool>) {
    // An error says that the sender is gone, which ends the process as well.
    let _ = signal.wait_for(|on| *on).await;
}
