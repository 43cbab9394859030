//! A socket that records whether hyper has written all of its output.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// A TCP socket for hyper with a [`FlushFlag`].
///
/// hyper 1 regards an exchange as finished when the response is complete, even if
/// the body of the request is not yet fully written; the next request on the
/// connection then stalls. Before the connection is reused, the flag must be
/// checked.
pub struct Socket {
    tcp: TokioIo<TcpStream>,
    flush_flag: FlushFlag,
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
    pub fn new(tcp: TcpStream) -> Socket {
        Socket { tcp: TokioIo::new(tcp), flush_flag: FlushFlag::default() }
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
