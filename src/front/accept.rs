//! The acceptor of a front, which bounds the open connections.

use std::{io, net::TcpListener, sync::Arc, time::Duration};

use laburnum_core::fault::{Fault, Kind};
use poem::{
    http::uri::Scheme,
    listener,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{OwnedSemaphorePermit, Semaphore},
    time::{sleep, timeout},
};

use super::{
    connection::Table,
    problem::Refusal,
    stream::{LINGER, Place, Stream, WASTE},
};
use crate::settings::traffic::Callers;

/// The connections beyond the limit that are answered at a time; the rest are
/// closed without an answer.
const REFUSALS: usize = 64;

/// The pause after the system could not accept a connection.
const PAUSE: Duration = Duration::from_millis(50);

/// Limits on connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest head of a request in bytes.
    pub header_size: usize,
    /// The time in which the head must arrive, from its first byte.
    pub header_read: Duration,
    /// The time after which a connection without a request is closed, and one
    /// whose caller does not take the response.
    pub idle: Duration,
    /// The number of connections that are open at a time.
    pub connections: usize,
}

impl From<&Callers> for Limits {
    fn from(callers: &Callers) -> Limits {
        let size = |limit: u64| usize::try_from(limit).unwrap_or(usize::MAX);
        Limits {
            header_size: size(callers.header_limit),
            header_read: callers.header_read,
            idle: callers.idle,
            connections: size(callers.open_connections.into()),
        }
    }
}

/// Accepts connections within the limits.
pub struct Acceptor {
    listener: tokio::net::TcpListener,
    address: LocalAddr,
    limits: Limits,
    table: Arc<Table>,
    places: Arc<Semaphore>,
    refusals: Arc<Semaphore>,
}

impl Acceptor {
    /// Accepts on `listener` and notes the connections in `table`.
    pub fn new(listener: TcpListener, limits: Limits, table: Arc<Table>) -> io::Result<Acceptor> {
        listener.set_nonblocking(true)?;
        let address = LocalAddr(listener.local_addr()?.into());
        Ok(Acceptor {
            listener: tokio::net::TcpListener::from_std(listener)?,
            address,
            limits,
            table,
            places: Arc::new(Semaphore::new(limits.connections.min(Semaphore::MAX_PERMITS))),
            refusals: Arc::new(Semaphore::new(REFUSALS)),
        })
    }

    fn refuse(&self, socket: TcpStream) {
        let Ok(permit) = Arc::clone(&self.refusals).try_acquire_owned() else { return };
        let detail = format!("connections: allowed are {} at a time", self.limits.connections);
        let refusal = Fault::not_run(Kind::TooManyOpen, detail).into();
        tokio::spawn(answer(socket, refusal, permit));
    }
}

/// Answers a connection beyond the limit and closes it.
async fn answer(mut socket: TcpStream, refusal: Refusal, _permit: OwnedSemaphorePermit) {
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

impl listener::Acceptor for Acceptor {
    type Io = Stream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![self.address.clone()]
    }

    async fn accept(&mut self) -> io::Result<(Stream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let Ok((socket, address)) = self.listener.accept().await else {
                // The system is out of descriptors or the caller is gone.
                sleep(PAUSE).await;
                continue;
            };
            let Ok(permit) = Arc::clone(&self.places).try_acquire_owned() else {
                self.refuse(socket);
                continue;
            };
            // Without it a response may wait for an acknowledgement.
            let _ = socket.set_nodelay(true);
            let place = Place { table: Arc::clone(&self.table), address, permit };
            let stream = Stream::new(socket, self.limits, place);
            return Ok((stream, self.address.clone(), RemoteAddr(address.into()), Scheme::HTTP));
        }
    }
}
