//! The stand-in of the platform's service and a client of it, both on the runtime
//! of a test.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use laburnum_core::{
    border::Platform,
    name::Name,
    store::{Call, CallId, Entry, Outcome, Position, Reply, Version},
    view::{State, Vm},
};
use laburnum_platform::store::Client;
use laburnumworks::standin::platform::{List, serve};
use reqwest::StatusCode;
use serde_json::Value;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// The client's time limit per call; a watch has its own wait in addition.
pub const CALL_LIMIT: Duration = Duration::from_millis(400);

/// The stand-in of the platform's service; runs until the test's runtime is
/// dropped.
pub struct Service {
    pub address: SocketAddr,
    http: reqwest::Client,
}

impl Service {
    pub fn start() -> Service {
        Service::start_with(List::default())
    }

    pub fn start_with(list: List) -> Service {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(serve(listener, list));
        Service { address, http: reqwest::Client::builder().no_proxy().build().unwrap() }
    }

    pub fn client(&self, vm: &str) -> TestClient {
        TestClient::new(self.address, vm)
    }

    /// Sends a PUT, as a deployer does to change the list and a test to set faults.
    pub async fn put(&self, path: &str, body: Value) -> StatusCode {
        let url = format!("http://{}{path}", self.address);
        self.http.put(url).json(&body).send().await.unwrap().status()
    }

    pub async fn delete(&self, path: &str) -> StatusCode {
        let url = format!("http://{}{path}", self.address);
        self.http.delete(url).send().await.unwrap().status()
    }

    pub async fn set_faults(&self, faults: Value) {
        assert_eq!(self.put("/v1/faults", faults).await, StatusCode::NO_CONTENT);
    }

    /// Returns the number of calls that the stand-in has received, by kind.
    pub async fn call_counts(&self) -> BTreeMap<String, u64> {
        let url = format!("http://{}/v1/calls", self.address);
        self.http.get(url).send().await.unwrap().json().await.unwrap()
    }
}

/// The era that the stand-in states at the start.
const ERA: u64 = 1;

/// A client of the platform's service that collects its replies.
pub struct TestClient {
    client: Client,
    outcomes: UnboundedReceiver<Outcome>,
    last_id: u64,
}

impl TestClient {
    pub fn new(address: SocketAddr, vm: &str) -> TestClient {
        let (sender, outcomes) = unbounded_channel();
        let client = Client::new(address, &name(vm), CALL_LIMIT, sender);
        TestClient { client, outcomes, last_id: 0 }
    }

    /// Starts a call without waiting for its reply.
    pub fn start(&mut self, call: Call) -> CallId {
        self.last_id += 1;
        self.client.call(CallId(self.last_id), call);
        CallId(self.last_id)
    }

    /// Waits for the next reply to any call.
    pub async fn next(&mut self) -> (CallId, Reply) {
        let outcome = self.outcomes.recv().await.unwrap();
        (outcome.id, outcome.reply)
    }

    /// Makes a call and waits for its reply. No other call may be outstanding.
    pub async fn call(&mut self, call: Call) -> Reply {
        let id = self.start(call);
        let (found, reply) = self.next().await;
        assert_eq!(found, id);
        reply
    }

    /// Writes a key and panics unless its version is `expect`.
    pub async fn write(&mut self, key: &str, expect: Option<Version>, value: &[u8]) -> Version {
        match self.call(swap(key, expect, value)).await {
            Reply::Swapped { version } => version,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the entry of a key, or `None` if the key does not exist.
    pub async fn read(&mut self, key: &str) -> Option<Entry> {
        match self.call(get(key)).await {
            Reply::Value { entry, .. } => entry,
            other => panic!("{other:?}"),
        }
    }

    /// Returns the names and states of the listed VMs.
    pub async fn vms(&mut self) -> Vec<(String, State)> {
        match self.call(Call::List).await {
            Reply::Listed { vms, .. } => {
                vms.into_iter().map(|vm| (vm.name.to_string(), vm.state)).collect()
            }
            other => panic!("{other:?}"),
        }
    }
}

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub fn get(key: &str) -> Call {
    Call::Get { key: key.to_owned() }
}

pub fn swap(key: &str, expect: Option<Version>, value: &[u8]) -> Call {
    Call::Swap { key: key.to_owned(), expect, value: value.to_vec(), lease: None }
}

/// Returns the position of a change in the era of the stand-in.
pub fn at(change: u64) -> Position {
    Position::new(ERA, change)
}

pub fn watch(prefix: &str, after: u64, wait_ms: u64) -> Call {
    let after = at(after);
    Call::Watch { prefix: prefix.to_owned(), after, wait: Duration::from_millis(wait_ms) }
}

pub fn vm(text: &str, state: State) -> Vm {
    Vm {
        name: name(text),
        domain: name("gauteng-1"),
        incarnation: 0,
        state,
        control: "127.0.0.1:4000".parse().unwrap(),
        traffic: vec!["127.0.0.1:4001".parse().unwrap()],
    }
}

/// Returns whether a reply states that the effect of the call is unknown.
pub fn is_lost(reply: &Reply) -> bool {
    matches!(reply, Reply::Lost { .. })
}

/// Returns whether a reply states that the call had no effect.
pub fn is_refused(reply: &Reply) -> bool {
    matches!(reply, Reply::Refused { .. })
}
