//! One HTTP/1.1 connection of a client, which carries one request at a time.
//!
//! A pooling client hides what matters here: whether a request left before its
//! connection broke, whether the connection may be used again, and bytes that
//! belong to no request. [`Channel`] shows all three. It drives its connection
//! while someone waits for it, so that no task of its own is needed.

mod socket;

use std::{fmt, io, net::SocketAddr, pin::Pin, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Full};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use socket2::{SockRef, TcpKeepalive};
use tokio::{net::TcpStream, time::timeout};

use self::socket::{Drained, Socket};

type Driver = http1::Connection<Socket, Full<Bytes>>;

/// Limits on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The time for the connection to open.
    pub connect: Duration,
    /// The time without an acknowledgement after which the system gives the
    /// connection up, and after which it asks a silent peer for a sign of life.
    pub silence: Duration,
    /// The largest body of a response in bytes.
    pub body: usize,
}

/// Why there is no response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether some of the request may have reached the peer.
    pub sent: bool,
    /// Whether the peer ended the connection under the request, or refused the
    /// connection; a peer that is only silent does neither.
    pub gone: bool,
    /// What happened, for people.
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
        Failure { sent: false, gone: false, detail: detail.into() }
    }

    fn sent(detail: impl Into<String>) -> Failure {
        Failure { sent: true, gone: false, detail: detail.into() }
    }
}

/// A whole response, with what its connection can still be used for.
#[derive(Debug)]
pub struct CompleteResponse {
    /// The response.
    pub response: Response<Bytes>,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

/// One connection.
pub struct Channel {
    sender: SendRequest<Full<Bytes>>,
    driver: Pin<Box<Driver>>,
    drained: Drained,
    max_body: usize,
}

impl Channel {
    /// Opens a connection.
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
        prepare(&socket, limits).map_err(|e| Failure::unsent(format!("socket options: {e}")))?;
        let socket = Socket::new(socket);
        let drained = socket.drained();
        let handshake = http1::handshake(socket).await;
        let (sender, driver) = handshake.map_err(|e| Failure::unsent(describe(&e)))?;
        Ok(Channel { sender, driver: Box::pin(driver), drained, max_body: limits.body })
    }

    /// Sends a request and waits for the whole response.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<CompleteResponse, Failure> {
        self.ready().await?;
        let response = self.head(request).await?;
        let keeps = keeps_open(response.headers());
        let (parts, body) = response.into_parts();
        let body = self.body(body).await?;
        // A peer may answer before it has read the whole request.
        let reusable = keeps && self.drained.get() && !self.sender.is_closed();
        Ok(CompleteResponse { response: Response::from_parts(parts, body), reusable })
    }

    /// Waits until the peer closes the connection or sends bytes that nobody
    /// asked for. It returns what happened.
    pub async fn closed(&mut self) -> String {
        ending(self.driver.as_mut().await)
    }

    async fn ready(&mut self) -> Result<(), Failure> {
        tokio::select! {
            biased;
            ended = self.driver.as_mut() => Err(Failure::unsent(ending(ended))),
            ready = self.sender.ready() => ready.map_err(|e| Failure::unsent(describe(&e))),
        }
    }

    async fn head(&mut self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Failure> {
        let reply = self.sender.try_send_request(request);
        tokio::pin!(reply);
        let mut ended = None;
        let reply = loop {
            tokio::select! {
                biased;
                reply = &mut reply => break reply,
                end = self.driver.as_mut(), if ended.is_none() => ended = Some(ending(end)),
            }
        };
        reply.map_err(|mut error| {
            // The library gives a request back of which it sent nothing.
            let sent = error.take_message().is_none();
            let gone = sent && is_gone(error.error());
            Failure { sent, gone, detail: describe(error.error()) }
        })
    }

    async fn body(&mut self, mut body: Incoming) -> Result<Bytes, Failure> {
        let mut whole = BytesMut::new();
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
                None => return Ok(whole.freeze()),
                Some(Err(error)) => {
                    let gone = is_gone(&error);
                    let detail = format!("body: {}", describe(&error));
                    return Err(Failure { gone, ..Failure::sent(detail) });
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    if whole.len() + data.len() > self.max_body {
                        let max = self.max_body;
                        return Err(Failure::sent(format!("body: longer than {max} bytes")));
                    }
                    whole.extend_from_slice(&data);
                }
            }
        }
    }
}

fn prepare(socket: &TcpStream, limits: Limits) -> io::Result<()> {
    socket.set_nodelay(true)?;
    let socket = SockRef::from(socket);
    socket.set_tcp_user_timeout(Some(limits.silence))?;
    // The system counts keep-alive times in whole seconds.
    let second = Duration::from_secs(limits.silence.as_secs().max(1));
    let probes = TcpKeepalive::new().with_time(second).with_interval(second).with_retries(2);
    socket.set_tcp_keepalive(&probes)
}

/// Whether the headers of a response leave its connection open.
fn keeps_open(headers: &HeaderMap) -> bool {
    let values = headers.get_all(header::CONNECTION).iter();
    let mut tokens = values.filter_map(|value| value.to_str().ok()).flat_map(|v| v.split(','));
    !tokens.any(|token| token.trim().eq_ignore_ascii_case("close"))
}

fn ending(end: Result<(), hyper::Error>) -> String {
    match end {
        Ok(()) => "closed by the peer".to_owned(),
        Err(error) => describe(&error),
    }
}

/// Whether an error tells that the peer ended the connection.
fn is_gone(error: &hyper::Error) -> bool {
    let mut cause = std::error::Error::source(error);
    while let Some(error) = cause {
        if let Some(error) = error.downcast_ref::<io::Error>() {
            return error.kind() != io::ErrorKind::TimedOut;
        }
        cause = error.source();
    }
    error.is_incomplete_message()
}

/// Joins an error and its causes, because the library prints only the former.
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
