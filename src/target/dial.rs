//! Opens the one TCP connection of a row of the connection table.
//!
//! A pooling HTTP client replaces a lost connection by itself. That would use a second
//! connection of the target's limit that is not in the connection table, and a request
//! could be sent again unnoticed. A connection that is opened here is never replaced: once
//! it is lost, requests on it fail, and the HTTP library hands back those of which it has
//! sent nothing.

use std::{
    error::Error,
    io,
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::{meter::Meter, socket::Socket};

/// The idle time after which the operating system probes a connection, and the time between
/// two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(15);

/// The number of unanswered probes after which a connection is lost.
const PROBES: u32 = 3;

/// The time without an acknowledgement after which a connection is lost.
const SILENCE_LIMIT: Duration = Duration::from_secs(30);

/// An open connection.
pub struct Link {
    /// Sends requests. When all clones are dropped, the connection closes.
    pub sender: SendRequest<Full<Bytes>>,
    /// Bounds what is read on the connection.
    pub meter: Meter,
}

/// Connects to `address` and starts the task that drives the connection.
pub async fn open(address: SocketAddr) -> Result<Link, Box<dyn Error + Send + Sync>> {
    let tcp = TcpStream::connect(address).await?;
    set_options(&tcp)?;
    let meter = Meter::new(Instant::now());
    let socket = TokioIo::new(Socket::new(tcp, meter.clone()));
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder.adaptive_window(true);
    let (sender, driver) = builder.handshake(socket).await?;
    // An error of the connection is also the error of its exchanges.
    tokio::spawn(async move { driver.await.ok() });
    Ok(Link { sender, meter })
}

fn set_options(tcp: &TcpStream) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let socket = SockRef::from(tcp);
    socket.set_tcp_user_timeout(Some(SILENCE_LIMIT))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)
}
