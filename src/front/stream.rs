//! The stream of one caller, with limits on time and size.
//!
//! The HTTP library reads as long as bytes come. This stream ends a connection
//! whose head is too large or does not arrive in time, also if it comes byte by
//! byte, and one that stays idle or does not take its response. A refused
//! caller is answered, and the rest of what it sends is read for a moment,
//! because unread bytes would make the system reset the connection and lose the
//! answer.

use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll, ready},
    time::Duration,
};

use laburnum_core::fault::{Fault, Kind};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{Instant, Sleep, sleep},
};

use super::{
    connection::{Connection, Phase, State},
    head::Head,
    limit::Limits,
    probe::Metrics,
    problem::Refusal,
};

/// The time for which a refused caller is read.
pub const LINGER: Duration = Duration::from_secs(1);

/// The bytes that are thrown away at a time.
pub const WASTE: usize = 4096;

/// A deadline that is set anew when what it belongs to changes.
struct Timer {
    sleep: Pin<Box<Sleep>>,
    of: Option<State>,
}

impl Timer {
    fn new() -> Timer {
        Timer { sleep: Box::pin(sleep(Duration::ZERO)), of: None }
    }

    /// Waits until `span` has passed since the first poll for `of`.
    fn poll(&mut self, cx: &mut Context<'_>, of: State, span: Duration) -> Poll<()> {
        if self.of != Some(of) {
            self.of = Some(of);
            self.sleep.as_mut().reset(Instant::now() + span);
        }
        self.sleep.as_mut().poll(cx)
    }

    fn clear(&mut self) {
        self.of = None;
    }
}

/// The stream of one caller.
pub struct Stream {
    socket: TcpStream,
    limits: Limits,
    metrics: Arc<dyn Metrics>,
    connection: Arc<Connection>,
    head: Head,
    reading: Timer,
    writing: Timer,
    lingering: Timer,
    is_flushed: bool,
    is_refused: bool,
}

impl Stream {
    /// Wraps the socket of a caller.
    pub fn new(
        socket: TcpStream,
        limits: Limits,
        metrics: Arc<dyn Metrics>,
        connection: Arc<Connection>,
    ) -> Stream {
        Stream {
            socket,
            limits,
            metrics,
            connection,
            head: Head::default(),
            reading: Timer::new(),
            writing: Timer::new(),
            lingering: Timer::new(),
            is_flushed: true,
            is_refused: false,
        }
    }

    /// Counts bytes that have arrived.
    fn take(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        match self.connection.state().phase {
            Phase::Waiting => {
                self.connection.arrive();
                self.head = Head::default();
            }
            Phase::Head => {}
            Phase::Request | Phase::Last => return Ok(()),
        }
        self.head.take(bytes);
        self.check()
    }

    fn check(&self) -> Result<(), Fault> {
        if self.head.is_http2() {
            let detail = "version: found HTTP/2, allowed is HTTP/1.1";
            return Err(Fault::not_run(Kind::Malformed, detail));
        }
        let limit = self.limits.header_size;
        if self.head.size() > limit {
            let detail = format!("headers: allowed are {limit} bytes");
            return Err(Fault::not_run(Kind::TooLarge, detail));
        }
        Ok(())
    }

    /// Waits for the time at which the missing bytes are given up.
    fn wait(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let state = self.connection.watch(cx.waker());
        match state.phase {
            Phase::Request | Phase::Last => Poll::Pending,
            Phase::Waiting => {
                ready!(self.reading.poll(cx, state, self.limits.idle_timeout));
                Poll::Ready(Ok(()))
            }
            Phase::Head => {
                let limit = self.limits.header_timeout;
                ready!(self.reading.poll(cx, state, limit));
                let detail = format!("headers: allowed are {} ms", limit.as_millis());
                self.refuse(cx, Fault::not_run(Kind::SlowCaller, detail));
                self.linger(cx)
            }
        }
    }

    /// Answers in place of the HTTP library, which has seen no whole head.
    fn refuse(&mut self, cx: &mut Context<'_>, fault: Fault) {
        self.is_refused = true;
        self.metrics.refused(fault.kind);
        if self.is_flushed {
            // A caller that does not take these few bytes gets no answer.
            let _ = self.socket.try_write(&Refusal::from(fault).message());
        }
        let _ = Pin::new(&mut self.socket).poll_shutdown(cx);
    }

    /// Throws away what arrives until the caller closes or the time is up.
    fn linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let state = self.connection.state();
        let mut waste = [0; WASTE];
        while self.lingering.poll(cx, state, LINGER).is_pending() {
            let mut buffer = ReadBuf::new(&mut waste);
            let read = ready!(Pin::new(&mut self.socket).poll_read(cx, &mut buffer));
            if read.is_err() || buffer.filled().is_empty() {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        if stream.is_refused {
            return stream.linger(cx);
        }
        let before = buf.filled().len();
        match Pin::new(&mut stream.socket).poll_read(cx, buf) {
            Poll::Pending => stream.wait(cx),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) => match stream.take(&buf.filled()[before..]) {
                Ok(()) => Poll::Ready(Ok(())),
                Err(fault) => {
                    buf.set_filled(before);
                    stream.refuse(cx, fault);
                    stream.linger(cx)
                }
            },
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        stream.is_flushed = false;
        if let Poll::Ready(written) = Pin::new(&mut stream.socket).poll_write(cx, buf) {
            stream.writing.clear();
            return Poll::Ready(written);
        }
        let state = stream.connection.state();
        ready!(stream.writing.poll(cx, state, stream.limits.idle_timeout));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        ready!(Pin::new(&mut stream.socket).poll_flush(cx))?;
        stream.is_flushed = true;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        ready!(Pin::new(&mut stream.socket).poll_shutdown(cx))?;
        if stream.connection.state().phase == Phase::Last {
            return stream.linger(cx);
        }
        Poll::Ready(Ok(()))
    }
}
