//! Stand-ins and helpers for the cases of the review: replicas, clients, a proxy, and
//! the start of the project's programs. Only the standard library is used.
// Each case uses a part of it.
#![allow(dead_code)]

use std::{
    fs,
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{
        atomic::{AtomicBool, AtomicU64, Ordering},
        Arc, Mutex,
    },
    thread,
    time::{Duration, Instant},
};

/// The repository, in which `run.sh` starts the program of a case.
pub fn repository() -> PathBuf {
    std::env::current_dir().unwrap()
}

/// What was sent, answered and run, with the time since the start in milliseconds.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Record {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn add(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}", self.now(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the record to the folder of the case.
    pub fn save(&self, case: &str) {
        let mut text = self.lines.lock().unwrap().join("\n");
        text.push('\n');
        fs::write(repository().join("review").join(case).join("record.txt"), text).unwrap();
    }
}

/// Whether the disruption of the case is to be left out.
pub fn is_calm() -> bool {
    std::env::var("TROUBLE").is_ok_and(|value| value == "0")
}

/// The processes that were started, so that none outlives the case.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The time after which a case gives up.
const CASE_LIMIT: Duration = Duration::from_secs(115);

/// Runs a case and exits with its code, or with 2 if it could not run. No process that it
/// started is left.
pub fn run_case(run: fn() -> i32) -> ! {
    thread::spawn(|| {
        thread::sleep(CASE_LIMIT);
        eprintln!("the case took too long");
        end(2);
    });
    end(std::panic::catch_unwind(run).unwrap_or(2));
}

fn end(code: i32) -> ! {
    for id in STARTED.lock().unwrap().iter() {
        // A process that has ended was taken off the list when it was waited for.
        let _ = Command::new("sh").args(["-c", &format!("kill -KILL {id} 2>/dev/null")]).status();
    }
    std::process::exit(code);
}

/// An address on which nothing listens, below the range of ports that the system gives to
/// outgoing connections.
pub fn unused_address() -> SocketAddr {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let first = u64::from(std::process::id()) * 211 % 17000;
    loop {
        let port = 15000 + (first + NEXT.fetch_add(1, Ordering::Relaxed)) % 17000;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        if TcpListener::bind(address).is_ok() {
            return address;
        }
    }
}

/// A temporary folder, which is removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(case: &str) -> Folder {
        let path = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// A process of the project, which is killed when the value is dropped.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts `target/release/laburnumworks` as the deploy file does.
    pub fn start(arguments: &[&str], settings: Option<&PathBuf>, log: &PathBuf) -> Process {
        let file = fs::OpenOptions::new().create(true).append(true).open(log).unwrap();
        let mut command = Command::new("target/release/laburnumworks");
        command.args(arguments).current_dir(repository()).stdin(Stdio::null());
        if let Some(path) = settings {
            command.env("LABURNUMWORKS_CONFIG", path);
        }
        command.stdout(file.try_clone().unwrap()).stderr(file);
        let child = command.spawn().expect("target/release/laburnumworks is not built");
        STARTED.lock().unwrap().push(child.id());
        Process { child }
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }

    /// Sends a signal such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        let command = format!("kill -{name} {}", self.child.id());
        Command::new("sh").args(["-c", &command]).status().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A machine of the system, whose process can be killed and started again.
pub struct Machine {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    pub process: Option<Process>,
}

impl Machine {
    /// Writes the settings as `platform/settings.toml` renders them, and starts the
    /// process.
    pub fn start(
        folder: &Folder,
        name: &str,
        zone: &str,
        cores: f64,
        store: SocketAddr,
        slack: f64,
    ) -> Machine {
        let [front, ready, metrics, peers] = [(); 4].map(|()| unused_address());
        let text = format!(
            "[vm]\nname = \"{name}\"\ndomain = \"{zone}\"\ncores = {cores}\n\n\
             [listen]\ncallers = \"{front}\"\nready = \"{ready}\"\nmetrics = \"{metrics}\"\n\
             peers = \"{peers}\"\n\n[store]\naddress = \"{store}\"\n\n\
             [retry]\nratio = 0.2\nslack = {slack}\nwindow_s = 10\n\n\
             [log]\nlevel = \"debug\"\nqueue = 256\nrate = 20\n"
        );
        let settings = folder.0.join(format!("{name}.toml"));
        fs::write(&settings, text).unwrap();
        let log = folder.0.join(format!("{name}.log"));
        let mut machine =
            Machine { name: name.to_owned(), front, ready, settings, log, process: None };
        machine.launch();
        machine
    }

    pub fn launch(&mut self) {
        self.process = Some(Process::start(&["relay"], Some(&self.settings), &self.log));
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            process.kill();
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = Request::get("/v1/ready", "ready");
        exchange(self.ready, &request, Duration::from_millis(500)).is_ok_and(|r| r.status == 200)
    }

    /// Waits until the machine reports that it is ready; exits with 2 after 15 s.
    pub fn wait_ready(&self) {
        let since = Instant::now();
        while !self.is_ready() {
            if since.elapsed() > Duration::from_secs(15) {
                panic!("{} was not ready within 15 s", self.name);
            }
            thread::sleep(Duration::from_millis(10));
        }
    }
}

/// The project's stand-in of the platform's store.
pub struct Store {
    pub address: SocketAddr,
    _process: Process,
}

impl Store {
    pub fn start(folder: &Folder) -> Store {
        let address = unused_address();
        let text = address.to_string();
        let arguments = ["stand-in", "platform", "--listen", &text];
        let process = Process::start(&arguments, None, &folder.0.join("store.log"));
        let since = Instant::now();
        while TcpStream::connect(address).is_err() {
            if since.elapsed() > Duration::from_secs(10) {
                panic!("the store did not start");
            }
            thread::sleep(Duration::from_millis(10));
        }
        Store { address, _process: process }
    }

    /// Writes a key as the operator or a replica does.
    pub fn put(&self, key: &str, value: &str) {
        put(self.address, key, value);
    }

    /// Registers a replica.
    pub fn register(&self, replica: &Replica, backend: &str, zone: &str, slots: u32) {
        register(self.address, replica, backend, zone, slots);
    }
}

fn put(store: SocketAddr, key: &str, value: &str) {
    let path = format!("/v1/entry?key={}", key.replace('/', "%2F"));
    let mut request = Request::get(&path, "store");
    request.method = "PUT".to_owned();
    request.body = value.as_bytes().to_vec();
    let response = exchange(store, &request, Duration::from_secs(5)).unwrap();
    assert!(response.status < 300, "the store answered {}", response.status);
}

/// Registers a replica at the store with this address.
pub fn register(store: SocketAddr, replica: &Replica, backend: &str, zone: &str, slots: u32) {
    let (id, address, born) = (&replica.id, replica.address, replica.born);
    let entry = format!(
        "{{\"backend\":\"{backend}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\
         \"version\":\"1\",\"max_concurrency\":{slots},\"state\":\"ready\",\
         \"cold_left_ms\":0,\"sequence\":1,\"born\":{born}}}"
    );
    put(store, &format!("servers/{id}"), &entry);
}

/// Returns the JSON of a configuration.
pub fn config(version: u64, routes: &[String], backends: &[&str], max_conns: u32) -> String {
    let backends: Vec<String> = backends
        .iter()
        .map(|name| {
            format!("{{\"name\":\"{name}\",\"max_conns\":{max_conns},\"health_path\":\"/health\"}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"backends\":[{}],\"limits\":{{\
         \"max_header_bytes\":16384,\"max_body_bytes\":262144,\"header_timeout_ms\":5000,\
         \"idle_timeout_ms\":30000}}}}",
        routes.join(","),
        backends.join(",")
    )
}

/// A message of HTTP/1.1 with its body.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn get(path: &str, host: &str) -> Request {
        Request {
            method: "GET".to_owned(),
            path: path.to_owned(),
            headers: vec![("Host".to_owned(), host.to_owned())],
            body: Vec::new(),
        }
    }

    /// A request of a client of the system.
    pub fn of_client(path: &str, host: &str, id: &str, deadline_ms: u64) -> Request {
        let mut request = Request::get(path, host);
        request.headers.push(("Attempt-Id".to_owned(), id.to_owned()));
        request.headers.push(("Deadline-Ms".to_owned(), deadline_ms.to_string()));
        request
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn to_bytes(&self) -> Vec<u8> {
        let mut text = format!("{} {} HTTP/1.1\r\n", self.method, self.path);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !self.body.is_empty() || self.method != "GET" {
            text.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Response {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
}

/// Bytes that were read from a connection and not used yet.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Reader {
        Reader { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16384];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    /// Reads the first line and the headers; none at the end of the stream.
    fn head(&mut self) -> io::Result<Option<(String, Vec<(String, String)>)>> {
        let end = loop {
            if let Some(at) = self.buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
        self.buffer.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()))
            .collect();
        Ok(Some((first, headers)))
    }

    fn body(&mut self, headers: &[(String, String)]) -> io::Result<Vec<u8>> {
        let length = header(headers, "content-length").and_then(|v| v.parse::<usize>().ok());
        let Some(length) = length else { return Ok(Vec::new()) };
        while self.buffer.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    pub fn request(&mut self) -> io::Result<Option<Request>> {
        let Some((first, headers)) = self.head()? else { return Ok(None) };
        let mut words = first.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let path = words.next().unwrap_or_default().to_owned();
        let body = self.body(&headers)?;
        Ok(Some(Request { method, path, headers, body }))
    }

    pub fn response(&mut self) -> io::Result<Response> {
        let head = self.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let (first, headers) = head;
        let status = first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
        let body = self.body(&headers)?;
        Ok(Response { status, headers, body })
    }
}

/// A connection of a client.
pub struct Connection {
    stream: TcpStream,
    reader: Reader,
}

impl Connection {
    pub fn open(address: SocketAddr, limit: Duration) -> io::Result<Connection> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(limit))?;
        Ok(Connection { reader: Reader::new(stream.try_clone()?), stream })
    }

    pub fn exchange(&mut self, request: &Request) -> io::Result<Response> {
        self.stream.write_all(&request.to_bytes())?;
        self.reader.response()
    }
}

/// Sends one request on a new connection.
pub fn exchange(address: SocketAddr, request: &Request, limit: Duration) -> io::Result<Response> {
    Connection::open(address, limit)?.exchange(request)
}

/// What a replica does with a request that it has read.
pub enum Action {
    /// Answers after some work.
    Answer { work: Duration, response: Response },
    /// Ends as a process does: all connections close and none is taken until it is back.
    Crash { back_after: Duration },
}

type Handler = dyn Fn(&Request) -> Action + Send + Sync;

/// A replica of a service. Its answers come from a handler; liveness checks and requests
/// for another replica are answered as the pages say.
pub struct Replica {
    pub id: String,
    pub address: SocketAddr,
    pub born: u64,
}

impl Replica {
    pub fn start(
        id: &str,
        record: &Record,
        handler: impl Fn(&Request) -> Action + Send + Sync + 'static,
    ) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let handler: Arc<Handler> = Arc::new(handler);
        let (name, record) = (id.to_owned(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (id, record, handler) = (name.clone(), record.clone(), Arc::clone(&handler));
                thread::spawn(move || {
                    let _ = serve(stream, &id, &record, &*handler);
                });
            }
        });
        Replica { id: id.to_owned(), address, born: unix_millis() }
    }
}

fn unix_millis() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap();
    now.as_millis() as u64
}

impl Replica {
    /// Starts a replica that [`Action::Crash`] takes down for a while. It comes back at the
    /// same address and under the same id, and `is_back` registers the new start.
    pub fn start_crashing(
        id: &str,
        record: &Record,
        is_back: impl Fn(&Replica) + Send + 'static,
        handler: impl Fn(&Request) -> Action + Send + Sync + 'static,
    ) -> Replica {
        let address = unused_address();
        let handler: Arc<Handler> = Arc::new(handler);
        let (name, record) = (id.to_owned(), record.clone());
        thread::spawn(move || loop {
            run_until_crash(address, &name, &record, &handler);
            is_back(&Replica { id: name.clone(), address, born: unix_millis() });
        });
        Replica { id: id.to_owned(), address, born: unix_millis() }
    }
}

/// Serves until a request crashes the replica, then waits until it is back.
fn run_until_crash(address: SocketAddr, id: &str, record: &Record, handler: &Arc<Handler>) {
    let listener = loop {
        match TcpListener::bind(address) {
            Ok(listener) => break listener,
            Err(_) => thread::sleep(Duration::from_millis(20)),
        }
    };
    listener.set_nonblocking(true).unwrap();
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    let crashed: Arc<Mutex<Option<u64>>> = Arc::default();
    loop {
        if let Some(back_after) = *crashed.lock().unwrap() {
            drop(listener);
            for stream in open.lock().unwrap().iter() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
            }
            thread::sleep(Duration::from_millis(back_after));
            return;
        }
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        stream.set_nonblocking(false).unwrap();
        open.lock().unwrap().push(stream.try_clone().unwrap());
        let (id, record, handler) = (id.to_owned(), record.clone(), Arc::clone(handler));
        let crashed = Arc::clone(&crashed);
        thread::spawn(move || {
            let kept = stream.try_clone();
            if let Err(error) = serve(stream, &id, &record, &*handler) {
                if let Ok(back_after) = error.to_string().parse::<u64>() {
                    crashed.lock().unwrap().get_or_insert(back_after);
                    // The connection ends together with the process.
                    thread::sleep(Duration::from_millis(20));
                }
            }
            drop(kept);
        });
    }
}

fn serve(mut stream: TcpStream, id: &str, record: &Record, handler: &Handler) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(request) = reader.request()? {
        if request.path == "/health" {
            let headers = vec![("Instance-Id".to_owned(), id.to_owned())];
            let response = Response { status: 200, headers, body: Vec::new() };
            stream.write_all(&encode(&response))?;
            continue;
        }
        let attempt = request.header("Attempt-Id").unwrap_or("none").to_owned();
        if request.header("Target-Instance").is_some_and(|target| target != id) {
            let headers = vec![("Not-Executed".to_owned(), "1".to_owned())];
            stream.write_all(&encode(&Response { status: 421, headers, body: Vec::new() }))?;
            continue;
        }
        record.add(format!("replica {id}: gets {} {} of {attempt}", request.method, request.path));
        match handler(&request) {
            Action::Answer { work, response } => {
                thread::sleep(work);
                record.add(format!("replica {id}: answers {} to {attempt}", response.status));
                stream.write_all(&encode(&response))?;
            }
            Action::Crash { back_after } => {
                record.add(format!("replica {id}: {attempt} crashes it"));
                return Err(io::Error::other(back_after.as_millis().to_string()));
            }
        }
    }
    Ok(())
}

/// Encodes a response with the length of its body.
pub fn encode(response: &Response) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {} X\r\n", response.status);
    for (name, value) in &response.headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", response.body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(&response.body);
    bytes
}

/// The answer of a sound replica: it echoes the id, and its digest covers the body.
pub fn sound(replica: &str, request: &Request) -> Response {
    let attempt = request.header("Attempt-Id").unwrap_or_default();
    let body = format!("{} run by {replica} for {attempt}\n", request.path).into_bytes();
    let headers = vec![
        ("Attempt-Id".to_owned(), attempt.to_owned()),
        ("Server-Seal".to_owned(), seal(replica, attempt, &body)),
    ];
    Response { status: 200, headers, body }
}

/// A digest over the replica, the attempt and the body.
pub fn seal(replica: &str, attempt: &str, body: &[u8]) -> String {
    let mut hash = 0xcbf2_9ce4_8422_2325_u64;
    for byte in replica.bytes().chain(attempt.bytes()).chain(body.iter().copied()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3);
    }
    format!("{replica}.{}.{hash:016x}", body.len())
}

/// A proxy on the way to a server. While it is cut, no byte passes and nothing is closed.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    cut: Arc<AtomicBool>,
    /// Connections that were opened before the last increase return nothing further.
    age: Arc<AtomicU64>,
    /// The requests for watches that have passed.
    pub watches: Arc<Mutex<Vec<(Instant, String)>>>,
}

impl Proxy {
    pub fn start(to: SocketAddr) -> Proxy {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let proxy = Proxy {
            address: listener.local_addr().unwrap(),
            cut: Arc::default(),
            age: Arc::default(),
            watches: Arc::default(),
        };
        let own = proxy.clone();
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || {
                    own.wait();
                    let Ok(server) = TcpStream::connect(to) else { return };
                    let _ = (client.set_nodelay(true), server.set_nodelay(true));
                    let (Ok(a), Ok(b)) = (client.try_clone(), server.try_clone()) else { return };
                    let back = own.clone();
                    let age = own.age.load(Ordering::SeqCst);
                    thread::spawn(move || back.copy(b, a, age));
                    own.copy(client, server, age);
                });
            }
        });
        proxy
    }

    pub fn set_cut(&self, is_cut: bool) {
        self.cut.store(is_cut, Ordering::SeqCst);
    }

    fn wait(&self) {
        while self.cut.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(5));
        }
    }

    /// Drops what passes on the connections that are open now, without closing them.
    pub fn lose_answers(&self) {
        self.age.fetch_add(1, Ordering::SeqCst);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream, age: u64) {
        let mut chunk = [0; 16384];
        loop {
            let count = from.read(&mut chunk).unwrap_or(0);
            self.wait();
            if self.age.load(Ordering::SeqCst) > age {
                if count > 0 {
                    continue;
                }
                // The other side learns nothing of the end either.
                thread::sleep(Duration::from_secs(120));
                return;
            }
            let text = String::from_utf8_lossy(&chunk[..count]);
            if let Some(at) = text.find("watch_timeout_ms=") {
                let wait = text[at + 17..].split(' ').next().unwrap_or_default().to_owned();
                self.watches.lock().unwrap().push((Instant::now(), wait));
            }
            if count == 0 || to.write_all(&chunk[..count]).is_err() {
                let _ = to.shutdown(std::net::Shutdown::Both);
                let _ = from.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }
}

/// Sleeps for some milliseconds.
pub fn pause(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Ends the case: saves the record and exits with 0 if no rule was broken, else 1.
pub fn finish(case: &str, record: &Record, broken: &[String]) -> i32 {
    for line in broken {
        record.add(format!("BROKEN: {line}"));
    }
    record.add(if broken.is_empty() { "held" } else { "broken" });
    record.save(case);
    for line in broken.iter().take(5) {
        println!("BROKEN: {line}");
    }
    println!("case {case}: {}", if broken.is_empty() { "held" } else { "broken" });
    i32::from(!broken.is_empty())
}
