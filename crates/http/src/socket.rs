//! A socket that records whether hyper has written all of its output, and that limits
//! what is read for one response.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A TCP socket for hyper with a [`FlushFlag`].
///
/// hyper 1 regards an exchange as finished when the response is complete, even if
/// the body of the request is not yet fully written; the next request on the
/// connection then stalls. Before the connection is reused, the flag must be
/// checked.
///
/// hyper also reads interim responses and the digits of a chunk's size without end. The
/// [`ReadLimit`] bounds them.
pub struct Socket {
    tcp: TokioIo<Limited>,
    flush_flag: FlushFlag,
}

/// The number of bytes that may still be read. Clones share the number.
#[derive(Clone, Debug)]
pub struct ReadLimit(Arc<AtomicUsize>);

impl ReadLimit {
    /// Makes a limit of `bytes`.
    pub fn new(bytes: usize) -> ReadLimit {
        ReadLimit(Arc::new(AtomicUsize::new(bytes)))
    }

    /// Allows `bytes` to be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn spend(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        self.set(left.saturating_sub(bytes));
    }

    fn is_spent(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }
}

/// A TCP socket whose reads fail once its limit is spent.
struct Limited {
    tcp: TcpStream,
    read_limit: ReadLimit,
}

impl AsyncRead for Limited {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_limit.is_spent() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "response without end");
            return Poll::Ready(Err(error));
        }
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.tcp).poll_read(cx, buffer);
        self.read_limit.spend(buffer.filled().len() - before);
        polled
    }
}

impl AsyncWrite for Limited {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.tcp).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

/// Tells whether hyper has written and flushed all of its output. Clones share the
/// flag.
#[derive(Clone, Debug, Default)]
pub struct FlushFlag(Arc<AtomicBool>);

impl FlushFlag {
    /// Returns whether no output is pending.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, is_flushed: bool) {
        self.0.store(is_flushed, Ordering::Relaxed);
    }
}

impl Socket {
    pub fn new(tcp: TcpStream, read_limit: ReadLimit) -> Socket {
        let tcp = TokioIo::new(Limited { tcp, read_limit });
        Socket { tcp, flush_flag: FlushFlag::default() }
    }

    /// Returns the flag, which can be read while hyper owns the socket.
    pub fn flush_flag(&self) -> FlushFlag {
        self.flush_flag.clone()
    }
}

impl Read for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        into: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(cx, into)
    }
}

impl Write for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.flush_flag.set(false);
        Pin::new(&mut self.tcp).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.flush_flag.set(false);
        Pin::new(&mut self.tcp).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    /// hyper flushes when it has written all buffered output.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.flush_flag.set(true);
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
