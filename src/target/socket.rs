//! A socket that limits the frames which are read without delivering anything.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
    time::Instant,
};

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::{self, Sleep, sleep_until},
};

use super::{
    frame,
    meter::{Allowance, Meter},
};

/// The frames that are read before other tasks have their turn. The HTTP library ends a
/// connection on which some 100 short pieces of data wait for their readers.
const TURN_FRAMES: usize = 64;

/// A TCP socket with a [`Meter`].
///
/// The HTTP library reads on as long as there are bytes, whatever frames they are. A socket
/// whose meter is used up reads nothing until something is delivered, and fails if that
/// takes too long, which ends the connection.
pub struct Socket {
    tcp: TcpStream,
    position: frame::Position,
    meter: Meter,
    /// The frames that may still be read in this turn.
    turn: usize,
    /// Ends when something must have been delivered, while nothing may be read.
    wait: Option<Pin<Box<Sleep>>>,
}

impl Socket {
    pub fn new(tcp: TcpStream, meter: Meter) -> Socket {
        Socket { tcp, position: frame::Position::default(), meter, turn: TURN_FRAMES, wait: None }
    }

    /// Waits until the socket may read, and returns how many bytes.
    fn poll_allowance(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        match self.meter.allowance(Instant::now(), context) {
            Allowance::Frames(frames) => {
                self.wait = None;
                ready!(self.poll_turn(context));
                Poll::Ready(Ok(self.position.bytes(frames.min(self.turn))))
            }
            Allowance::WaitUntil(limit) => {
                ready!(self.poll_wait(limit.into(), context));
                Poll::Ready(Err(exceeded()))
            }
            Allowance::Exceeded => Poll::Ready(Err(exceeded())),
        }
    }

    /// Lets the tasks that are ready run once the turn is over.
    fn poll_turn(&mut self, context: &Context<'_>) -> Poll<()> {
        if self.turn > 0 {
            return Poll::Ready(());
        }
        self.turn = TURN_FRAMES;
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn poll_wait(&mut self, limit: time::Instant, context: &mut Context<'_>) -> Poll<()> {
        let wait = self.wait.get_or_insert_with(|| Box::pin(sleep_until(limit)));
        if wait.deadline() != limit {
            wait.as_mut().reset(limit);
        }
        wait.as_mut().poll(context)
    }

    fn poll_bytes(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        limit: usize,
    ) -> Poll<io::Result<()>> {
        if limit >= buffer.remaining() {
            return Pin::new(&mut self.tcp).poll_read(context, buffer);
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        let polled = Pin::new(&mut self.tcp).poll_read(context, &mut part);
        let length = part.filled().len();
        buffer.advance(length);
        polled
    }
}

/// Returns the error of a connection that brought too many frames.
fn exceeded() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "too many frames of no reply")
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = ready!(self.poll_allowance(context))?;
        let before = buffer.filled().len();
        let polled = self.poll_bytes(context, buffer, limit);
        let frames = self.position.advance(&buffer.filled()[before..]);
        self.turn = self.turn.saturating_sub(frames);
        self.meter.spend(frames, Instant::now());
        polled
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(context, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}
