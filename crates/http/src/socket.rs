//! A socket that shows whether all that was to be written has left.

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

/// A socket for the HTTP library.
///
/// The library takes a response for the end of its exchange even while the body
/// of the request still waits to be written, and then stalls with the next
/// request (hyper 1). Whoever reuses the connection must see that.
pub struct Socket {
    tcp: TokioIo<TcpStream>,
    drained: Drained,
}

/// Whether the library has written everything.
#[derive(Clone, Debug, Default)]
pub struct Drained(Arc<AtomicBool>);

impl Drained {
    /// Whether nothing waits to be written.
    pub fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn set(&self, is_drained: bool) {
        self.0.store(is_drained, Ordering::Relaxed);
    }
}

impl Socket {
    /// Wraps a socket.
    pub fn new(tcp: TcpStream) -> Socket {
        Socket { tcp: TokioIo::new(tcp), drained: Drained::default() }
    }

    /// Tells of the bytes that wait, while the library owns the socket.
    pub fn drained(&self) -> Drained {
        self.drained.clone()
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
        self.drained.set(false);
        Pin::new(&mut self.tcp).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.drained.set(false);
        Pin::new(&mut self.tcp).poll_write_vectored(cx, parts)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    /// The library flushes once it has written all that it holds.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.drained.set(true);
        Pin::new(&mut self.tcp).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
