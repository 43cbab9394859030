//! The fixture that the cases share: a front for callers whose traffic thread is
//! played by the case, and clients.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use laburnum_core::{
    fault::{Fault, Kind},
    id::{self, Origin},
    name::Name,
    traffic::{Answer, Body, Event},
};
use laburnumworks::{
    front::{self, probe::Metrics},
    memory::Ledger,
    settings::traffic::Callers,
    traffic::{Handle, Input, handle::Submission},
};
use reqwest::Response;
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    sync::{
        mpsc::{UnboundedReceiver, unbounded_channel},
        watch,
    },
    task::JoinHandle,
    time::timeout,
};

/// The time after which a case that waits for an event fails.
pub const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a case waits to assert that no event occurs.
pub const QUIET_PERIOD: Duration = Duration::from_millis(150);

/// The query id in every answer.
pub const QUERY_ID: id::Query = id::Query { origin: Origin(0xab), sequence: 1 };

/// An implementation of [`Metrics`] without any metric.
pub struct NoMetrics;

impl Metrics for NoMetrics {
    fn encode(&self) -> String {
        "# EOF\n".to_owned()
    }

    fn refused(&self, _: Kind) {}
}

/// Limits large enough that only cases which exceed them on purpose reach them.
pub fn limits() -> Callers {
    Callers {
        body_limit_bytes: 2048,
        header_limit_bytes: 8192,
        header_read_timeout: Duration::from_secs(20),
        body_read_timeout: Duration::from_secs(20),
        idle_timeout: Duration::from_secs(20),
        open_requests: 16,
        open_connections: 16,
    }
}

/// The senders of the signals that a front watches.
pub struct Signals {
    pub ready: watch::Sender<bool>,
    pub shutdown: watch::Sender<bool>,
}

/// A front for callers.
pub struct Front {
    pub address: SocketAddr,
    pub signals: Signals,
    pub task: JoinHandle<std::io::Result<()>>,
    pub http: reqwest::Client,
    inputs: UnboundedReceiver<Input>,
}

impl Front {
    /// Starts a front with the default [`limits`] after `change` has modified them.
    pub fn start(change: impl FnOnce(&mut Callers)) -> Front {
        let mut limits = limits();
        change(&mut limits);
        let (listener, address) = listen();
        let (inputs, receiver) = unbounded_channel();
        let (ready, is_ready) = watch::channel(true);
        let (shutdown, is_shut) = watch::channel(false);
        let parts = front::Parts {
            listener,
            limits,
            ledger: Ledger::default(),
            thread: 0,
            handle: Handle::new(inputs),
            ready: is_ready,
            metrics: Arc::new(NoMetrics),
            shutdown: is_shut,
        };
        Front {
            address,
            signals: Signals { ready, shutdown },
            task: tokio::spawn(front::serve(parts)),
            http: client(),
            inputs: receiver,
        }
    }

    /// Waits for the next input to the traffic thread.
    pub async fn next_input(&mut self) -> Input {
        timeout(EVENT_TIMEOUT, self.inputs.recv())
            .await
            .expect("no input within the limit")
            .expect("the front runs")
    }

    /// Waits for the next call to the traffic thread; panics on any other input.
    pub async fn next_call(&mut self) -> Submission {
        match self.next_input().await {
            Input::Call(submission) => submission,
            Input::Abandoned(call) => panic!("{call:?} was abandoned"),
        }
    }

    /// Asserts that no input has reached the traffic thread.
    pub fn assert_nothing_ran(&mut self) {
        assert!(self.inputs.try_recv().is_err(), "an input reached the traffic thread");
    }

    /// Sends `request`, answers the call with `body` and returns the response.
    pub async fn exchange(&mut self, request: reqwest::RequestBuilder, body: Body) -> Response {
        let sent = tokio::spawn(request.send());
        let submission = self.next_call().await;
        reply(submission, body);
        sent.await.expect("the client does not panic").expect("an answer comes")
    }

    /// Builds a POST of a JSON text.
    pub fn post(&self, path: &str, body: &str) -> reqwest::RequestBuilder {
        self.http.post(format!("http://{}{path}", self.address)).body(body.to_owned())
    }

    /// Sends a GET and returns the response.
    pub async fn get(&self, path: &str) -> Response {
        let request = self.http.get(format!("http://{}{path}", self.address));
        request.send().await.expect("an answer comes")
    }
}

/// Answers a call with `body`.
pub fn reply(submission: Submission, body: Body) {
    let profile = match submission.event {
        Event::Search { search, .. } => search.profile,
        Event::Operate { operate, .. } => operate.profile,
        other => panic!("{other:?} is not a call"),
    };
    let answer = Answer { query: QUERY_ID, body, profile, took: Duration::ZERO };
    let _ = submission.answer.send(answer);
}

pub fn refusal(fault: Fault) -> Body {
    Body::Refused(fault)
}

pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("a valid name")
}

/// Listens on an unused port of the loopback interface.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

/// Builds an HTTP client with its own connection pool.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().timeout(EVENT_TIMEOUT).build().expect("a client")
}

/// Reads the problem document of a response and asserts what holds for all problem
/// documents.
pub async fn read_problem(response: Response) -> Value {
    let status = response.status().as_u16();
    assert_eq!(response.headers()["content-type"], "application/problem+json");
    let after = response.headers().get("retry-after").cloned();
    let document: Value = response.json().await.expect("a JSON document");
    assert_eq!(document["status"], status);
    let kind = document["kind"].as_str().expect("a kind");
    assert_eq!(document["type"], format!("urn:laburnumworks:fault:{kind}"));
    assert_eq!(document["retry"]["allowed"], after.is_some());
    document
}

/// Asserts that `document` is a refusal of `kind` which states that nothing ran.
pub fn assert_not_run(document: &Value, kind: &str) {
    assert_eq!(document["kind"], kind, "{document}");
    assert_eq!(document["ran"], "no", "{document}");
}

/// A raw TCP connection to a front, on which the case writes the bytes itself.
pub struct Connection(pub TcpStream);

impl Connection {
    pub async fn open(address: SocketAddr) -> Connection {
        Connection(TcpStream::connect(address).await.expect("the front accepts"))
    }

    /// Sends `text` and returns whether the write succeeded; the front may have
    /// closed the connection already.
    pub async fn send(&mut self, text: &str) -> bool {
        self.0.write_all(text.as_bytes()).await.is_ok()
    }

    /// Reads until the front closes the connection.
    pub async fn read_to_end(&mut self) -> String {
        let mut bytes = Vec::new();
        let read = timeout(EVENT_TIMEOUT, self.0.read_to_end(&mut bytes)).await;
        read.expect("the front closes in time").expect("the connection is not reset");
        String::from_utf8(bytes).expect("the answer is text")
    }

    /// Reads the bytes that arrive next, at most 4096.
    pub async fn read_some(&mut self) -> String {
        let mut bytes = [0; 4096];
        let read = timeout(EVENT_TIMEOUT, self.0.read(&mut bytes))
            .await
            .expect("the front sends within the limit");
        let size = read.expect("the connection is not reset");
        String::from_utf8(bytes[..size].to_vec()).expect("the answer is text")
    }
}

/// Parses the JSON document in a raw HTTP response.
pub fn parse_document(response: &str) -> Value {
    let (_, body) = response.split_once("\r\n\r\n").expect("a head and a body");
    serde_json::from_str(body).expect("a JSON document")
}

/// Returns the bytes of an HTTP/1.1 POST of `body` as text.
pub fn raw_post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: vm\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}
