//! Connections of a stand-in target, which can be silenced or reset.

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
    table::Connection,
};

/// The state of a [`Switch`] in which bytes pass in both directions.
const OPEN: u8 = 0;
/// The state in which no bytes pass, while the connection stays open.
const SILENT: u8 = 1;
/// The state in which all reads and writes fail.
const RESET: u8 = 2;

/// The size of the chunks in which the input of a silent connection is discarded.
const DISCARD_CHUNK_BYTES: usize = 4096;

/// Switches a connection between open, silent and reset.
#[derive(Debug, Default)]
pub struct Switch {
    state: AtomicU8,
    /// The task that reads from the connection, to wake after a change.
    reader: Mutex<Option<Waker>>,
}

impl Switch {
    /// Stops all bytes in both directions, while the connection stays open.
    pub fn silence(&self) {
        self.set(SILENT);
    }

    /// Makes all reads and writes fail as on a connection that was reset.
    pub fn reset(&self) {
        self.set(RESET);
    }

    fn set(&self, state: u8) {
        self.state.store(state, Ordering::SeqCst);
        let waker = self.reader.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Returns the state and registers the reader for the next change.
    fn poll_state(&self, context: &Context<'_>) -> u8 {
        let waker = context.waker().clone();
        *self.reader.lock().unwrap_or_else(PoisonError::into_inner) = Some(waker);
        self.state.load(Ordering::SeqCst)
    }
}

/// Accepts connections as far as the target's limit allows.
pub struct Acceptor {
    listener: TcpListener,
    handle: Handle,
    cost: Duration,
}

impl Acceptor {
    /// Makes an acceptor that reads the first bytes of each connection only after
    /// `cost`.
    pub fn new(listener: TcpListener, handle: Handle, cost: Duration) -> Acceptor {
        Acceptor { listener, handle, cost }
    }

    /// Asks the engine whether to accept the connection; drops it otherwise.
    async fn admit(&self, tcp: TcpStream) -> Option<Stream> {
        let connection = Connection(self.handle.next_id());
        let switch = Arc::new(Switch::default());
        let own_switch = Arc::clone(&switch);
        let is_accepted =
            self.handle.call(|reply| Event::Connect { connection, switch, reply }).await?;
        let opening_delay = Some(Box::pin(sleep(self.cost)));
        is_accepted.then(|| Stream {
            tcp,
            connection,
            switch: own_switch,
            handle: self.handle.clone(),
            opening_delay,
        })
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

/// An accepted connection.
pub struct Stream {
    tcp: TcpStream,
    connection: Connection,
    switch: Arc<Switch>,
    handle: Handle,
    /// The rest of the time before the first bytes are read.
    opening_delay: Option<Pin<Box<Sleep>>>,
}

impl Drop for Stream {
    fn drop(&mut self) {
        self.handle.send(Event::Disconnect { connection: self.connection });
    }
}

impl Stream {
    fn poll_opening_delay(&mut self, context: &mut Context<'_>) -> Poll<()> {
        if let Some(delay) = &mut self.opening_delay {
            ready!(delay.as_mut().poll(context));
            self.opening_delay = None;
        }
        Poll::Ready(())
    }

    /// Discards input until the other end closes.
    fn poll_discard(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut chunk = [0; DISCARD_CHUNK_BYTES];
        loop {
            let mut buffer = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut self.tcp).poll_read(context, &mut buffer))?;
            if buffer.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
        }
    }
}

fn connection_reset<T>() -> Poll<io::Result<T>> {
    Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()))
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        let state = this.switch.poll_state(context);
        ready!(this.poll_opening_delay(context));
        match state {
            OPEN => Pin::new(&mut this.tcp).poll_read(context, buffer),
            SILENT => this.poll_discard(context),
            _ => connection_reset(),
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
        match this.switch.state.load(Ordering::SeqCst) {
            OPEN => Pin::new(&mut this.tcp).poll_write(context, bytes),
            SILENT => Poll::Ready(Ok(bytes.len())),
            _ => connection_reset(),
        }
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().tcp).poll_shutdown(context)
    }
}
