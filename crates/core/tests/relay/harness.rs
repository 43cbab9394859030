//! An engine of a traffic thread in virtual time, whose callers, targets and other
//! VMs are played by the test.

use std::{
    collections::{BTreeMap, BTreeSet},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use laburnum_core::{
    digest::Fingerprint,
    id::Origin,
    log::Line,
    name::Name,
    relay::{
        Answer, Attempt, Call, CallerRequest, Command, Connection, Engine, Event, Hop, Limits,
        Loss, Message, Outbox, Reply, Suspicion, TargetRequest, View,
        message::{Header, Notice},
        policy::Policies,
        route::{Bounds, Config, Gather, Plan, Route, Service, WeightedService},
        view::Target,
    },
    time::Instant,
};

/// The origin of the engine.
pub const ORIGIN: Origin = Origin(11);

/// The host of every route.
pub const HOST: &str = "register.example";

pub fn name(text: &str) -> Name {
    Name::try_from(text).unwrap()
}

pub const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A route with a goal of 100 ms, a timeout of 600 ms and two attempts.
pub fn route(label: &str, plan: Plan) -> Route {
    Route {
        name: name(label),
        prefix: format!("/{label}/").into(),
        idempotent: true,
        timeout: ms(600),
        goal: ms(100),
        priority: 1,
        attempts: 2,
        plan,
    }
}

/// A search over shards that answers with at least the fraction `min_coverage` of them.
pub fn search(shards: &[&str], min_coverage: f64) -> Route {
    let shards = shards.iter().map(|shard| name(shard)).collect();
    route("search", Plan::Gather(Gather { shards, top_k: 3, min_coverage }))
}

/// A route to one service.
pub fn single(service: &str) -> Route {
    route("fetch", Plan::Single(name(service)))
}

/// A route that splits its requests between services, each with its weight.
pub fn split(parts: &[(&str, f64)]) -> Route {
    let part = |(service, weight): &(&str, f64)| WeightedService {
        service: name(service),
        weight: *weight,
    };
    route("split", Plan::Split(parts.iter().map(part).collect()))
}

/// A configuration of routes whose targets accept `connections` connections each.
pub fn config(version: u64, routes: Vec<Route>, connections: u32) -> Config {
    let services: BTreeSet<Name> =
        routes.iter().flat_map(|route| route.services()).cloned().collect();
    let row = Service { connections };
    Config {
        version,
        hosts: Config::group_by_host(routes.into_iter().map(|route| (HOST.into(), route))),
        services: services.into_iter().map(|service| (service, row)).collect(),
        bounds: Bounds::default(),
    }
}

/// The id and the registration of a target with two slots.
pub fn target(id: &str, service: &str) -> (Name, Arc<Target>) {
    let last = id.bytes().fold(1u8, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte));
    let target = Target {
        service: name(service),
        address: format!("10.0.0.{last}:80").parse().unwrap(),
        domain: name("near"),
        slots: 2,
        draining: false,
        cold: Duration::ZERO,
        born: 0,
    };
    (name(id), Arc::new(target))
}

/// A view with two targets, `X-1` and `X-2`, for each service `X`.
pub fn view(config: Config) -> View {
    let mut targets = BTreeMap::new();
    for service in config.services.keys() {
        targets.extend([
            target(&format!("{service}-1"), service.as_str()),
            target(&format!("{service}-2"), service.as_str()),
        ]);
    }
    View { config: Some(Arc::new(config)), targets, assumed_vms: 1, ..View::default() }
}

/// A request of a caller that waits 600 ms.
pub fn request(path: &str) -> CallerRequest {
    let message = Message {
        method: "GET".into(),
        path: path.into(),
        headers: Vec::new(),
        body: Bytes::new(),
    };
    CallerRequest {
        id: "c1".into(),
        host: HOST.into(),
        path: path.into(),
        caller_timeout: Some(ms(600)),
        peer_delay: Duration::ZERO,
        min_version: 0,
        message,
    }
}

/// A success with one record that consists of the byte `fill`.
pub fn success(digest: &str, fill: u8) -> Reply {
    Reply {
        status: 200,
        headers: Vec::<Header>::new(),
        body: Bytes::copy_from_slice(&[fill; 16]),
        digest: Some(digest.into()),
        refused: false,
        misdirected: false,
        load: None,
        reusable: true,
        notice: Notice::default(),
    }
}

/// A failure with a status, and with a digest as a success has it.
pub fn failure(status: u16) -> Reply {
    Reply { status, ..success("failed", 0) }
}

/// A reply of a target that refused the request without running it.
pub fn refusal(status: u16) -> Reply {
    Reply { refused: true, misdirected: status == 421, digest: None, ..failure(status) }
}

/// A request that the engine sent to a target.
#[derive(Clone, Debug)]
pub struct Sent {
    pub connection: Connection,
    pub attempt: Attempt,
    pub target_request: TargetRequest,
    /// When the engine sent it.
    pub at: Instant,
}

impl Sent {
    /// The id of the target.
    pub fn target(&self) -> &str {
        self.target_request.target.as_str()
    }
}

/// The engine with all commands and answers that it has given so far.
pub struct Harness {
    pub engine: Engine,
    pub now: Instant,
    pub sent: Vec<Sent>,
    pub opened: Vec<Connection>,
    pub closed: Vec<Connection>,
    pub answers: BTreeMap<Call, Answer>,
    pub answered_at: BTreeMap<Call, Instant>,
    pub lines: Vec<Line>,
    pub hops: Vec<(Name, Hop)>,
    /// The VMs that were asked for their state.
    pub asked: Vec<Name>,
    pub quarantined: Vec<Fingerprint>,
    /// How long each of `quarantined` is refused.
    pub holds: Vec<Duration>,
    pub suspicions: Vec<Suspicion>,
    last_call: u64,
}

/// Limits that allow retries for a fifth of the first attempts, and `slack` more.
pub fn limits(slack: f64) -> Limits {
    Limits {
        vm: name("own"),
        address: "10.9.9.9:7000".parse().unwrap(),
        domain: name("near"),
        retry_ratio: 0.2,
        retry_slack: slack,
        retry_window: Duration::from_secs(10),
    }
}

impl Harness {
    /// An engine without a view, with enough retry budget for any test.
    pub fn empty() -> Harness {
        Harness::with_slack(100.0)
    }

    /// An engine without a view whose limits are [`limits`] of `slack`.
    pub fn with_slack(slack: f64) -> Harness {
        Harness {
            engine: Engine::new(limits(slack), Policies::default(), 7, ORIGIN),
            now: Instant(1_000_000),
            sent: Vec::new(),
            opened: Vec::new(),
            closed: Vec::new(),
            answers: BTreeMap::new(),
            answered_at: BTreeMap::new(),
            lines: Vec::new(),
            hops: Vec::new(),
            asked: Vec::new(),
            quarantined: Vec::new(),
            holds: Vec::new(),
            suspicions: Vec::new(),
            last_call: 0,
        }
    }

    /// An engine with a view and with a first connection open to every target.
    pub fn with_view(view: View) -> Harness {
        let mut harness = Harness::empty();
        harness.set_view(view);
        harness.open_first_connections();
        harness
    }

    /// An engine with one route and two targets for each of its services.
    pub fn with_route(route: Route) -> Harness {
        Harness::with_view(view(config(1, vec![route], 100)))
    }

    /// Runs one tick with events and collects what the engine leaves in its outbox.
    pub fn tick(&mut self, events: Vec<Event>) {
        let mut out = Outbox::default();
        self.engine.tick(self.now, events, &mut out);
        for command in out.commands {
            match command {
                Command::Open { connection, .. } => self.opened.push(connection),
                Command::Send { connection, attempt, target_request } => {
                    self.sent.push(Sent { connection, attempt, target_request, at: self.now });
                }
                Command::Close { connection } => self.closed.push(connection),
                Command::Hop { to, hop: Hop::AskState { .. }, .. } => self.asked.push(to),
                Command::Hop { to, hop, .. } => self.hops.push((to, hop)),
            }
        }
        for (call, answer) in out.answers {
            assert!(self.answers.insert(call, answer).is_none(), "answered twice");
            self.answered_at.insert(call, self.now);
        }
        self.lines.extend(out.lines);
        self.quarantined.extend(out.quarantined.iter().map(|quarantine| quarantine.request));
        self.holds.extend(out.quarantined.iter().map(|quarantine| quarantine.hold));
        self.suspicions.extend(out.suspicions);
    }

    /// Gives the engine a newer view.
    pub fn set_view(&mut self, view: View) {
        self.tick(vec![Event::View(Arc::new(view))]);
    }

    /// Advances the clock by `span`, with a tick at every timer that falls due.
    pub fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(wake) = self.engine.wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            self.tick(Vec::new());
        }
        self.now = end;
        self.tick(Vec::new());
    }

    /// Waits until the engine has asked for the first connection to every target and
    /// opens them.
    pub fn open_first_connections(&mut self) {
        self.advance(Duration::from_secs(2));
        for connection in std::mem::take(&mut self.opened) {
            self.tick(vec![Event::Opened { connection }]);
        }
    }

    /// Lets a caller send a request.
    pub fn submit(&mut self, caller_request: CallerRequest) -> Call {
        self.last_call += 1;
        let call = Call(self.last_call);
        self.tick(vec![Event::Arrived { call, caller_request }]);
        call
    }

    /// Lets a target reply to a request.
    pub fn reply(&mut self, sent: &Sent, reply: Reply) {
        let (connection, attempt) = (sent.connection, sent.attempt);
        self.tick(vec![Event::Replied { connection, attempt, reply: Box::new(reply) }]);
    }

    /// Loses the connection of a request without a sign from the target; `was_sent`
    /// tells whether some of the request may have reached it.
    pub fn lose_connection(&mut self, sent: &Sent, was_sent: bool) {
        let loss = Loss { sent: was_sent, idle: false, gone: false, detail: "silent".to_owned() };
        self.tick(vec![Event::Closed { connection: sent.connection, loss }]);
    }

    /// Lets a target reset the connection of a request and accept new connections.
    pub fn reset_connection(&mut self, sent: &Sent) {
        let loss = Loss { sent: true, idle: false, gone: true, detail: "reset".to_owned() };
        self.tick(vec![Event::Closed { connection: sent.connection, loss }]);
        self.advance(ms(250));
        for connection in std::mem::take(&mut self.opened) {
            self.tick(vec![Event::Opened { connection }]);
        }
    }

    /// Refuses every connection that is being opened.
    pub fn refuse_connections(&mut self) {
        for connection in std::mem::take(&mut self.opened) {
            let loss = Loss { sent: false, idle: false, gone: true, detail: "refused".to_owned() };
            self.tick(vec![Event::Closed { connection, loss }]);
        }
    }

    /// Crashes a target: the connection of a request is reset, and new connections
    /// are refused.
    pub fn crash_target(&mut self, sent: &Sent) {
        let loss = Loss { sent: true, idle: false, gone: true, detail: "reset".to_owned() };
        let connection = sent.connection;
        self.opened.clear();
        self.tick(vec![Event::Closed { connection, loss }]);
        self.advance(ms(250));
        self.refuse_connections();
    }

    /// Takes the requests that were sent to targets since the last call.
    pub fn take_sent(&mut self) -> Vec<Sent> {
        std::mem::take(&mut self.sent)
    }

    /// Takes the only request that was sent to a target since the last call.
    pub fn take_one_sent(&mut self) -> Sent {
        let mut sent = self.take_sent();
        assert_eq!(sent.len(), 1, "{sent:?}");
        sent.remove(0)
    }

    /// The HTTP status with which a request was refused.
    pub fn refusal_status(&self, call: Call) -> u16 {
        match &self.answers[&call] {
            Answer::Refused(refusal) => refusal.fault.kind.answer().status,
            other => panic!("not refused: {other:?}"),
        }
    }

    /// The time from `since` to the answer of a request.
    pub fn waited(&self, call: Call, since: Instant) -> Duration {
        self.answered_at[&call].since(since)
    }

    /// Sends `count` requests that are answered after `span`, so that the engine has
    /// latency statistics for the route.
    pub fn train_latency(&mut self, path: &str, count: usize, span: Duration) {
        for _ in 0..count {
            self.submit(request(path));
            let sent = self.take_sent();
            self.now = self.now + span;
            for (index, sent) in sent.iter().enumerate() {
                self.reply(sent, success(&format!("d{index}"), 1));
            }
            self.advance(ms(200));
        }
        self.sent.clear();
    }
}
