//! What the cases share: a front with a fake thread behind it, and clients.

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

/// The time after which a case gives up on an event.
pub const PATIENCE: Duration = Duration::from_secs(10);

/// The time in which nothing must happen.
pub const QUIET: Duration = Duration::from_millis(150);

/// The id of every request in the answers.
pub const QUERY: id::Query = id::Query { origin: Origin(0xab), sequence: 1 };

/// Metrics without any.
pub struct Text;

impl Metrics for Text {
    fn encode(&self) -> String {
        "# EOF\n".to_owned()
    }

    fn refused(&self, _: Kind) {}
}

/// Limits that no case meets by chance.
pub fn limits() -> Callers {
    Callers {
        body_limit: 2048,
        header_limit: 8192,
        header_read: Duration::from_secs(20),
        body_read: Duration::from_secs(20),
        idle: Duration::from_secs(20),
        open_requests: 16,
        open_connections: 16,
    }
}

/// The signals that a front waits for.
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
    /// Starts a front with the limits that `change` leaves.
    pub fn start(change: impl FnOnce(&mut Callers)) -> Front {
        let mut limits = limits();
        change(&mut limits);
        let (listener, address) = listen();
        let (inputs, receiver) = unbounded_channel();
        let (ready, is_ready) = watch::channel(true);
        let (shutdown, is_shut) = watch::channel(false);
        let seed = front::Parts {
            listener,
            limits,
            handle: Handle::new(inputs),
            ready: is_ready,
            metrics: Arc::new(Text),
            shutdown: is_shut,
        };
        Front {
            address,
            signals: Signals { ready, shutdown },
            task: tokio::spawn(front::serve(seed)),
            http: client(),
            inputs: receiver,
        }
    }

    /// The next input of the traffic thread.
    pub async fn input(&mut self) -> Input {
        timeout(PATIENCE, self.inputs.recv()).await.expect("no input came").expect("it has ended")
    }

    /// The next call of the traffic thread.
    pub async fn ask(&mut self) -> Submission {
        match self.input().await {
            Input::Call(ask) => ask,
            Input::Abandoned(call) => panic!("{call:?} was abandoned"),
        }
    }

    /// Checks that nothing reached the traffic thread.
    pub fn assert_nothing_ran(&mut self) {
        assert!(self.inputs.try_recv().is_err(), "an input reached the traffic thread");
    }

    /// Posts `body` to `path` and answers the call.
    pub async fn exchange(&mut self, request: reqwest::RequestBuilder, body: Body) -> Response {
        let sent = tokio::spawn(request.send());
        let ask = self.ask().await;
        reply(ask, body);
        sent.await.expect("the client does not panic").expect("an answer comes")
    }

    /// A POST of a JSON text.
    pub fn post(&self, path: &str, body: &str) -> reqwest::RequestBuilder {
        self.http.post(format!("http://{}{path}", self.address)).body(body.to_owned())
    }

    /// A GET.
    pub async fn get(&self, path: &str) -> Response {
        let request = self.http.get(format!("http://{}{path}", self.address));
        request.send().await.expect("an answer comes")
    }
}

/// Answers a call.
pub fn reply(ask: Submission, body: Body) {
    let profile = match ask.event {
        Event::Search { search, .. } => search.profile,
        Event::Operate { operate, .. } => operate.profile,
        other => panic!("{other:?} is no call"),
    };
    let answer = Answer { query: QUERY, body, profile, took: Duration::ZERO };
    let _ = ask.answer.send(answer);
}

/// A refusal as an answer.
pub fn refused(fault: Fault) -> Body {
    Body::Refused(fault)
}

/// A name.
pub fn name(text: &str) -> Name {
    Name::try_from(text).expect("a name")
}

/// A listener on a free port of the loopback interface.
pub fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    (listener, address)
}

/// A client that opens its own connections.
pub fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().timeout(PATIENCE).build().expect("a client")
}

/// A problem document with the checks that hold for all of them.
pub async fn problem(response: Response) -> Value {
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

/// Checks that `document` is a refusal of `kind` of which nothing ran.
pub fn assert_not_run(document: &Value, kind: &str) {
    assert_eq!(document["kind"], kind, "{document}");
    assert_eq!(document["ran"], "no", "{document}");
}

/// A connection that a case writes byte by byte.
pub struct Wire(pub TcpStream);

impl Wire {
    /// Connects to a front.
    pub async fn open(address: SocketAddr) -> Wire {
        Wire(TcpStream::connect(address).await.expect("the front accepts"))
    }

    /// Sends `text`; the front may have closed already.
    pub async fn send(&mut self, text: &str) -> bool {
        self.0.write_all(text.as_bytes()).await.is_ok()
    }

    /// All that the front sends until it closes.
    pub async fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let read = timeout(PATIENCE, self.0.read_to_end(&mut bytes)).await;
        read.expect("the front closes in time").expect("the connection is not reset");
        String::from_utf8(bytes).expect("the answer is text")
    }

    /// What the front sends next.
    pub async fn next(&mut self) -> String {
        let mut bytes = [0; 4096];
        let read = timeout(PATIENCE, self.0.read(&mut bytes)).await.expect("something comes");
        let size = read.expect("the connection is not reset");
        String::from_utf8(bytes[..size].to_vec()).expect("the answer is text")
    }
}

/// The problem document of a response that was read as text.
pub fn document(response: &str) -> Value {
    let (_, body) = response.split_once("\r\n\r\n").expect("a head and a body");
    serde_json::from_str(body).expect("a JSON document")
}

/// A POST of `body` as text.
pub fn post(path: &str, body: &str) -> String {
    format!("POST {path} HTTP/1.1\r\nhost: vm\r\ncontent-length: {}\r\n\r\n{body}", body.len())
}
