//! Callers: they send requests over connections that they keep open until the
//! relay ends them, and note what they get.

use std::{
    net::SocketAddr,
    sync::atomic::{AtomicBool, AtomicU64, Ordering},
    time::{Duration, Instant},
};

use laburnum_platform::header::{ATTEMPT_ID, DEADLINE_MS, DIGEST, DIGESTS, MISSING};
use rand::RngExt;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    entries::HOST,
    ledger::{Answer, Ask, Kind, Ledger, Outcome},
    message::{self, Message},
};

/// How long a caller waits for an answer, in milliseconds.
pub const PATIENCE_MS: u64 = 1500;

/// The time after which a caller gives up a relay that says nothing at all. It
/// is above every bound that is checked.
const GIVE_UP: Duration = Duration::from_secs(4);

/// The pause between two requests of a caller, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 5..35;

/// The share of callers that leave early.
const LEAVES: f64 = 0.02;

/// The number of the last request.
static LAST: AtomicU64 = AtomicU64::new(0);

/// Sends requests to a relay until it is told to stop.
pub struct Caller {
    pub relay: usize,
    pub address: SocketAddr,
    pub ledger: Ledger,
}

impl Caller {
    pub async fn run(self, stop: &AtomicBool) {
        let mut connection: Option<(TcpStream, Vec<u8>)> = None;
        while !stop.load(Ordering::Relaxed) {
            sleep(pause()).await;
            let open = match connection.take() {
                Some(open) => open,
                None => match TcpStream::connect(self.address).await {
                    Ok(socket) => (socket, Vec::new()),
                    Err(_) => {
                        sleep(Duration::from_millis(30)).await;
                        continue;
                    }
                },
            };
            connection = self.ask(open, kind()).await;
        }
    }

    /// Sends the request that crashes targets, on a connection of its own.
    pub async fn poison(&self) {
        if let Ok(socket) = TcpStream::connect(self.address).await {
            self.ask((socket, Vec::new()), Kind::Poison).await;
        }
    }

    /// Sends one request and returns the connection if it can be used again.
    async fn ask(
        &self,
        (mut socket, mut buffer): (TcpStream, Vec<u8>),
        kind: Kind,
    ) -> Option<(TcpStream, Vec<u8>)> {
        let id = format!("{:08x}", LAST.fetch_add(1, Ordering::Relaxed) + 0x1000_0000);
        let body = if kind == Kind::Operation { content(&id) } else { Vec::new() };
        let mut text = head(&id, kind, body.len()).into_bytes();
        text.extend_from_slice(&body);
        let sent = Instant::now();
        let leaves = rand::rng().random::<f64>() < LEAVES;
        let wait = if leaves { Duration::from_millis(3) } else { GIVE_UP };
        let exchange = async {
            socket.write_all(&text).await?;
            message::read(&mut socket, &mut buffer).await
        };
        let outcome = match timeout(wait, exchange).await {
            Err(_) if leaves => Outcome::Left,
            Err(_) => Outcome::Closed { detail: "no answer at all".to_owned() },
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::InvalidData => {
                Outcome::Stray(error.to_string())
            }
            Ok(Err(error)) => Outcome::Closed { detail: error.to_string() },
            Ok(Ok(None)) => Outcome::Closed { detail: "closed before an answer".to_owned() },
            Ok(Ok(Some(answer))) => read(&answer),
        };
        let stays = matches!(&outcome, Outcome::Answer(answer) if !answer.closes);
        let ask = Ask { id, kind, relay: self.relay, body, sent, ended: Instant::now(), outcome };
        let mut rows = self.ledger.rows();
        if stays && !buffer.is_empty() {
            rows.breaches.push(format!("{}: bytes after the answer", ask.id));
        }
        rows.asks.push(ask);
        drop(rows);
        stays.then_some((socket, buffer))
    }
}

fn pause() -> Duration {
    Duration::from_millis(rand::rng().random_range(PAUSE_MS))
}

fn kind() -> Kind {
    if rand::rng().random::<f64>() < 0.6 { Kind::Search } else { Kind::Operation }
}

/// The body of an operation, which tells the request that it belongs to.
fn content(id: &str) -> Vec<u8> {
    id.repeat(rand::rng().random_range(1..200)).into_bytes()
}

fn head(id: &str, kind: Kind, length: usize) -> String {
    let (method, path) = match kind {
        Kind::Search => ("GET", format!("/search/{id}?page=2")),
        Kind::Operation => ("POST", format!("/desk/{id}?step=1")),
        Kind::Poison => ("GET", "/search/poison".to_owned()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: {id}\r\n\
         {DEADLINE_MS}: {PATIENCE_MS}\r\nContent-Length: {length}\r\n\r\n"
    )
}

fn read(answer: &Message) -> Outcome {
    let Ok(status) = answer.second().parse() else {
        return Outcome::Stray(answer.first.clone());
    };
    let named = answer.header(DIGESTS.as_str()).map(|text| text.split(',').map(str::trim));
    Outcome::Answer(Answer {
        status,
        digest: answer.header(DIGEST.as_str()).map(str::to_owned),
        digests: named.into_iter().flatten().map(str::to_owned).collect(),
        missing: answer.header(MISSING.as_str()).and_then(|n| n.parse().ok()).unwrap_or(0),
        closes: answer.header("connection") == Some("close"),
        body: answer.body.clone(),
    })
}
