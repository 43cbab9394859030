//! The stand-in of the platform and its client, in the runtime of a test.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    time::Duration,
};

use laburnum_core::{
    border::Platform,
    name::Name,
    store::{Call, CallId, Entry, Reply, Version},
    view::{State, Vm},
};
use laburnum_platform::store::Client;
use laburnumworks::standin::platform::{List, serve};
use reqwest::StatusCode;
use serde_json::Value;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// The limit of each call.
pub const LIMIT: Duration = Duration::from_millis(400);

/// A stand-in that runs until the runtime of the test ends.
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

    pub fn caller(&self, vm: &str) -> Caller {
        Caller::new(self.address, vm)
    }

    /// Sends an order of the test or the deployer.
    pub async fn put(&self, path: &str, body: Value) -> StatusCode {
        let url = format!("http://{}{path}", self.address);
        self.http.put(url).json(&body).send().await.unwrap().status()
    }

    pub async fn delete(&self, path: &str) -> StatusCode {
        let url = format!("http://{}{path}", self.address);
        self.http.delete(url).send().await.unwrap().status()
    }

    pub async fn faults(&self, faults: Value) {
        assert_eq!(self.put("/v1/faults", faults).await, StatusCode::NO_CONTENT);
    }

    /// The number of calls by kind.
    pub async fn calls(&self) -> BTreeMap<String, u64> {
        let url = format!("http://{}/v1/calls", self.address);
        self.http.get(url).send().await.unwrap().json().await.unwrap()
    }
}

/// A client with the replies that it reports.
pub struct Caller {
    client: Client,
    replies: UnboundedReceiver<(CallId, Reply)>,
    last: u64,
}

impl Caller {
    pub fn new(address: SocketAddr, vm: &str) -> Caller {
        let (sender, replies) = unbounded_channel();
        let client = Client::new(address, &name(vm), LIMIT, sender);
        Caller { client, replies, last: 0 }
    }

    /// Starts a call without waiting for its reply.
    pub fn start(&mut self, call: Call) -> CallId {
        self.last += 1;
        self.client.call(CallId(self.last), call);
        CallId(self.last)
    }

    /// The next reply of any call.
    pub async fn next(&mut self) -> (CallId, Reply) {
        self.replies.recv().await.unwrap()
    }

    /// Makes a call and waits for its reply; no other call is open.
    pub async fn ask(&mut self, call: Call) -> Reply {
        let id = self.start(call);
        let (found, reply) = self.next().await;
        assert_eq!(found, id);
        reply
    }

    /// Writes a key that must not have changed meanwhile.
    pub async fn write(&mut self, key: &str, expect: Option<Version>, value: &[u8]) -> Version {
        match self.ask(swap(key, expect, value)).await {
            Reply::Swapped { version } => version,
            other => panic!("{other:?}"),
        }
    }

    /// Reads a key.
    pub async fn read(&mut self, key: &str) -> Option<Entry> {
        match self.ask(get(key)).await {
            Reply::Value { entry, .. } => entry,
            other => panic!("{other:?}"),
        }
    }

    /// The names and states of the listed VMs.
    pub async fn vms(&mut self) -> Vec<(String, State)> {
        match self.ask(Call::List).await {
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

pub fn watch(prefix: &str, after: u64, wait_ms: u64) -> Call {
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

/// Tells whether a reply says that nothing is known of the call's effect.
pub fn is_lost(reply: &Reply) -> bool {
    matches!(reply, Reply::Lost { .. })
}

/// Tells whether a reply says that the call had no effect.
pub fn is_refused(reply: &Reply) -> bool {
    matches!(reply, Reply::Refused { .. })
}
