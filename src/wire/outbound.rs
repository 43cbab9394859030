//! The task of one outbound connection: opens it, sends the queued frames and
//! closes it.

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

/// The size up to which small frames are joined and sent together.
const BATCH_BYTES: usize = 16 * 1024;

/// The state of a connection that the dialer shares with its task.
#[derive(Debug, Default)]
pub struct Shared {
    /// The bytes that were queued and not written yet.
    pub queued: AtomicUsize,
    /// Whether the peer accepted the stream.
    pub accepted: AtomicBool,
    /// The time at which the connection was lost.
    pub lost: OnceLock<Instant>,
}

/// The parameters of a connection.
pub struct Outbound {
    /// The address on which the peer listens.
    pub address: SocketAddr,
    /// The request that opens the stream.
    pub request: Request<()>,
    pub limits: Limits,
    /// The state that the dialer reads.
    pub shared: Arc<Shared>,
}

/// Sends frames until the queue is closed and empty, or the connection is lost.
///
/// The queue is closed before the loss is reported, so that each frame is
/// either covered by the report or refused by the queue.
pub async fn send_frames(
    outbound: Outbound,
    mut frames: Receiver<Bytes>,
    lost: Lost,
    losses: UnboundedSender<Lost>,
) {
    let shared = Arc::clone(&outbound.shared);
    if let Err(Loss { detail, maybe_received }) = outbound.send_all(&mut frames).await {
        // This is the only place that sets it, so it is not set yet.
        let _ = shared.lost.set(Instant::now());
        frames.close();
        // The receiver is dropped only when the thread ends.
        let _ = losses.send(Lost { detail, maybe_received, ..lost });
    }
}

/// Why a connection was lost.
#[derive(Debug)]
struct Loss {
    detail: String,
    /// Whether the peer may have received a frame.
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

/// A connection, with a second handle of its socket for [`close`].
type Client = (SendRequest<Bytes>, Connection<TcpStream, Bytes>, net::TcpStream);

impl Outbound {
    async fn send_all(self, frames: &mut Receiver<Bytes>) -> Result<(), Loss> {
        let opened = timeout(self.limits.connect_timeout, connect(self.address))
            .await
            .unwrap_or_else(|_| Err(Loss::new("the peer did not accept the connection in time")));
        let (client, mut connection, socket) =
            opened.map_err(|loss| Loss { maybe_received: false, ..loss })?;
        let silent = ping::watch(connection.ping_pong(), self.limits);
        let limits = self.limits;
        tokio::select! {
            result = &mut connection => return Err(connection_loss(result)),
            detail = silent => return Err(Loss { detail, maybe_received: true }),
            result = self.send_stream(client, frames) => result?,
        }
        // The stream is done, so the connection sends GOAWAY and ends.
        timeout(limits.write_timeout, close(connection, socket))
            .await
            .map_err(|_| Loss::new("the peer did not close in time"))?
    }

    /// Opens the stream, sends the frames and waits until the peer has taken
    /// them all.
    async fn send_stream(
        self,
        client: SendRequest<Bytes>,
        frames: &mut Receiver<Bytes>,
    ) -> Result<(), Loss> {
        let mut client = client.ready().await?;
        let (response, mut stream) = client.send_request(self.request, false)?;
        let response = read_response(response, &self.shared);
        tokio::pin!(response);
        tokio::select! {
            // The peer resets the stream when it refuses it. The response is
            // polled first, since it tells why.
            biased;
            result = &mut response => {
                return Err(result.err().unwrap_or_else(|| Loss::new("the peer ended the stream")));
            }
            result = write_queue(&mut stream, frames, &self.shared, &self.limits) => result?,
        }
        timeout(self.limits.write_timeout, response)
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

/// Ends a connection, then reads and discards what the peer still sends until
/// it closes too.
///
/// A socket that is closed with unread bytes, or that gets bytes after it is
/// closed, sends a reset, and the peer would lose the frames that it has not
/// read yet.
async fn close(
    connection: Connection<TcpStream, Bytes>,
    socket: net::TcpStream,
) -> Result<(), Loss> {
    connection.await?;
    let mut rest = TcpStream::from_std(socket)?;
    tokio::io::copy(&mut rest, &mut tokio::io::sink()).await?;
    Ok(())
}

/// Waits for the peer's response and the end of its body. Fails if the peer
/// refuses the stream.
async fn read_response(response: ResponseFuture, shared: &Shared) -> Result<(), Loss> {
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

/// Writes the frames of the queue until the queue is closed and empty, then
/// ends the stream.
async fn write_queue(
    stream: &mut SendStream<Bytes>,
    frames: &mut Receiver<Bytes>,
    shared: &Shared,
    limits: &Limits,
) -> Result<(), Loss> {
    while let Some(frame) = frames.recv().await {
        let batch = join(frame, frames);
        let length = batch.len();
        write(stream, batch, limits).await?;
        shared.queued.fetch_sub(length, Ordering::Relaxed);
    }
    stream.send_data(Bytes::new(), true)?;
    Ok(())
}

/// Joins a frame with those that wait behind it, up to [`BATCH_BYTES`].
///
/// Peers limit the memory that small DATA frames take beside their content, and
/// close a connection that sends too many of them.
fn join(first: Bytes, frames: &mut Receiver<Bytes>) -> Bytes {
    if first.len() >= BATCH_BYTES || frames.is_empty() {
        return first;
    }
    let mut batch = BytesMut::from(first);
    while batch.len() < BATCH_BYTES
        && let Ok(frame) = frames.try_recv()
    {
        batch.extend_from_slice(&frame);
    }
    batch.freeze()
}

/// Sends a batch in pieces, as the flow-control windows of the peer allow.
async fn write(
    stream: &mut SendStream<Bytes>,
    mut batch: Bytes,
    limits: &Limits,
) -> Result<(), Loss> {
    while !batch.is_empty() {
        stream.reserve_capacity(batch.len());
        let capacity = timeout(limits.write_timeout, capacity(stream))
            .await
            .map_err(|_| Loss::new("the peer accepted no bytes in time"))??;
        let piece = batch.split_to(capacity.min(batch.len()));
        stream.send_data(piece, false)?;
    }
    Ok(())
}

/// Waits for capacity in the flow-control windows of the peer and returns it in
/// bytes.
///
/// `poll_capacity` reports only an increase, so capacity that is there already
/// is returned without it.
async fn capacity(stream: &mut SendStream<Bytes>) -> Result<usize, Loss> {
    while stream.capacity() == 0 {
        poll_fn(|context| stream.poll_capacity(context))
            .await
            .ok_or_else(|| Loss::new("the stream was closed"))??;
    }
    Ok(stream.capacity())
}

/// Returns the loss for a connection that has ended.
fn connection_loss(result: Result<(), h2::Error>) -> Loss {
    result.map_or_else(Loss::from, |()| Loss::new("the peer closed the connection"))
}
