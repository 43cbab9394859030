//! A target that speaks the published protocol, misbehaves on request and records the
//! attempts that reach it.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use laburnum_platform::header::{ATTEMPT_ID, DEADLINE_MS, DIGEST, NOT_RUN, TARGET};
use rand::RngExt;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};

use crate::{
    ledger::{Attempt, Ledger},
    message::{self, Message},
    proxy,
};

/// The number of requests that a target runs at a time; it refuses further ones.
pub const SLOTS: u64 = 4;

/// How long a target is down after a request that crashed it.
const CRASH_DOWNTIME: Duration = Duration::from_millis(1500);

/// How a target treats a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    Normal,
    /// Takes 60 ms instead of the usual time.
    Slow,
    /// Answers with status 500.
    Fails,
    /// Refuses the request with status 503 and the promise that it was not run.
    Sheds,
    /// Answers 5 s late.
    Hangs,
    /// Sends a truncated answer and closes the connection.
    Cuts,
    /// Sends the answer twice.
    Doubles,
    /// Sends the answer under the id of another attempt.
    Crosses,
    /// Sends an answer without a content length and closes the connection.
    Unframed,
}

/// The state of a target that its connections share.
struct State {
    id: String,
    service: &'static str,
    endpoint: usize,
    /// A behaviour and the share of requests that it applies to.
    behaviour: Mutex<(Behaviour, f64)>,
    /// The end of the pause before which no request is answered.
    paused: Mutex<Option<Instant>>,
    /// The number of requests that run now.
    running: AtomicU64,
    down: watch::Sender<bool>,
    ledger: Ledger,
}

/// A handle to a target, which runs as tasks of the test.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Target {
    pub async fn start(id: &str, service: &'static str, endpoint: usize, ledger: Ledger) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            id: id.to_owned(),
            service,
            endpoint,
            behaviour: Mutex::new((Behaviour::Normal, 0.0)),
            paused: Mutex::new(None),
            running: AtomicU64::new(0),
            down: watch::Sender::new(false),
            ledger,
        });
        tokio::spawn(serve(listener, address, Arc::clone(&state)));
        Target { address, state }
    }

    pub fn id(&self) -> &str {
        &self.state.id
    }

    pub fn service(&self) -> &'static str {
        self.state.service
    }

    /// Sets the behaviour for a share of the requests; the others get a normal answer.
    pub fn set_behaviour(&self, behaviour: Behaviour, share: f64) {
        *self.state.behaviour.lock().unwrap() = (behaviour, share);
    }

    /// Delays the answers to requests until the time `span` has passed.
    pub fn pause(&self, span: Duration) {
        *self.state.paused.lock().unwrap() = Some(Instant::now() + span);
    }

    /// Returns a receiver that shows whether the target is down.
    pub fn down(&self) -> watch::Receiver<bool> {
        self.state.down.subscribe()
    }

    /// Closes all connections and accepts none, or accepts connections again.
    pub fn set_down(&self, is_down: bool) {
        self.state.down.send_replace(is_down);
    }
}

/// Accepts connections while the target is up, and closes them when it goes down.
async fn serve(listener: TcpListener, address: SocketAddr, state: Arc<State>) {
    let connections = Arc::new(Mutex::new(JoinSet::new()));
    let (mut down, open, shared) =
        (state.down.subscribe(), Arc::clone(&connections), Arc::clone(&state));
    let accepting = proxy::accept(listener, address, down.clone(), move |socket| {
        open.lock().unwrap().spawn(connection(socket, Arc::clone(&shared)));
    });
    let ending = async {
        while down.wait_for(|is_down| *is_down).await.is_ok() {
            connections.lock().unwrap().abort_all();
            if down.wait_for(|is_down| !is_down).await.is_err() {
                return;
            }
        }
    };
    tokio::join!(accepting, ending);
}

async fn connection(mut socket: TcpStream, state: Arc<State>) {
    let _ = socket.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Ok(Some(request)) = message::read(&mut socket, &mut buffer).await {
        if !state.answer(&mut socket, &request).await {
            return;
        }
    }
}

/// Counts a request as running until it ends or its connection does.
struct Slot<'a>(&'a AtomicU64);

impl<'a> Slot<'a> {
    fn take(running: &'a AtomicU64) -> Slot<'a> {
        running.fetch_add(1, Ordering::Relaxed);
        Slot(running)
    }
}

impl Drop for Slot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl State {
    /// Answers a request and returns whether the connection can be used further.
    async fn answer(&self, socket: &mut TcpStream, request: &Message) -> bool {
        let row = self.row(request);
        if request.header(TARGET.as_str()) != Some(&self.id) {
            self.ledger.rows().attempts.push(Attempt { refused: true, ..row });
            return send(socket, &refusal(421)).await;
        }
        let behaviour = self.draw_behaviour();
        let is_full = self.running.load(Ordering::Relaxed) >= SLOTS;
        if is_full || behaviour == Behaviour::Sheds {
            self.ledger.rows().attempts.push(Attempt { refused: true, ..row });
            return send(socket, &refusal(503)).await;
        }
        let _slot = Slot::take(&self.running);
        self.execute(socket, row, behaviour).await
    }

    /// Returns the row of an attempt that has no result yet.
    fn row(&self, request: &Message) -> Attempt {
        let number = request.header(DEADLINE_MS.as_str()).and_then(|text| text.parse().ok());
        Attempt {
            id: request.header(ATTEMPT_ID.as_str()).unwrap_or_default().to_owned(),
            target: self.id.clone(),
            endpoint: self.endpoint,
            service: self.service.to_owned(),
            path: request.second_word().to_owned(),
            body: request.body.clone(),
            at: Instant::now(),
            deadline: Duration::from_millis(number.unwrap_or(u64::MAX >> 20)),
            success: None,
            refused: false,
        }
    }

    fn draw_behaviour(&self) -> Behaviour {
        let (behaviour, share) = *self.behaviour.lock().unwrap();
        if rand::rng().random::<f64>() < share { behaviour } else { Behaviour::Normal }
    }

    /// Records an attempt, runs it and answers as `behaviour` requires. Returns whether the
    /// connection can be used further.
    async fn execute(&self, socket: &mut TcpStream, row: Attempt, behaviour: Behaviour) -> bool {
        if row.path.contains("poison") {
            return self.crash(row).await;
        }
        let index = {
            let mut rows = self.ledger.rows();
            rows.attempts.push(row.clone());
            rows.attempts.len() - 1
        };
        let paused = *self.paused.lock().unwrap();
        if let Some(until) = paused {
            sleep(until.saturating_duration_since(Instant::now())).await;
        }
        let usual_ms = if row.path.starts_with("/desk/") { 5..40 } else { 1..5 };
        let span_ms =
            if behaviour == Behaviour::Slow { 60 } else { rand::rng().random_range(usual_ms) };
        sleep(Duration::from_millis(span_ms)).await;
        if behaviour == Behaviour::Hangs {
            sleep(Duration::from_secs(5)).await;
        }
        let (digest, body) = success(&row, &self.id);
        if !matches!(behaviour, Behaviour::Fails | Behaviour::Crosses | Behaviour::Cuts) {
            self.ledger.rows().attempts[index].success = Some((digest.clone(), body.clone()));
        }
        let text = reply(&row.id, &digest, &body);
        match behaviour {
            Behaviour::Fails => send(socket, &failure(&row.id)).await,
            Behaviour::Cuts => {
                send(socket, &text[..text.len() - 5]).await;
                false
            }
            Behaviour::Doubles => send(socket, &[&text[..], &text[..]].concat()).await,
            Behaviour::Crosses => send(socket, &reply("another", &digest, &body)).await,
            Behaviour::Unframed => {
                send(socket, &unframed(&row.id, &digest, &body)).await;
                false
            }
            Behaviour::Normal | Behaviour::Slow | Behaviour::Hangs | Behaviour::Sheds => {
                send(socket, &text).await
            }
        }
    }

    /// Goes down without an answer to the request, and comes back after
    /// [`CRASH_DOWNTIME`].
    async fn crash(&self, row: Attempt) -> bool {
        {
            let mut rows = self.ledger.rows();
            let name = format!("{}@{}", self.id, rows.attempts.len());
            rows.crashes.insert(name, row.at);
            rows.attempts.push(row);
        }
        self.down.send_replace(true);
        let down = self.down.clone();
        tokio::spawn(async move {
            sleep(CRASH_DOWNTIME).await;
            down.send_replace(false);
        });
        false
    }
}

async fn send(socket: &mut TcpStream, bytes: &[u8]) -> bool {
    socket.write_all(bytes).await.is_ok()
}

/// Returns the digest and the body of a success. Both depend on the service and the id of
/// the request, so that the checks can tell the replies apart.
fn success(row: &Attempt, target: &str) -> (String, Vec<u8>) {
    let digest = format!("{}.{}.{target}", row.id, row.service);
    let mut body = Vec::new();
    for number in 0..4u8 {
        let mut record = [0; 16];
        let mark = format!("{}{number}{}", row.service, row.id);
        let start = mark.bytes().fold(7u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
        record[0] = start;
        record[1..9].copy_from_slice(&mark.as_bytes()[..8]);
        body.extend_from_slice(&record);
    }
    (digest, body)
}

fn reply(id: &str, digest: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {id}\r\n{DIGEST}: {digest}\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// Returns a success without a content length, so that its end is not defined.
fn unframed(id: &str, digest: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 200 OK\r\n{ATTEMPT_ID}: {id}\r\n{DIGEST}: {digest}\r\n\r\n");
    [head.as_bytes(), body].concat()
}

fn failure(id: &str) -> Vec<u8> {
    let head = format!("HTTP/1.1 500 Failed\r\n{ATTEMPT_ID}: {id}\r\n{DIGEST}: failed.{id}\r\n");
    format!("{head}Content-Length: 0\r\n\r\n").into_bytes()
}

fn refusal(status: u16) -> Vec<u8> {
    format!("HTTP/1.1 {status} No\r\n{NOT_RUN}: 1\r\nContent-Length: 0\r\n\r\n").into_bytes()
}
