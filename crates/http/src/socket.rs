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

use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// The size of the buffer that hyper reads into, in bytes.
pub const READ_BYTES: usize = 8 << 10;

/// A TCP socket with a [`FlushFlag`] and a [`ReadLimit`].
///
/// hyper 1 regards an exchange as finished when the response is complete, even if
/// the body of the request is not yet fully written; the next request on the
/// connection then stalls. Before the connection is reused, the flag must be
/// checked.
///
/// hyper also reads interim responses and the digits of a chunk's size without end. The
/// limit bounds them. It doubles the buffer of a connection whenever one read fills it, and
/// keeps it, so a read is always shorter.
pub struct Socket {
    tcp: TcpStream,
    flush_flag: FlushFlag,
    read_limit: ReadLimit,
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

/// The number of bytes that may still be read, and of those that were. Clones share the numbers.
#[derive(Clone, Debug, Default)]
pub struct ReadLimit(Arc<Reads>);

#[derive(Debug, Default)]
struct Reads {
    left: AtomicUsize,
    total: AtomicUsize,
}

impl ReadLimit {
    /// Allows `bytes` to be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.left.store(bytes, Ordering::Relaxed);
    }

    /// Returns the number of bytes that were read since the connection was opened.
    pub fn total(&self) -> usize {
        self.0.total.load(Ordering::Relaxed)
    }

    /// Returns the number of bytes that may still be read.
    pub fn left(&self) -> usize {
        self.0.left.load(Ordering::Relaxed)
    }

    fn spend(&self, bytes: usize) {
        self.0.total.fetch_add(bytes, Ordering::Relaxed);
        self.set(self.left().saturating_sub(bytes));
    }

    fn is_spent(&self) -> bool {
        self.left() == 0
    }
}

impl Socket {
    pub fn new(tcp: TcpStream) -> Socket {
        Socket { tcp, flush_flag: FlushFlag::default(), read_limit: ReadLimit::default() }
    }

    /// Returns the flag, which can be read while hyper owns the socket.
    pub fn flush_flag(&self) -> FlushFlag {
        self.flush_flag.clone()
    }

    /// Returns the limit, which can be set while hyper owns the socket. It is zero until
    /// then.
    pub fn read_limit(&self) -> ReadLimit {
        self.read_limit.clone()
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_limit.is_spent() {
            let error = io::Error::new(io::ErrorKind::InvalidData, "response without end");
            return Poll::Ready(Err(error));
        }
        let length = buffer.remaining().min(READ_BYTES - 1);
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(length));
        let polled = Pin::new(&mut self.tcp).poll_read(cx, &mut part);
        let read = part.filled().len();
        buffer.advance(read);
        self.read_limit.spend(read);
        polled
    }
}

impl AsyncWrite for Socket {
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
