//! Connections of a stand-in target, which can become silent or be cut.

use std::{
    io,
    pin::Pin,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU8, Ordering},
    },
    task::{Context, Poll, Waker, ready},
    time::Duration,
};

use http::uri::Scheme;
use poem::{
    Addr,
    web::{LocalAddr, RemoteAddr},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
    time::{Sleep, sleep},
};

use super::{
    engine::{Event, Handle},
    table::Link,
};

const OPEN: u8 = 0;
const SILENT: u8 = 1;
const DEAD: u8 = 2;

/// The size of the pieces in which a silent connection's input is thrown away,
/// in bytes.
const PIECE: usize = 4096;

/// Switches one connection between open, silent and dead.
#[derive(Debug, Default)]
pub struct Gate {
    state: AtomicU8,
    reader: Mutex<Option<Waker>>,
}

impl Gate {
    /// Lets no byte pass any more, in either direction.
    pub fn silence(&self) {
        self.set(SILENT);
    }

    /// Cuts the connection.
    pub fn kill(&self) {
        self.set(DEAD);
    }

    fn set(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
        let waker = self.reader.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    fn watch(&self, context: &Context<'_>) -> u8 {
        let waker = context.waker().clone();
        *self.reader.lock().unwrap_or_else(PoisonError::into_inner) = Some(waker);
        self.state.load(Ordering::SeqCst)
    }
}

/// Accepts connections as long as the target takes them.
pub struct Acceptor {
    listener: TcpListener,
    handle: Handle,
    cost: Duration,
}

impl Acceptor {
    /// Makes an acceptor. The first bytes of each connection are read after
    /// `cost`.
    pub fn new(listener: TcpListener, handle: Handle, cost: Duration) -> Acceptor {
        Acceptor { listener, handle, cost }
    }

    async fn admit(&self, tcp: TcpStream) -> Option<Stream> {
        let link = Link(self.handle.number());
        let gate = Arc::new(Gate::default());
        let own = Arc::clone(&gate);
        let taken = self.handle.ask(|reply| Event::Connect { link, gate, reply }).await?;
        let opening = Some(Box::pin(sleep(self.cost)));
        taken.then(|| Stream { tcp, link, gate: own, handle: self.handle.clone(), opening })
    }
}

impl poem::listener::Acceptor for Acceptor {
    type Io = Stream;

    fn local_addr(&self) -> Vec<LocalAddr> {
        let address = self.listener.local_addr().ok();
        address.into_iter().map(|address| LocalAddr(Addr::from(address))).collect()
    }

    async fn accept(&mut self) -> io::Result<(Stream, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let (tcp, peer) = self.listener.accept().await?;
            tcp.set_nodelay(true)?;
            let local = LocalAddr(Addr::from(tcp.local_addr()?));
            let remote = RemoteAddr(Addr::from(peer));
            if let Some(stream) = self.admit(tcp).await {
                return Ok((stream, local, remote, Scheme::HTTP));
            }
        }
    }
}

/// One connection.
pub struct Stream {
    tcp: TcpStream,
    link: Link,
    gate: Arc<Gate>,
    handle: Handle,
    opening: Option<Pin<Box<Sleep>>>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.handle.tell(Event::Disconnect { link: self.link });
    }
}

impl Stream {
    fn poll_opening(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(opening) = &mut self.opening {
            ready!(opening.as_mut().poll(context));
            self.opening = None;
        }
        Poll::Ready(())
    }

    /// Throws away what arrives, until the other end closes.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut piece = [0; PIECE];
        loop {
            let mut buffer = ReadBuf::new(&mut piece);
            ready!(Pin::new(&mut self.tcp).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

fn dead<T>() -> Poll<io::Result<T>> {
    Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let state = this.gate.watch(context);
        ready!(this.poll_opening(context));
        match state {
            OPEN => Pin::new(&mut this.tcp).poll_read(context, buffer),
            SILENT => this.poll_discard(context),
            _ => dead(),
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        match this.gate.state.load(Ordering::SeqCst) {
            OPEN => Pin::new(&mut this.tcp).poll_write(context, bytes),
            SILENT => Poll::Ready(Ok(bytes.len())),
            _ => dead(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_shutdown(context)
    }
}
