//! The byte stream of one caller, with limits on time and size.
//!
//! The HTTP library reads as long as bytes come. This stream ends a connection
//! whose head is too large or does not arrive in time, even if it trickles in
//! byte by byte, and a connection that stays idle or does not take its
//! response fast enough. A refused caller is answered, and what it still sends is read and
//! discarded for up to [`LINGER_TIMEOUT`], because unread bytes would make the
//! operating system reset the connection and lose the answer.

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

/// The longest time for which the bytes of a refused caller are read and
/// discarded.
pub const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// The most bytes that are discarded at a time.
pub const DISCARD_BUFFER_BYTES: usize = 4096;

/// A timer that restarts when the state of the connection changes.
struct Timer {
    sleep: Pin<Box<Sleep>>,
    state: Option<State>,
}

impl Timer {
    fn new() -> Timer {
        Timer { sleep: Box::pin(sleep(Duration::ZERO)), state: None }
    }

    /// Waits until `span` has passed since the first poll with this `state`.
    fn poll(&mut self, cx: &mut Context<'_>, state: State, span: Duration) -> Poll<()> {
        if self.state != Some(state) {
            self.state = Some(state);
            self.sleep.as_mut().reset(Instant::now() + span);
        }
        self.sleep.as_mut().poll(cx)
    }

    /// Waits for a span from now.
    fn poll_within(&mut self, cx: &mut Context<'_>, span: Duration) -> Poll<()> {
        self.sleep.as_mut().reset(Instant::now() + span);
        self.sleep.as_mut().poll(cx)
    }
}

/// The byte stream of one caller.
pub struct Stream {
    socket: TcpStream,
    limits: Limits,
    metrics: Arc<dyn Metrics>,
    connection: Arc<Connection>,
    head: Head,
    read_timer: Timer,
    write_timer: Timer,
    /// Whether bytes wait for the caller, as the network took not all of them at once.
    is_waiting: bool,
    linger_timer: Timer,
    is_flushed: bool,
    is_refused: bool,
}

impl Stream {
    /// Wraps the socket of a caller with `limits`.
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
            read_timer: Timer::new(),
            write_timer: Timer::new(),
            is_waiting: false,
            linger_timer: Timer::new(),
            is_flushed: true,
            is_refused: false,
        }
    }

    /// Adds bytes that have arrived to the head and checks it.
    fn receive(&mut self, bytes: &[u8]) -> Result<(), Fault> {
        let phase = self.connection.state().phase;
        self.connection.receive_bytes(bytes.len());
        match phase {
            Phase::Waiting => self.head = Head::default(),
            Phase::Head => {}
            Phase::Request | Phase::Closing => return Ok(()),
        }
        self.head.push(bytes);
        self.check_head()
    }

    fn check_head(&self) -> Result<(), Fault> {
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

    /// Polls the time limit of the current phase. A connection that stays idle
    /// is closed, and one whose head is late is refused.
    fn poll_read_timeout(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let state = self.connection.watch(cx.waker());
        match state.phase {
            Phase::Request | Phase::Closing => Poll::Pending,
            Phase::Waiting => {
                ready!(self.read_timer.poll(cx, state, self.limits.idle_timeout));
                Poll::Ready(Ok(()))
            }
            Phase::Head => {
                let limit = self.limits.header_timeout;
                ready!(self.read_timer.poll(cx, state, limit));
                let detail = format!("headers: allowed are {} ms", limit.as_millis());
                self.refuse(cx, Fault::not_run(Kind::SlowCaller, detail));
                self.poll_linger(cx)
            }
        }
    }

    /// Passes on the result of a write, unless the caller is too slow.
    fn poll_sent(
        &mut self,
        cx: &mut Context<'_>,
        polled: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        self.is_flushed = false;
        if let Poll::Ready(written) = polled {
            if self.is_waiting {
                self.connection.send_bytes(*written.as_ref().unwrap_or(&0));
            }
            return Poll::Ready(written);
        }
        if !std::mem::replace(&mut self.is_waiting, true) {
            self.connection.wait_for_reader();
        }
        let left = self.connection.reader_time_left(&self.limits);
        ready!(self.write_timer.poll_within(cx, left));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Answers in place of the HTTP library, which has not seen a whole head.
    fn refuse(&mut self, cx: &mut Context<'_>, fault: Fault) {
        self.is_refused = true;
        self.metrics.refused(fault.kind);
        if self.is_flushed {
            // A caller whose socket has no room for this short response gets
            // none.
            let _ = self.socket.try_write(&Refusal::from(fault).to_http());
        }
        let _ = Pin::new(&mut self.socket).poll_shutdown(cx);
    }

    /// Discards what arrives until the caller closes or [`LINGER_TIMEOUT`] is
    /// over.
    fn poll_linger(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let state = self.connection.state();
        let mut discarded = [0; DISCARD_BUFFER_BYTES];
        while self.linger_timer.poll(cx, state, LINGER_TIMEOUT).is_pending() {
            let mut buffer = ReadBuf::new(&mut discarded);
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
            return stream.poll_linger(cx);
        }
        let before = buf.filled().len();
        match Pin::new(&mut stream.socket).poll_read(cx, buf) {
            Poll::Pending => stream.poll_read_timeout(cx),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(())) => match stream.receive(&buf.filled()[before..]) {
                Ok(()) => Poll::Ready(Ok(())),
                Err(fault) => {
                    buf.set_filled(before);
                    stream.refuse(cx, fault);
                    stream.poll_linger(cx)
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
        let polled = Pin::new(&mut stream.socket).poll_write(cx, buf);
        stream.poll_sent(cx, polled)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let stream = self.get_mut();
        let polled = Pin::new(&mut stream.socket).poll_write_vectored(cx, parts);
        stream.poll_sent(cx, polled)
    }

    /// The HTTP library copies a whole body if it cannot write it in parts.
    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        ready!(Pin::new(&mut stream.socket).poll_flush(cx))?;
        stream.is_waiting = false;
        if !std::mem::replace(&mut stream.is_flushed, true) {
            stream.connection.finish_sending();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let stream = self.get_mut();
        ready!(Pin::new(&mut stream.socket).poll_shutdown(cx))?;
        if stream.connection.state().phase == Phase::Closing {
            return stream.poll_linger(cx);
        }
        Poll::Ready(Ok(()))
    }
}
