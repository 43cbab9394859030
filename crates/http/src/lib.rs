//! A client connection over HTTP/1.1 that carries one request at a time.
//!
//! A pooling client does not report whether a request was sent before its
//! connection broke, whether the connection can be reused, or that the peer sent
//! bytes which belong to no request. [`Channel`] reports all three. It drives its
//! connection inside the caller's future, so that it needs no task of its own.

pub mod buffer;
mod socket;

use std::{fmt, future::poll_fn, io, net::SocketAddr, pin::Pin, task::Poll, time::Duration};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::{Body, Incoming},
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

use self::{
    buffer::{Beside, Buffer, Room, Unlimited},
    socket::{FlushFlag, READ_BYTES, ReadLimit, Socket},
};

type Driver = http1::Connection<TokioIo<Socket>, Full<Bytes>>;

/// The bytes that a connection buffers while it reads, which bounds the head of a response.
/// It is twice what callers may send for a head in the deployments in force.
pub const MAX_BUFFER_BYTES: usize = 32 << 10;

/// What a connection takes by itself, in bytes: a buffer of [`READ_BYTES`] for what is read, one
/// as large for what is written, and the task that drives it.
pub const CONNECTION_BYTES: usize = 3 * READ_BYTES;

/// The bytes that may be read before the body of a response: its head and interim
/// responses. It exceeds what hyper buffers, so that a body which arrives with its head
/// is not cut off.
const MAX_HEAD_BYTES: usize = 3 * MAX_BUFFER_BYTES;

/// The limits of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The time in which the connection must open.
    pub connect: Duration,
    /// The time without an acknowledgement after which the operating system
    /// closes the connection, and the idle time after which it sends a keep-alive
    /// probe.
    pub silence: Duration,
    /// The maximum size of a response body in bytes.
    pub body: usize,
}

/// The error of an exchange without a complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the peer may have received a part of the request.
    pub sent: bool,
    /// Whether the peer closed the connection during the request or refused the
    /// connection, in contrast to a peer that does not answer.
    pub gone: bool,
    /// Whether there was no [`Room`] for the body, which is no fault of the peer.
    pub unheld: bool,
    /// A human-readable description.
    pub detail: String,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Failure {}

impl Failure {
    fn unsent(detail: impl Into<String>) -> Failure {
        Failure { sent: false, gone: false, unheld: false, detail: detail.into() }
    }

    fn sent(detail: impl Into<String>) -> Failure {
        Failure { sent: true, gone: false, unheld: false, detail: detail.into() }
    }
}

/// A response that was received completely.
#[derive(Debug)]
pub struct CompleteResponse {
    pub response: Response<Bytes>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

/// A connection to one peer.
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    flush_flag: FlushFlag,
    read_limit: ReadLimit,
    max_body: usize,
}

impl Channel {
    /// Connects to `address`.
    pub async fn open(address: SocketAddr, limits: Limits) -> Result<Channel, Failure> {
        let opened = timeout(limits.connect, TcpStream::connect(address)).await;
        let socket = match opened {
            Ok(Ok(socket)) => socket,
            Ok(Err(error)) => {
                let gone = error.kind() == io::ErrorKind::ConnectionRefused;
                let detail = format!("connect: {error}");
                return Err(Failure { gone, ..Failure::unsent(detail) });
            }
            Err(_) => {
                let millis = limits.connect.as_millis();
                return Err(Failure::unsent(format!("connect: no answer within {millis} ms")));
            }
        };
        set_options(&socket, limits)
            .map_err(|e| Failure::unsent(format!("socket options: {e}")))?;
        let socket = Socket::new(socket);
        let (flush_flag, read_limit) = (socket.flush_flag(), socket.read_limit());
        read_limit.set(MAX_HEAD_BYTES);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(socket)).await;
        let (sender, driver) = handshake.map_err(|e| Failure::unsent(describe(&e)))?;
        let driver = Box::pin(driver);
        Ok(Channel { sender, driver, flush_flag, read_limit, max_body: limits.body })
    }

    /// Sends a request and waits for the complete response.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<CompleteResponse, Failure> {
        self.exchange_within(request, &mut Unlimited).await
    }

    /// Sends a request and waits for the complete response, whose body takes `room`.
    pub async fn exchange_within(
        &mut self,
        request: Request<Full<Bytes>>,
        room: &mut dyn Room,
    ) -> Result<CompleteResponse, Failure> {
        self.ready().await?;
        self.read_limit.set(MAX_HEAD_BYTES);
        let before = self.read_limit.total();
        let sent = buffer_bytes(request.uri().path().len() + head_length(request.headers()));
        let room = &mut Beside { room, bytes: sent };
        let response = self.send(request, room).await?;
        let head = buffer_bytes(head_length(response.headers()));
        let keeps = keeps_open(response.headers());
        let (parts, body) = response.into_parts();
        let body = self.read_body(body, &mut Beside { room, bytes: head }).await?;
        // The buffers of long heads would be kept while the connection is idle.
        let is_short = sent == 0 && self.read_limit.total() - before <= body.len() + READ_BYTES;
        // A peer may answer before it has read the whole request.
        let is_sent = self.flush_flag.is_set() && !self.sender.is_closed();
        let reusable = keeps && is_short && is_sent;
        Ok(CompleteResponse { response: Response::from_parts(parts, body), reusable })
    }

    /// Waits until the peer closes the connection or sends unsolicited bytes, and
    /// returns a description of what happened.
    pub async fn closed(&mut self) -> String {
        describe_end(self.driver.as_mut().await)
    }

    async fn ready(&mut self) -> Result<(), Failure> {
        tokio::select! {
            biased;
            ended = self.driver.as_mut() => Err(Failure::unsent(describe_end(ended))),
            ready = self.sender.ready() => ready.map_err(|e| Failure::unsent(describe(&e))),
        }
    }

    /// Sends a request and waits for the head of its response, which takes `room`.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        room: &mut dyn Room,
    ) -> Result<Response<Incoming>, Failure> {
        let reply = self.sender.try_send_request(request);
        tokio::pin!(reply);
        let mut has_ended = false;
        let (driver, read_limit) = (&mut self.driver, &self.read_limit);
        let reply = poll_fn(|cx| {
            if !has_ended {
                has_ended = driver.as_mut().poll(cx).is_ready();
            }
            let reply = reply.as_mut().poll(cx);
            // What is read is buffered until the head is complete.
            let read = MAX_HEAD_BYTES - read_limit.left();
            if reply.is_ready() || room.grow_to(buffer_bytes(read)) {
                reply.map(Some)
            } else {
                Poll::Ready(None)
            }
        })
        .await;
        let Some(reply) = reply else {
            return Err(Failure { unheld: true, ..Failure::sent("head: no room") });
        };
        reply.map_err(|mut error| {
            // hyper returns a request of which it has sent nothing.
            let sent = error.take_message().is_none();
            let gone = sent && is_gone(error.error());
            Failure { sent, gone, unheld: false, detail: describe(error.error()) }
        })
    }

    fn too_long(&self) -> Failure {
        Failure::sent(format!("body: longer than {} bytes", self.max_body))
    }

    async fn read_body(
        &mut self,
        mut body: Incoming,
        room: &mut dyn Room,
    ) -> Result<Bytes, Failure> {
        let announced = body.size_hint().exact();
        if announced.is_some_and(|length| length > self.max_body as u64) {
            return Err(self.too_long());
        }
        let announced = announced.and_then(|length| usize::try_from(length).ok());
        let mut bytes = Buffer::new(announced);
        // The framing of small chunks may take as much again as the body.
        let mut left = self.max_body.saturating_mul(2).saturating_add(MAX_HEAD_BYTES);
        let mut allowed = MAX_HEAD_BYTES;
        self.read_limit.set(allowed);
        // While one part of a longer body is taken over, the next is read.
        let is_long = announced.is_none_or(|length| length > READ_BYTES);
        let mut room = Beside { room, bytes: if is_long { READ_BYTES } else { 0 } };
        let room = &mut room;
        if !bytes.reserve(room) {
            return Err(Failure { unheld: true, ..Failure::sent("body: no room") });
        }
        let mut is_driven = !self.sender.is_closed();
        loop {
            let frame = tokio::select! {
                biased;
                frame = body.frame() => frame,
                _ = self.driver.as_mut(), if is_driven => {
                    is_driven = false;
                    continue;
                }
            };
            match frame {
                None => return Ok(bytes.into_bytes()),
                Some(Err(error)) => {
                    let gone = is_gone(&error);
                    let detail = format!("body: {}", describe(&error));
                    return Err(Failure { gone, ..Failure::sent(detail) });
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if bytes.len() + data.len() > self.max_body {
                        return Err(self.too_long());
                    }
                    left = left.saturating_sub(allowed - self.read_limit.left());
                    // Bytes that bring no data end soon.
                    allowed = left.min(MAX_HEAD_BYTES);
                    self.read_limit.set(allowed);
                    if !bytes.push(&data, room) {
                        let detail = format!("body: no room after {} bytes", bytes.len());
                        return Err(Failure { unheld: true, ..Failure::sent(detail) });
                    }
                }
            }
        }
    }
}

/// Returns the bytes that a head of which `length` bytes were read or written takes beside its
/// connection, whose buffer doubles until it has room.
fn buffer_bytes(length: usize) -> usize {
    length.min(MAX_BUFFER_BYTES).next_power_of_two().saturating_sub(READ_BYTES)
}

/// Returns about how long a head with these headers is, in bytes.
fn head_length(headers: &HeaderMap) -> usize {
    let field = |name: &HeaderName, value: &HeaderValue| name.as_str().len() + value.len() + 4;
    headers.iter().map(|(name, value)| field(name, value)).sum()
}

fn set_options(socket: &TcpStream, limits: Limits) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    socket.set_tcp_user_timeout(Some(limits.silence))?;
    // The operating system takes keep-alive times in whole seconds.
    let interval = Duration::from_secs(limits.silence.as_secs().max(1));
    let probes = TcpKeepalive::new().with_time(interval).with_interval(interval).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Returns whether the headers of a response keep its connection open.
fn keeps_open(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut tokens = values.filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    !tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn describe_end(end: Result<(), hyper::Error>) -> String {
    match end {
        Ok(()) => "closed by the peer".to_owned(),
        Err(error) => describe(&error),
    }
}

/// Returns whether the error means that the peer closed the connection, and not that it
/// does not answer or that its response has no end.
fn is_gone(error: &hyper::Error) -> bool {
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return !matches!(error.kind(), io::ErrorKind::TimedOut | io::ErrorKind::InvalidData);
        }
        cause = error.source();
    }
    error.is_incomplete_message()
}

/// Returns the text of an error and its causes; the `Display` of a hyper error
/// omits the causes.
pub fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text.push_str(": ");
        text.push_str(&error.to_string());
        cause = error.source();
    }
    text
}
