//! Peers that send bytes without end, which are no answer.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::{Duration, Instant},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

/// The pause between two pieces of a slow peer.
const PIECE_PAUSE: Duration = Duration::from_millis(100);

/// The least size of what a fast peer writes at once, in bytes.
const WRITE_BYTES: usize = 16 << 10;

/// How fast a peer sends.
#[derive(Clone, Copy, Debug)]
pub enum Pace {
    /// As fast as its connection takes the bytes.
    Fast,
    /// This number of bytes at once, and then a piece now and then.
    Slow { at_once: usize },
}

/// What a peer sends on each connection once it has read a request.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// What comes first.
    pub start: &'static str,
    /// The time between that and what follows.
    pub pause: Duration,
    /// What follows without end.
    pub piece: &'static str,
    pub pace: Pace,
}

/// What peers got rid of. Clones share the numbers.
#[derive(Clone, Debug, Default)]
pub struct Tally(Arc<Shared>);

#[derive(Debug, Default)]
struct Shared {
    begun: AtomicUsize,
    open: AtomicUsize,
    longest_ms: AtomicUsize,
    most_bytes: AtomicUsize,
}

impl Tally {
    /// Returns the number of connections on which a flood has begun.
    pub fn begun(&self) -> usize {
        self.0.begun.load(Ordering::Relaxed)
    }

    /// Returns the number of connections on which a flood goes on.
    pub fn open(&self) -> usize {
        self.0.open.load(Ordering::Relaxed)
    }

    /// Returns the longest time for which a flood went on that has ended.
    pub fn longest(&self) -> Duration {
        Duration::from_millis(self.0.longest_ms.load(Ordering::Relaxed) as u64)
    }

    /// Returns the most bytes that went out on one connection.
    pub fn most_bytes(&self) -> usize {
        self.0.most_bytes.load(Ordering::Relaxed)
    }

    fn begin(&self) {
        self.0.begun.fetch_add(1, Ordering::Relaxed);
        self.0.open.fetch_add(1, Ordering::Relaxed);
    }

    fn end(&self, begun: Instant, bytes: usize) {
        let millis = begun.elapsed().as_millis() as usize;
        self.0.open.fetch_sub(1, Ordering::Relaxed);
        self.0.longest_ms.fetch_max(millis, Ordering::Relaxed);
        self.0.most_bytes.fetch_max(bytes, Ordering::Relaxed);
    }
}

/// Starts a peer that floods each of its connections, until the runtime ends.
pub async fn start(flood: Flood, tally: &Tally) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let tally = tally.clone();
    tokio::spawn(async move {
        loop {
            let (socket, _) = listener.accept().await.unwrap();
            tokio::spawn(serve(socket, flood, tally.clone()));
        }
    });
    address
}

async fn serve(mut socket: TcpStream, flood: Flood, tally: Tally) {
    if !read_head(&mut socket).await || socket.write_all(flood.start.as_bytes()).await.is_err() {
        return;
    }
    sleep(flood.pause).await;
    run(&mut socket, flood.piece.as_bytes(), flood.pace, &tally).await;
}

/// Sends pieces without end until the other side closes the connection.
pub async fn run(socket: &mut TcpStream, piece: &[u8], pace: Pace, tally: &Tally) {
    tally.begin();
    let begun = Instant::now();
    let bytes = match pace {
        Pace::Fast => send_fast(socket, piece).await,
        Pace::Slow { at_once } => send_slowly(socket, piece, at_once).await,
    };
    tally.end(begun, bytes);
}

/// Reads the head of a request; returns false if none comes.
async fn read_head(socket: &mut TcpStream) -> bool {
    let mut head = Vec::new();
    let mut part = vec![0; 16 << 10];
    while !head.ends_with(b"\r\n\r\n") {
        match socket.read(&mut part).await {
            Ok(0) | Err(_) => return false,
            Ok(count) => head.extend_from_slice(&part[..count]),
        }
    }
    true
}

async fn send_fast(socket: &mut TcpStream, piece: &[u8]) -> usize {
    let pieces = piece.repeat(WRITE_BYTES.div_ceil(piece.len()));
    let mut sent = 0;
    while socket.write_all(&pieces).await.is_ok() {
        sent += pieces.len();
    }
    sent
}

async fn send_slowly(socket: &mut TcpStream, piece: &[u8], at_once: usize) -> usize {
    let first = piece.repeat(at_once.div_ceil(piece.len()));
    let mut next = first.as_slice();
    let mut sent = 0;
    while socket.write_all(next).await.is_ok() {
        sent += next.len();
        next = piece;
        sleep(PIECE_PAUSE).await;
    }
    sent
}
