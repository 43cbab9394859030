//! A stand-in target and a client of targets for the cases, with the work that
//! they send.

use std::{
    net::{SocketAddr, TcpListener},
    sync::Arc,
    time::Duration,
};

use laburnum_core::{
    border::Targets,
    id::{self, Origin},
    key,
    name::Name,
    target::{Command, Event, Outcome, Reply, Request, Version, Work},
};
use laburnumworks::{
    memory::Ledger,
    standin::target::{
        self, Settings,
        fault::{Defect, Faults, Hit},
        settings::Raw,
        table::{Counts, Executions, Load},
    },
    target::{Client, Limits},
};
use tokio::{
    sync::mpsc::{UnboundedReceiver, unbounded_channel},
    time::timeout,
};
use uuid::Uuid;

/// The time within which an expected event must come.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// The time without an event after which a client counts as quiet.
pub const QUIET_PERIOD: Duration = Duration::from_millis(200);

/// The deadline of a request and the time allowed for opening a connection.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// A listener on a free port of the loopback interface.
pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("loopback has a free port")
}

/// A stand-in target that runs on the runtime of the case.
pub struct Target {
    /// The address on which it takes requests.
    pub address: SocketAddr,
    admin: SocketAddr,
    http: reqwest::Client,
}

impl Target {
    /// Starts a target with a service time of 1 ms, no connection cost and
    /// otherwise default settings, to which `change` is applied.
    pub fn start(change: impl FnOnce(&mut Raw)) -> Target {
        let mut raw = Raw {
            service: Duration::from_millis(1),
            connection_cost: Duration::ZERO,
            ..Raw::default()
        };
        change(&mut raw);
        let settings = Settings::try_from(raw).expect("the settings are valid");
        let (traffic, admin) = (listener(), listener());
        let address = traffic.local_addr().expect("the listener is bound");
        let admin_address = admin.local_addr().expect("the listener is bound");
        tokio::spawn(target::serve(settings, traffic, admin));
        let http = reqwest::Client::builder().no_proxy().build().expect("the client can be built");
        Target { address, admin: admin_address, http }
    }

    /// Replaces the faults of the target.
    pub async fn put_faults(&self, faults: &Faults) {
        let url = format!("http://{}/v1/faults", self.admin);
        let response = self.http.put(url).json(faults).send().await.expect("the admin answers");
        assert!(response.status().is_success(), "{}", response.text().await.unwrap_or_default());
    }

    /// Makes every reply have `defect`.
    pub async fn corrupt_replies(&self, defect: Defect) {
        let hits = vec![Hit { wrong: defect, mark: String::new(), times: None }];
        self.put_faults(&Faults { hits, ..Faults::default() }).await;
    }

    pub async fn counts(&self) -> Counts {
        self.read("counts").await
    }

    /// Reads how often each operation took effect.
    pub async fn executions(&self) -> Executions {
        self.read("executions").await
    }

    /// Reads the load that the target reports, which may lag or be false.
    pub async fn load(&self) -> Load {
        self.read("load").await
    }

    async fn read<T: serde::de::DeserializeOwned>(&self, what: &str) -> T {
        let url = format!("http://{}/v1/{what}", self.admin);
        let response = self.http.get(url).send().await.expect("the admin answers");
        response.json().await.expect("the answer is JSON")
    }
}

/// A client of targets with its events and a source of ids.
pub struct Caller {
    client: Client,
    events: UnboundedReceiver<Event>,
    ids: id::Source,
}

impl Caller {
    /// Makes a client with the default limits.
    pub fn new() -> Caller {
        Caller::with_limits(Limits::default())
    }

    pub fn with_limits(limits: Limits) -> Caller {
        let (sender, events) = unbounded_channel();
        let ids = id::Source::new(Origin(7));
        Caller { client: Client::new(limits, Ledger::default(), sender), events, ids }
    }

    /// Starts to open a connection and does not wait for the result.
    pub fn dial(&mut self, address: SocketAddr, limit: Duration) -> id::Connection {
        let connection = self.ids.connection();
        self.client.command(Command::Open { connection, address, limit });
        connection
    }

    /// Opens a connection and waits until it is open.
    pub async fn open(&mut self, target: &Target) -> id::Connection {
        let connection = self.dial(target.address, REQUEST_TIMEOUT);
        match self.event().await {
            Event::Opened { connection: opened, .. } if opened == connection => connection,
            event => panic!("not opened: {event:?}"),
        }
    }

    pub fn command(&mut self, command: Command) {
        self.client.command(command);
    }

    /// Sends work and does not wait for the reply.
    pub fn send(&mut self, connection: id::Connection, work: Work) -> id::Attempt {
        self.send_within(connection, work, REQUEST_TIMEOUT)
    }

    /// Sends work that has `remaining` until its deadline and does not wait for
    /// the reply.
    pub fn send_within(
        &mut self,
        connection: id::Connection,
        work: Work,
        remaining: Duration,
    ) -> id::Attempt {
        let attempt = self.ids.attempt();
        let request = Request { attempt, work, remaining };
        self.client.command(Command::Send { connection, request });
        attempt
    }

    /// Sends work and waits for its reply.
    pub async fn call(&mut self, connection: id::Connection, work: Work) -> Reply {
        let attempt = self.send(connection, work);
        match self.event().await {
            Event::Reply { attempt: answered, reply, .. } if answered == attempt => reply,
            event => panic!("no reply: {event:?}"),
        }
    }

    /// Sends work and waits for the outcome in its reply.
    pub async fn outcome(&mut self, connection: id::Connection, work: Work) -> Outcome {
        self.call(connection, work).await.outcome
    }

    /// Waits for the next event.
    pub async fn event(&mut self) -> Event {
        let event =
            timeout(EVENT_TIMEOUT, self.events.recv()).await.expect("an event comes in time");
        event.expect("the client is running")
    }

    /// Asserts that no event comes within [`QUIET_PERIOD`].
    pub async fn assert_quiet(&mut self) {
        if let Ok(event) = timeout(QUIET_PERIOD, self.events.recv()).await {
            panic!("unexpected {event:?}");
        }
    }
}

/// A search of the whole key space at version 1.
pub fn search(text: &str) -> Work {
    search_at(1, key::Range::ALL, text)
}

/// A search of a range of keys at a version.
pub fn search_at(version: u64, range: key::Range, text: &str) -> Work {
    Work::Search { version: Version(version), range, text: Arc::from(text) }
}

/// A clearance for subject 5 with a detail and a fresh token.
pub fn operation(detail: &str) -> Work {
    Work::Operate {
        subject: 5,
        operation: Name::try_from("clearance").expect("the name is valid"),
        detail: Arc::from(detail),
        token: Uuid::now_v7(),
    }
}
