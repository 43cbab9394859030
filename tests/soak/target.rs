//! A target that speaks the published protocol, misbehaves, and notes what it
//! was asked.

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
    ledger::{Ledger, Run},
    message::{self, Message},
    proxy,
};

/// The requests that a target runs at a time.
pub const SLOTS: u64 = 4;

/// The time for which it is down after the poison.
const CRASH: Duration = Duration::from_millis(1500);

/// What a target does with a share of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    Well,
    Slow,
    Fails,
    Sheds,
    Hangs,
    Cuts,
    Doubles,
    Crosses,
    Unframed,
}

/// What all connections of a target see.
struct State {
    id: String,
    service: &'static str,
    place: usize,
    manner: Mutex<(Manner, f64)>,
    paused: Mutex<Option<Instant>>,
    running: AtomicU64,
    down: watch::Sender<bool>,
    ledger: Ledger,
}

/// A target.
#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Target {
    pub async fn start(id: &str, service: &'static str, place: usize, ledger: Ledger) -> Target {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let state = Arc::new(State {
            id: id.to_owned(),
            service,
            place,
            manner: Mutex::new((Manner::Well, 0.0)),
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

    /// Does so with a share of its requests.
    pub fn behave(&self, manner: Manner, share: f64) {
        *self.state.manner.lock().unwrap() = (manner, share);
    }

    /// Runs nothing for a time.
    pub fn pause(&self, span: Duration) {
        *self.state.paused.lock().unwrap() = Some(Instant::now() + span);
    }

    /// Whether it is down.
    pub fn down(&self) -> watch::Receiver<bool> {
        self.state.down.subscribe()
    }

    /// Takes no connections and has none, or comes back.
    pub fn set_down(&self, is_down: bool) {
        self.state.down.send_replace(is_down);
    }
}

/// Accepts connections while the target is up, and ends them when it goes down.
async fn serve(listener: TcpListener, address: SocketAddr, state: Arc<State>) {
    let connections = Arc::new(Mutex::new(JoinSet::new()));
    let (mut down, open, own) =
        (state.down.subscribe(), Arc::clone(&connections), Arc::clone(&state));
    let accepting = proxy::accept(listener, address, down.clone(), move |socket| {
        open.lock().unwrap().spawn(connection(socket, Arc::clone(&own)));
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

/// A request that runs, until it ends or its connection does.
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
    /// Answers a request; it returns false if the connection is over.
    async fn answer(&self, socket: &mut TcpStream, request: &Message) -> bool {
        let row = self.row(request);
        if request.header(TARGET.as_str()) != Some(&self.id) {
            self.ledger.rows().runs.push(Run { refused: true, ..row });
            return send(socket, &refusal(421)).await;
        }
        let manner = self.manner();
        let is_full = self.running.load(Ordering::Relaxed) >= SLOTS;
        if is_full || manner == Manner::Sheds {
            self.ledger.rows().runs.push(Run { refused: true, ..row });
            return send(socket, &refusal(503)).await;
        }
        let _slot = Slot::take(&self.running);
        self.run(socket, row, manner).await
    }

    fn row(&self, request: &Message) -> Run {
        let number = request.header(DEADLINE_MS.as_str()).and_then(|text| text.parse().ok());
        Run {
            id: request.header(ATTEMPT_ID.as_str()).unwrap_or_default().to_owned(),
            target: self.id.clone(),
            place: self.place,
            service: self.service.to_owned(),
            path: request.second().to_owned(),
            body: request.body.clone(),
            at: Instant::now(),
            deadline: Duration::from_millis(number.unwrap_or(u64::MAX >> 20)),
            success: None,
            refused: false,
        }
    }

    fn manner(&self) -> Manner {
        let (manner, share) = *self.manner.lock().unwrap();
        if rand::rng().random::<f64>() < share { manner } else { Manner::Well }
    }

    async fn run(&self, socket: &mut TcpStream, row: Run, manner: Manner) -> bool {
        if row.path.contains("poison") {
            return self.crash(row).await;
        }
        let place = {
            let mut rows = self.ledger.rows();
            rows.runs.push(row.clone());
            rows.runs.len() - 1
        };
        let paused = *self.paused.lock().unwrap();
        if let Some(until) = paused {
            sleep(until.saturating_duration_since(Instant::now())).await;
        }
        let usual = if row.path.starts_with("/desk/") { 5..40 } else { 1..5 };
        let span = if manner == Manner::Slow { 60 } else { rand::rng().random_range(usual) };
        sleep(Duration::from_millis(span)).await;
        if manner == Manner::Hangs {
            sleep(Duration::from_secs(5)).await;
        }
        let (digest, body) = success(&row, &self.id);
        if !matches!(manner, Manner::Fails | Manner::Crosses | Manner::Cuts) {
            self.ledger.rows().runs[place].success = Some((digest.clone(), body.clone()));
        }
        let text = reply(&row.id, &digest, &body);
        match manner {
            Manner::Fails => send(socket, &failure(&row.id)).await,
            Manner::Cuts => {
                send(socket, &text[..text.len() - 5]).await;
                false
            }
            Manner::Doubles => send(socket, &[&text[..], &text[..]].concat()).await,
            Manner::Crosses => send(socket, &reply("another", &digest, &body)).await,
            Manner::Unframed => {
                send(socket, &unframed(&row.id, &digest, &body)).await;
                false
            }
            Manner::Well | Manner::Slow | Manner::Hangs | Manner::Sheds => {
                send(socket, &text).await
            }
        }
    }

    /// Goes down under a request and comes back after a while.
    async fn crash(&self, row: Run) -> bool {
        {
            let mut rows = self.ledger.rows();
            let name = format!("{}@{}", self.id, rows.runs.len());
            rows.crashes.insert(name, row.at);
            rows.runs.push(row);
        }
        self.down.send_replace(true);
        let down = self.down.clone();
        tokio::spawn(async move {
            sleep(CRASH).await;
            down.send_replace(false);
        });
        false
    }
}

async fn send(socket: &mut TcpStream, bytes: &[u8]) -> bool {
    socket.write_all(bytes).await.is_ok()
}

/// The digest and body of a success. Both tell the request and the service.
fn success(row: &Run, target: &str) -> (String, Vec<u8>) {
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
