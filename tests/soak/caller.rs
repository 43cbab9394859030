//! Callers, which send requests over connections that they keep open until the relay
//! closes them, and record the outcomes.

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
    ledger::{Answer, Kind, Ledger, Outcome, Request},
    message::{self, Message},
};

/// The deadline that a caller states in each request.
pub const REQUEST_DEADLINE_MS: u64 = 1500;

/// How long a caller waits for an answer before it closes the connection. It is longer
/// than every bound that is checked, so that the checks see each late answer.
const ANSWER_LIMIT: Duration = Duration::from_secs(4);

/// The pause between two requests of a caller.
const PAUSE_MS: std::ops::Range<u64> = 5..35;

/// The share of requests whose caller closes the connection before the answer.
const CANCEL_SHARE: f64 = 0.02;

/// The number of requests so far, from which each request gets a unique id.
static REQUEST_COUNT: AtomicU64 = AtomicU64::new(0);

/// A caller of one relay.
pub struct Caller {
    pub relay: usize,
    pub address: SocketAddr,
    pub ledger: Ledger,
}

impl Caller {
    /// Sends one request after the other until `stop` is true.
    pub async fn send_requests(self, stop: &AtomicBool) {
        let mut connection: Option<(TcpStream, Vec<u8>)> = None;
        while !stop.load(Ordering::Relaxed) {
            sleep(random_pause()).await;
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
            connection = self.send(open, random_kind()).await;
        }
    }

    /// Sends a request that crashes targets, on a new connection.
    pub async fn send_poison(&self) {
        if let Ok(socket) = TcpStream::connect(self.address).await {
            self.send((socket, Vec::new()), Kind::Poison).await;
        }
    }

    /// Sends one request, records its outcome and returns the connection if it can be
    /// used again.
    async fn send(
        &self,
        (mut socket, mut buffer): (TcpStream, Vec<u8>),
        kind: Kind,
    ) -> Option<(TcpStream, Vec<u8>)> {
        let id = format!("{:08x}", REQUEST_COUNT.fetch_add(1, Ordering::Relaxed) + 0x1000_0000);
        let body = if kind == Kind::Operation { operation_body(&id) } else { Vec::new() };
        let mut text = request_head(&id, kind, body.len()).into_bytes();
        text.extend_from_slice(&body);
        let sent = Instant::now();
        let cancels = rand::rng().random::<f64>() < CANCEL_SHARE;
        let limit = if cancels { Duration::from_millis(3) } else { ANSWER_LIMIT };
        let exchange = async {
            socket.write_all(&text).await?;
            message::read(&mut socket, &mut buffer).await
        };
        let outcome = match timeout(limit, exchange).await {
            Err(_) if cancels => Outcome::Cancelled,
            Err(_) => Outcome::Closed { detail: "no answer within the limit".to_owned() },
            Ok(Err(error)) if error.kind() == std::io::ErrorKind::InvalidData => {
                Outcome::Malformed(error.to_string())
            }
            Ok(Err(error)) => Outcome::Closed { detail: error.to_string() },
            Ok(Ok(None)) => {
                Outcome::Closed { detail: "connection closed before an answer".to_owned() }
            }
            Ok(Ok(Some(answer))) => parse_answer(&answer),
        };
        let is_reusable = matches!(&outcome, Outcome::Answer(answer) if !answer.closes_connection);
        let request =
            Request { id, kind, relay: self.relay, body, sent, ended: Instant::now(), outcome };
        let mut rows = self.ledger.rows();
        if is_reusable && !buffer.is_empty() {
            rows.violations.push(format!("{}: unexpected bytes after the answer", request.id));
        }
        rows.requests.push(request);
        drop(rows);
        is_reusable.then_some((socket, buffer))
    }
}

fn random_pause() -> Duration {
    Duration::from_millis(rand::rng().random_range(PAUSE_MS))
}

fn random_kind() -> Kind {
    if rand::rng().random::<f64>() < 0.6 { Kind::Search } else { Kind::Operation }
}

/// Returns a body for an operation; it repeats the request's id, so that the checks see
/// which request it belongs to.
fn operation_body(id: &str) -> Vec<u8> {
    id.repeat(rand::rng().random_range(1..200)).into_bytes()
}

fn request_head(id: &str, kind: Kind, length: usize) -> String {
    let (method, path) = match kind {
        Kind::Search => ("GET", format!("/search/{id}?page=2")),
        Kind::Operation => ("POST", format!("/desk/{id}?step=1")),
        Kind::Poison => ("GET", "/search/poison".to_owned()),
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: {id}\r\n\
         {DEADLINE_MS}: {REQUEST_DEADLINE_MS}\r\nContent-Length: {length}\r\n\r\n"
    )
}

fn parse_answer(answer: &Message) -> Outcome {
    let Ok(status) = answer.second_word().parse() else {
        return Outcome::Malformed(answer.start_line.clone());
    };
    let named = answer.header(DIGESTS.as_str()).map(|text| text.split(',').map(str::trim));
    Outcome::Answer(Answer {
        status,
        digest: answer.header(DIGEST.as_str()).map(str::to_owned),
        digests: named.into_iter().flatten().map(str::to_owned).collect(),
        missing: answer.header(MISSING.as_str()).and_then(|n| n.parse().ok()).unwrap_or(0),
        closes_connection: answer.header("connection") == Some("close"),
        body: answer.body.clone(),
    })
}
