//! Stand-ins for the platform's store, replicas and clients, and a handle on relay
//! processes. They use the standard library alone and loopback addresses only.
#![allow(dead_code)]

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::{self, BufRead, BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

/// The longest time that a case may take.
const CASE_LIMIT: Duration = Duration::from_secs(112);

pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_NOT_RUN: i32 = 2;

// ---------------------------------------------------------------- record

/// The record of a case: what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = File::create(path).expect("record.txt can be written");
        Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:8.3} {}\n", self.now(), text.as_ref());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }
}

// ---------------------------------------------------------------- HTTP

/// A request or response as it was read.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }

    /// The status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        self.start.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads the head of a message; `None` at the end of the stream.
pub fn read_head(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    loop {
        let mut line = Vec::new();
        if from.read_until(b'\n', &mut line)? == 0 {
            return Ok(None);
        }
        let text = String::from_utf8_lossy(&line).trim_end().to_owned();
        if message.start.is_empty() {
            message.start = text;
        } else if text.is_empty() {
            return Ok(Some(message));
        } else if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a whole message with a length or in chunks.
pub fn read_message(from: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(from)? else { return Ok(None) };
    if message.header("transfer-encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            from.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(Some(message));
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message.header("content-length").and_then(|v| v.parse().ok()).unwrap_or(0);
    message.body = vec![0; length];
    from.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Encodes a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

// ---------------------------------------------------------------- store

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let word = part.iter().fold(0u32, |w, b| w << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for index in 0..4 {
            let is_pad = index > part.len();
            let digit = ALPHABET[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if is_pad { '=' } else { digit });
        }
    }
    text
}

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Keys {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The changes as JSON, with their revisions and keys.
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
}

impl Keys {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event =
                format!("{{\"key\":\"{key}\",\"revision\":{},\"deleted\":true}}", self.revision);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> =
            self.leases.iter().filter(|(_, (end, _))| *end <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .items
                .iter()
                .filter(|(_, item)| item.lease == lease)
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.remove(&key);
            }
        }
    }
}

/// The most items, and about the most bytes, of a page of a range.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

fn item_json(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
        item.value, item.revision, item.created, item.lease
    )
}

/// A stand-in for the platform's store.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    keys: Arc<(Mutex<Keys>, Condvar)>,
}

impl Store {
    pub fn start() -> Store {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let store = Store { address, keys: Arc::default() };
        let own = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(socket));
            }
        });
        let own = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                own.keys.0.lock().unwrap().end_leases();
                own.keys.1.notify_all();
            }
        });
        store
    }

    /// Writes a key as the operator or a replica does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.keys.0.lock().unwrap().put(key, base64(value.as_bytes()), 0);
        self.keys.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.keys.0.lock().unwrap().remove(key);
        self.keys.1.notify_all();
    }

    pub fn list(&self, prefix: &str) -> Vec<String> {
        let keys = self.keys.0.lock().unwrap();
        keys.items.keys().filter(|key| key.starts_with(prefix)).cloned().collect()
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let Ok(mut out) = socket.try_clone() else { return };
        let mut from = BufReader::new(socket);
        while let Ok(Some(request)) = read_message(&mut from) {
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json")];
            if out.write_all(&response(status, &headers, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        let target = request.target().to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let fields: BTreeMap<String, String> = query
            .split('&')
            .filter_map(|field| field.split_once('='))
            .map(|(name, value)| (name.to_owned(), percent_decode(value)))
            .collect();
        let field = |name: &str| fields.get(name).cloned().unwrap_or_default();
        match path {
            "/v1/kv-key" => self.get(&field("key")),
            "/v1/kv-range" => self.range(&field("prefix"), &field("after")),
            "/v1/kv-watch" => {
                let after = field("after").parse().unwrap_or(0);
                let wait = field("watch_timeout_ms").parse().unwrap_or(0);
                self.watch(&field("prefix"), after, Duration::from_millis(wait))
            }
            "/v1/kv-txn" => self.change(&String::from_utf8_lossy(&request.body)),
            "/v1/kv-lease" => {
                let body = String::from_utf8_lossy(&request.body);
                let ttl = json_number(&body, "ttl_ms").unwrap_or(1000);
                let mut keys = self.keys.0.lock().unwrap();
                keys.next_lease += 1;
                let (lease, span) = (keys.next_lease, Duration::from_millis(ttl));
                keys.leases.insert(lease, (Instant::now() + span, span));
                ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            _ => ("400 Bad Request", "{}".to_owned()),
        }
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        let keys = self.keys.0.lock().unwrap();
        match keys.items.get(key) {
            Some(item) => {
                let json = item_json(key, item);
                ("200 OK", format!("{},\"at_rev\":{}}}", &json[..json.len() - 1], keys.revision))
            }
            None => ("404 Not Found", format!("{{\"at_rev\":{}}}", keys.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let keys = self.keys.0.lock().unwrap();
        let rest =
            keys.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let (mut found, mut size, mut has_more) = (Vec::new(), 0, false);
        for (key, item) in rest {
            size += item.value.len();
            has_more = found.len() >= PAGE_ITEMS || !found.is_empty() && size > PAGE_BYTES;
            if has_more {
                break;
            }
            found.push(item_json(key, item));
        }
        let items = found.join(",");
        let revision = keys.revision;
        let text = format!("{{\"items\":[{items}],\"has_more\":{has_more},\"at_rev\":{revision}}}");
        ("200 OK", text)
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> (&'static str, String) {
        let end = Instant::now() + wait;
        let mut keys = self.keys.0.lock().unwrap();
        loop {
            let found: Vec<String> = keys
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix))
                .map(|(_, _, event)| event.clone())
                .collect();
            let left = end.saturating_duration_since(Instant::now());
            if !found.is_empty() || left.is_zero() {
                let (events, revision) = (found.join(","), keys.revision);
                return ("200 OK", format!("{{\"events\":[{events}],\"at_rev\":{revision}}}"));
            }
            keys = self.keys.1.wait_timeout(keys, left).unwrap().0;
        }
    }

    /// Runs a transaction with at most one condition and one put, as relays send it.
    fn change(&self, body: &str) -> (&'static str, String) {
        let mut keys = self.keys.0.lock().unwrap();
        let section = |name: &str| body.split_once(&format!("\"{name}\":[")).map(|(_, rest)| rest);
        if let Some(rest) = section("expect_rev").filter(|rest| rest.starts_with('{')) {
            let key = json_text(rest, "key").unwrap_or_default();
            let expected = json_number(rest, "revision").unwrap_or(0);
            let found = keys.items.get(&key);
            if found.map_or(0, |item| item.revision) != expected {
                let items = found.map(|item| item_json(&key, item)).unwrap_or_default();
                return ("412 Precondition Failed", format!("{{\"items\":[{items}]}}"));
            }
        }
        if let Some(rest) = section("puts").filter(|rest| rest.starts_with('{')) {
            let lease = json_number(rest, "lease").unwrap_or(0);
            if lease != 0 && !keys.leases.contains_key(&lease) {
                return ("404 Not Found", "{}".to_owned());
            }
            let (key, value) = (json_text(rest, "key"), json_text(rest, "value"));
            keys.put(&key.unwrap_or_default(), value.unwrap_or_default(), lease);
        }
        let revision = keys.revision;
        drop(keys);
        self.keys.1.notify_all();
        ("200 OK", format!("{{\"revision\":{revision}}}"))
    }
}

fn percent_decode(text: &str) -> String {
    let (bytes, mut out, mut index) = (text.as_bytes(), Vec::new(), 0);
    while index < bytes.len() {
        if bytes[index] == b'%' && index + 2 < bytes.len() {
            out.push(u8::from_str_radix(&text[index + 1..index + 3], 16).unwrap_or(b'?'));
            index += 3;
        } else {
            out.push(bytes[index]);
            index += 1;
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn json_text(json: &str, name: &str) -> Option<String> {
    let rest = json.split_once(&format!("\"{name}\":\""))?.1;
    Some(rest.split('"').next()?.to_owned())
}

fn json_number(json: &str, name: &str) -> Option<u64> {
    let rest = json.split_once(&format!("\"{name}\":"))?.1;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

// ---------------------------------------------------------------- replicas

/// What a replica does with a request that it got.
pub type Handler = Arc<dyn Fn(&Replica, &Message, &mut TcpStream) -> Next + Send + Sync>;

/// What follows a request on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    Keep,
    Close,
}

/// A stand-in for a replica. It registers itself and serves one request at a time on each
/// connection.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Record,
    pub seals: Arc<AtomicUsize>,
    /// The Unix time of the start in milliseconds.
    pub born: Arc<AtomicU64>,
    is_up: Arc<AtomicBool>,
    is_draining: Arc<AtomicBool>,
    store: Store,
    handler: Handler,
    sockets: Arc<Mutex<Vec<TcpStream>>>,
    slots: Arc<(Mutex<Slots>, Condvar)>,
    reported: Arc<Mutex<Option<Instant>>>,
}

/// The requests at a replica.
#[derive(Debug, Default)]
struct Slots {
    running: usize,
    waiting: usize,
}

/// Whether replicas add `Server-Load` to their responses, as those of some services do.
pub static TELLS_LOAD: AtomicBool = AtomicBool::new(true);

/// The requests that a replica runs at a time, and those that it queues.
pub const SLOT_COUNT: usize = 2;
pub const QUEUE_LENGTH: usize = 8;

/// How often a replica looks whether a request is still wanted.
const STEP: Duration = Duration::from_millis(5);

/// The time between two status reports; after three without one, the entry is removed.
const REPORT_INTERVAL: Duration = Duration::from_millis(1200);

impl Replica {
    /// Binds a port, which stays the same over crashes.
    pub fn start(
        id: &str,
        service: &str,
        store: &Store,
        record: &Record,
        handler: Handler,
    ) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let replica = Replica {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            record: record.clone(),
            seals: Arc::default(),
            born: Arc::default(),
            is_up: Arc::default(),
            is_draining: Arc::default(),
            store: store.clone(),
            handler,
            sockets: Arc::default(),
            slots: Arc::default(),
            reported: Arc::default(),
        };
        replica.run(listener);
        replica
    }

    fn run(&self, listener: TcpListener) {
        let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
        self.born.store(since.as_millis() as u64, SeqCst);
        self.is_up.store(true, SeqCst);
        self.report("ready");
        listener.set_nonblocking(true).unwrap();
        let own = self.clone();
        thread::spawn(move || {
            let mut next_report = Instant::now() + REPORT_INTERVAL;
            while own.is_up.load(SeqCst) {
                if let Ok((socket, _)) = listener.accept() {
                    let _ = socket.set_nonblocking(false);
                    let _ = socket.set_nodelay(true);
                    own.sockets.lock().unwrap().extend(socket.try_clone());
                    let own = own.clone();
                    thread::spawn(move || own.serve(socket));
                } else {
                    thread::sleep(Duration::from_millis(1));
                }
                if next_report <= Instant::now() {
                    let is_draining = own.is_draining.load(SeqCst);
                    own.report(if is_draining { "draining" } else { "ready" });
                    next_report += REPORT_INTERVAL;
                }
            }
        });
    }

    /// Waits until `delay` after the next status report.
    pub fn wait_after_report(&self, delay: Duration) {
        let before = *self.reported.lock().unwrap();
        while *self.reported.lock().unwrap() == before {
            thread::sleep(Duration::from_millis(1));
        }
        thread::sleep(delay);
    }

    /// Leaves as planned: reports that it drains, and ends after `drain_time`.
    pub fn leave(&self, drain_time: Duration) {
        self.is_draining.store(true, SeqCst);
        self.report("draining");
        thread::sleep(drain_time);
        self.is_up.store(false, SeqCst);
        self.store.remove(&format!("servers/{}", self.id));
    }

    /// Writes the registration.
    pub fn report(&self, state: &str) {
        let (id, service, address) = (&self.id, &self.service, self.address);
        let (born, sequence) = (self.born.load(SeqCst), self.seals.fetch_add(1, SeqCst));
        let entry = format!(
            "{{\"backend\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"zone-a\",\
             \"version\":\"v1\",\"max_concurrency\":2,\"state\":\"{state}\",\
             \"cold_left_ms\":0,\"sequence\":{sequence},\"born\":{born}}}"
        );
        self.store.put(&format!("servers/{id}"), &entry);
        *self.reported.lock().unwrap() = Some(Instant::now());
    }

    fn serve(&self, socket: TcpStream) {
        let Ok(mut out) = socket.try_clone() else { return };
        let mut from = BufReader::new(socket);
        while let Ok(Some(request)) = read_message(&mut from) {
            if !self.is_up.load(SeqCst) {
                return;
            }
            if request.header("target-instance").is_some_and(|id| id != self.id) {
                let _ = out.write_all(&response("421 Misdirected Request", &[], b""));
                continue;
            }
            if (self.handler)(self, &request, &mut out) == Next::Close {
                let _ = out.shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// A digest that no other answer has.
    pub fn seal(&self) -> String {
        format!("{}.{:x}", self.id, self.seals.fetch_add(1, SeqCst))
    }

    /// Runs a request for `work` in one of the slots and sends a success with `body`. Rejects
    /// it if the queue is full or its deadline passes there, stops at its deadline, and drops
    /// it when its connection closes.
    pub fn run_request(
        &self,
        request: &Message,
        out: &mut TcpStream,
        work: Duration,
        body: &[u8],
    ) -> Next {
        let limit = request.header("deadline-ms").and_then(|limit| limit.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(limit.unwrap_or(60_000));
        let (slots, change) = &*self.slots;
        let mut own = slots.lock().unwrap();
        if own.running >= SLOT_COUNT && own.waiting >= QUEUE_LENGTH {
            drop(own);
            return self.reject(request, out, None);
        }
        own.waiting += 1;
        while own.running >= SLOT_COUNT && Instant::now() < deadline && !is_closed(out) {
            own = change.wait_timeout(own, STEP).unwrap().0;
        }
        own.waiting -= 1;
        if own.running >= SLOT_COUNT {
            drop(own);
            return self.reject(request, out, None);
        }
        own.running += 1;
        drop(own);
        let end = Instant::now() + work;
        while Instant::now() < end.min(deadline) && !is_closed(out) {
            thread::sleep(end.saturating_duration_since(Instant::now()).min(STEP));
        }
        let is_done = Instant::now() >= end;
        slots.lock().unwrap().running -= 1;
        change.notify_one();
        if is_done {
            return self.succeed(request, out, body);
        }
        let id = request.header("attempt-id").unwrap_or("");
        send(out, &response("504 Gateway Timeout", &[("Attempt-Id", id)], b""))
    }

    fn load(&self) -> String {
        let own = self.slots.0.lock().unwrap();
        format!("{},{},{SLOT_COUNT}", own.running, own.waiting)
    }

    /// The header in which a replica tells its load, if the replicas of its service do.
    fn load_header<'a>(&self, load: &'a str) -> Option<(&'static str, &'a str)> {
        TELLS_LOAD.load(SeqCst).then_some(("Server-Load", load))
    }

    /// Sends a success with `body`.
    pub fn succeed(&self, request: &Message, out: &mut TcpStream, body: &[u8]) -> Next {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let (seal, load) = (self.seal(), self.load());
        let mut headers = vec![("Attempt-Id", id.as_str()), ("Server-Seal", seal.as_str())];
        headers.extend(self.load_header(&load));
        send(out, &response("200 OK", &headers, body))
    }

    /// Rejects a request as not run, with the seconds for which none is wanted, if any.
    pub fn reject(&self, request: &Message, out: &mut TcpStream, pause: Option<&str>) -> Next {
        let id = request.header("attempt-id").unwrap_or("").to_owned();
        let load = self.load();
        let mut headers = vec![("Attempt-Id", id.as_str()), ("Not-Executed", "1")];
        headers.extend(self.load_header(&load));
        headers.extend(pause.map(|seconds| ("Retry-After", seconds)));
        send(out, &response("503 Service Unavailable", &headers, b""))
    }

    /// Ends as a crashed process does: its port refuses connections and the open ones end.
    pub fn crash(&self) {
        self.is_up.store(false, SeqCst);
        for socket in self.sockets.lock().unwrap().drain(..) {
            let _ = socket.shutdown(Shutdown::Both);
        }
        let (own, born) = (self.clone(), self.born.load(SeqCst));
        thread::spawn(move || {
            thread::sleep(3 * REPORT_INTERVAL);
            if own.born.load(SeqCst) == born {
                own.store.remove(&format!("servers/{}", own.id));
            }
        });
    }

    /// Starts again with the address that it had, and with another id or the same one.
    pub fn restart(&self, id: &str) {
        let mut next = self.clone();
        if id != self.id {
            next.id = id.to_owned();
            next.born = Arc::default();
            next.is_up = Arc::default();
        }
        next.slots = Arc::default();
        for _ in 0..200 {
            if let Ok(listener) = TcpListener::bind(next.address) {
                return next.run(listener);
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the port of {} is not free", self.id);
    }
}

/// Returns whether the peer has closed the connection.
fn is_closed(socket: &TcpStream) -> bool {
    let _ = socket.set_nonblocking(true);
    let peeked = socket.peek(&mut [0]);
    let _ = socket.set_nonblocking(false);
    match peeked {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

fn send(out: &mut TcpStream, bytes: &[u8]) -> Next {
    match out.write_all(bytes) {
        Ok(()) => Next::Keep,
        Err(_) => Next::Close,
    }
}

// ---------------------------------------------------------------- relays

/// `retry_slack` of the sheet.
pub static RETRY_SLACK: AtomicUsize = AtomicUsize::new(122);

/// A relay process. It is killed when the handle is dropped.
pub struct Relay {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

static NEXT_PORT: AtomicUsize = AtomicUsize::new(0);

/// Returns a free port below those that the system gives to outgoing connections, so that
/// none of them takes it before the relay listens.
pub fn free_port() -> u16 {
    let first = 12_000 + (std::process::id() as usize * 61) % 18_000;
    for _ in 0..2000 {
        let port = (first + NEXT_PORT.fetch_add(1, SeqCst)) as u16;
        let is_free = TcpListener::bind(("127.0.0.1", port)).is_ok()
            && std::net::UdpSocket::bind(("127.0.0.1", port)).is_ok();
        if is_free {
            return port;
        }
    }
    not_run("no free port");
}

impl Relay {
    /// Writes settings like those that the platform renders from the project's template.
    pub fn new(name: &str, cores: f64, store: &Store, folder: &Path) -> Relay {
        let address = |_: &str| SocketAddr::from(([127, 0, 0, 1], free_port()));
        let (callers, ready) = (address("callers"), address("ready"));
        let text = format!(
            "[vm]\nname = \"{name}\"\ndomain = \"zone-a\"\ncores = {cores}\n\n\
             [listen]\ncallers = \"{callers}\"\nready = \"{ready}\"\nmetrics = \"{}\"\n\
             peers = \"{}\"\n\n[store]\naddress = \"{}\"\n\n\
             [retry]\nratio = 0.2\nslack = {}\nwindow_s = 10\n\n\
             [log]\nlevel = \"debug\"\nqueue = 256\nrate = 20\n",
            address("metrics"),
            address("peers"),
            store.address,
            RETRY_SLACK.load(SeqCst)
        );
        let settings = folder.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        let log = folder.join(format!("{name}.log"));
        Relay { name: name.to_owned(), callers, ready, settings, log, child: None }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let output = File::options().create(true).append(true).open(&self.log).unwrap();
        let errors = output.try_clone().unwrap();
        let child = Command::new("target/release/laburnumworks")
            .arg("relay")
            .env("LABURNUMWORKS_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => {
                PROCESSES.lock().unwrap().push(child.id());
                self.child = Some(child);
            }
            Err(error) => not_run(&format!("the relay cannot be started: {error}")),
        }
    }

    /// Waits until the relay reports that it is ready.
    pub fn wait_ready(&self) {
        let end = Instant::now() + Duration::from_secs(15);
        while Instant::now() < end {
            let request = b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
            let answer = exchange(self.ready, request, Duration::from_secs(1));
            if answer.is_ok_and(|answer| answer.status() == 200) {
                return;
            }
            thread::sleep(Duration::from_millis(50));
        }
        not_run(&format!("{} does not become ready", self.name));
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    /// Tells the process to end.
    pub fn terminate(&self) {
        if let Some(pid) = self.pid() {
            send_signal(pid, SIGTERM);
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            PROCESSES.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}

// ---------------------------------------------------------------- clients

/// Sends bytes on a new connection and reads one response.
pub fn exchange(to: SocketAddr, bytes: &[u8], wait: Duration) -> io::Result<Message> {
    let mut socket = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    socket.set_nodelay(true)?;
    socket.set_read_timeout(Some(wait))?;
    socket.write_all(bytes)?;
    let mut from = BufReader::new(socket);
    read_message(&mut from)?.ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}

static NEXT_ATTEMPT: AtomicU64 = AtomicU64::new(1);

/// An id that no other attempt of the case has.
pub fn attempt_id() -> String {
    format!("{:016x}", 0x9c41_0000_0000 + NEXT_ATTEMPT.fetch_add(1, SeqCst))
}

pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let length =
        if method == "GET" { String::new() } else { format!("Content-Length: {}\r\n", body.len()) };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: pupu76.example\r\nAttempt-Id: {id}\r\n\
         Deadline-Ms: {deadline_ms}\r\n{length}\r\n"
    );
    [head.as_bytes(), body].concat()
}

// ---------------------------------------------------------------- cases

/// One route of a configuration, as JSON.
pub fn configuration(version: u64, routes: &[String], services: &[(&str, u32)]) -> String {
    let services: Vec<String> = services
        .iter()
        .map(|(name, connections)| {
            format!(
                "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_conns\":{connections},\
                 \"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[{}],\"limits\":\
         {{\"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}}}}",
        routes.join(","),
        services.join(",")
    )
}

/// The folder of the case, its record, and a temporary folder.
pub struct Case {
    pub record: Record,
    pub temporary: PathBuf,
    pub with_trouble: bool,
}

impl Case {
    /// Starts a case in the folder `review/N`, and ends the process if it takes too long.
    pub fn start(folder: &str) -> Case {
        let with_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let record = Record::create(&Path::new(folder).join("record.txt"));
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&temporary).unwrap();
        thread::spawn(|| {
            thread::sleep(CASE_LIMIT);
            not_run("the case took too long");
        });
        let trouble = if with_trouble { "with" } else { "without" };
        record.line(format!("case {folder} {trouble} the disruption"));
        Case { record, temporary, with_trouble }
    }

    /// Records the result, removes the temporary folder and returns the exit code.
    pub fn end(&self, is_broken: bool, result: &str) -> i32 {
        let verdict = if is_broken { "BROKEN" } else { "held" };
        self.record.line(format!("result: {verdict}: {result}"));
        println!("{verdict}: {result}");
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.temporary);
        }
        if is_broken { EXIT_BROKEN } else { EXIT_HELD }
    }
}

const SIGKILL: i32 = 9;
const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Sends a signal to a process that the case started.
fn send_signal(pid: u32, signal: i32) {
    if let Ok(pid) = i32::try_from(pid) {
        // SAFETY: `kill` of the C library takes two numbers and touches no memory.
        unsafe { kill(pid, signal) };
    }
}

/// The relay processes that were started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the process and all relays because the case could not run.
pub fn not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    for pid in PROCESSES.lock().unwrap().iter() {
        send_signal(*pid, SIGKILL);
    }
    std::process::exit(EXIT_NOT_RUN);
}
