//! The task of one outbound connection.

use std::{
    future::poll_fn,
    io,
    net::{self, SocketAddr},
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};

use bytes::{Bytes, BytesMut};
use h2::{
    SendStream,
    client::{Connection, ResponseFuture, SendRequest},
};
use http::{Request, StatusCode};
use tokio::{
    net::TcpStream,
    sync::mpsc::{Receiver, UnboundedSender},
    time::{Instant, timeout},
};

use super::{Limits, Lost, ping};

/// The size up to which frames are sent together, in bytes.
const BATCH: usize = 16 * 1024;

/// What the dialer and the task of a connection both see.
#[derive(Debug, Default)]
pub struct Shared {
    /// The bytes that wait in the queue.
    pub queued: AtomicUsize,
    /// Whether the peer accepted the stream.
    pub accepted: AtomicBool,
    /// When the connection was lost.
    pub lost: OnceLock<Instant>,
}

/// What a connection is made of.
pub struct Outbound {
    /// Where the peer listens.
    pub address: SocketAddr,
    /// The request that opens the stream.
    pub request: Request<()>,
    /// The bounds.
    pub limits: Limits,
    /// What the dialer sees.
    pub shared: Arc<Shared>,
}

/// Sends frames until the queue is closed and empty, or the connection is lost.
///
/// The queue is closed before the loss is reported, so that each frame is
/// either covered by the report or refused by the queue.
pub async fn run(
    outbound: Outbound,
    mut frames: Receiver<Bytes>,
    lost: Lost,
    losses: UnboundedSender<Lost>,
) {
    let shared = Arc::clone(&outbound.shared);
    if let Err(Loss { detail, maybe_received }) = outbound.send_all(&mut frames).await {
        // It is set once, here.
        let _ = shared.lost.set(Instant::now());
        frames.close();
        // The receiver is gone only when the thread is ending.
        let _ = losses.send(Lost { detail, maybe_received, ..lost });
    }
}

/// Why a connection is lost.
#[derive(Debug)]
struct Loss {
    detail: String,
    /// Whether the peer may have taken a frame.
    maybe_received: bool,
}

impl Loss {
    fn new(detail: &str) -> Loss {
        Loss { detail: detail.to_owned(), maybe_received: true }
    }
}

impl From<io::Error> for Loss {
    fn from(error: io::Error) -> Loss {
        Loss::new(&error.to_string())
    }
}

impl From<h2::Error> for Loss {
    fn from(error: h2::Error) -> Loss {
        Loss::new(&error.to_string())
    }
}

/// A connection, with a second handle of its socket for [`finish`].
type Client = (SendRequest<Bytes>, Connection<TcpStream, Bytes>, net::TcpStream);

impl Outbound {
    async fn send_all(self, frames: &mut Receiver<Bytes>) -> Result<(), Loss> {
        let opened = timeout(self.limits.connect_timeout, connect(self.address))
            .await
            .unwrap_or_else(|_| Err(Loss::new("the peer took no connection in time")));
        let (client, mut connection, socket) =
            opened.map_err(|loss| Loss { maybe_received: false, ..loss })?;
        let silent = ping::watch(connection.ping_pong(), self.limits);
        let limits = self.limits;
        tokio::select! {
            result = &mut connection => return Err(ended(result)),
            detail = silent => return Err(Loss { detail, maybe_received: true }),
            result = self.stream(client, frames) => result?,
        }
        // The stream is done, so that the connection says GOAWAY and ends.
        timeout(limits.write_timeout, finish(connection, socket))
            .await
            .map_err(|_| Loss::new("the peer did not close in time"))?
    }

    /// Opens the stream, sends the frames and waits until the peer has taken
    /// them all.
    async fn stream(
        self,
        client: SendRequest<Bytes>,
        frames: &mut Receiver<Bytes>,
    ) -> Result<(), Loss> {
        let mut client = client.ready().await?;
        let (response, mut stream) = client.send_request(self.request, false)?;
        let verdict = verdict(response, &self.shared);
        tokio::pin!(verdict);
        tokio::select! {
            // A refusal comes with a reset, of which it gives the reason.
            biased;
            result = &mut verdict => {
                return Err(result.err().unwrap_or_else(|| Loss::new("the peer ended the stream")));
            }
            result = pump(&mut stream, frames, &self.shared, &self.limits) => result?,
        }
        timeout(self.limits.write_timeout, verdict)
            .await
            .map_err(|_| Loss::new("the peer did not confirm the end of the stream"))?
    }
}

async fn connect(address: SocketAddr) -> Result<Client, Loss> {
    let tcp = TcpStream::connect(address).await?;
    tcp.set_nodelay(true)?;
    let socket = tcp.into_std()?;
    let tcp = TcpStream::from_std(socket.try_clone()?)?;
    let (client, connection) = h2::client::Builder::new().enable_push(false).handshake(tcp).await?;
    Ok((client, connection, socket))
}

/// Ends a connection and reads what the peer still sends until it closes too.
///
/// A socket that is closed with bytes unread, or that gets more afterwards,
/// answers with a reset, by which the peer would lose what it has not read yet.
async fn finish(
    connection: Connection<TcpStream, Bytes>,
    socket: net::TcpStream,
) -> Result<(), Loss> {
    connection.await?;
    let mut rest = TcpStream::from_std(socket)?;
    tokio::io::copy(&mut rest, &mut tokio::io::sink()).await?;
    Ok(())
}

/// Waits for the peer's answer and the end of its body.
async fn verdict(response: ResponseFuture, shared: &Shared) -> Result<(), Loss> {
    let response = response.await?;
    if response.status() != StatusCode::OK {
        let detail = format!("the peer refused the stream with {}", response.status());
        return Err(Loss { detail, maybe_received: false });
    }
    shared.accepted.store(true, Ordering::Relaxed);
    let mut body = response.into_body();
    while let Some(data) = body.data().await {
        let length = data?.len();
        body.flow_control().release_capacity(length)?;
    }
    Ok(())
}

async fn pump(
    stream: &mut SendStream<Bytes>,
    frames: &mut Receiver<Bytes>,
    shared: &Shared,
    limits: &Limits,
) -> Result<(), Loss> {
    while let Some(frame) = frames.recv().await {
        let batch = gather(frame, frames);
        let length = batch.len();
        write(stream, batch, limits).await?;
        shared.queued.fetch_sub(length, Ordering::Relaxed);
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Joins a frame with those that wait behind it, up to [`BATCH`] bytes.
///
/// Peers bound the memory that small DATA frames take beside their content, so
/// that many small ones would cost the connection.
fn gather(first: Bytes, frames: &mut Receiver<Bytes>) -> Bytes {
    if first.len() >= BATCH || frames.is_empty() {
        return first;
    }
    let mut batch = BytesMut::from(first);
    while batch.len() < BATCH
        && let Ok(frame) = frames.try_recv()
    {
        batch.extend_from_slice(&frame);
    }
    batch.freeze()
}

/// Sends a batch, as the peer gives room for it.
async fn write(
    stream: &mut SendStream<Bytes>,
    mut batch: Bytes,
    limits: &Limits,
) -> Result<(), Loss> {
    while !batch.is_empty() {
        stream.reserve_capacity(batch.len());
        let room = timeout(limits.write_timeout, room(stream))
            .await
            .map_err(|_| Loss::new("the peer takes no bytes"))??;
        let piece = batch.split_to(room.min(batch.len()));
        stream.send_data(piece, false)?;
    }
    Ok(())
}

/// Waits for room in the windows of the peer.
///
/// `poll_capacity` tells only of an increase, so room that is there already is
/// taken without it.
async fn room(stream: &mut SendStream<Bytes>) -> Result<usize, Loss> {
    while stream.capacity() == 0 {
        poll_fn(|context| stream.poll_capacity(context))
            .await
            .ok_or_else(|| Loss::new("the stream was closed"))??;
    }
    Ok(stream.capacity())
}

fn ended(result: Result<(), h2::Error>) -> Loss {
    result.map_or_else(Loss::from, |()| Loss::new("the peer closed the connection"))
}
