//! The cost of the engine's decisions: CPU time and memory of the real traffic
//! engine without sockets, against targets that answer at once.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use laburnum_core::{
    digest,
    id::{self, Origin},
    key::Range,
    name::Name,
    notice::Notice,
    profile::{Document, Profile, Raw, Revision, WHOLE_PPM},
    target::{self, Command, Outcome, Reply, Request, Status, Version, Work},
    time::Instant,
    traffic::{self, Call, Engine, Event, Limits, Outbox, Policies, Search},
    view::{Lane, State, Target, View, Vm},
};
use serde::Serialize;

use super::process;
use crate::standin::target::settings::shard_range;

/// The total number of legs in a measurement of CPU time.
const TIMED_LEGS: u64 = 400_000;

/// The total number of legs that are open in a measurement of memory.
const OPEN_LEGS: u64 = 220_000;

/// The number of queries that are open at a time while CPU time is measured.
const CONCURRENT_QUERIES: u64 = 4;

const TICK_INTERVAL: Duration = Duration::from_millis(1);

/// The cost of queries with a given number of legs.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Cost {
    /// The number of legs of each query.
    pub legs: u32,
    /// The number of queries whose CPU time was measured.
    pub queries: u64,
    /// The CPU time of a query in microseconds.
    pub query_micros: f64,
    /// The CPU time of a leg in microseconds.
    pub leg_micros: f64,
    /// The memory of an open query in bytes.
    pub query_bytes: f64,
    /// The memory of an open leg in bytes.
    pub leg_bytes: f64,
}

impl Cost {
    /// Formats the row of the Markdown table.
    pub fn line(&self) -> String {
        format!(
            "| {} | {} | {:.1} | {:.2} | {:.0} | {:.0} |",
            self.legs,
            self.queries,
            self.query_micros,
            self.leg_micros,
            self.query_bytes,
            self.leg_bytes
        )
    }
}

/// The heading of the Markdown table.
pub const HEADING: &str = "| legs | queries | µs per query | µs per leg | bytes per query \
     | bytes per leg |\n|---|---|---|---|---|---|";

/// Measures queries of `legs` legs.
///
/// Memory is that of the whole process, so only the first measurement of a process
/// is accurate: later ones reuse memory that earlier ones freed.
pub fn measure(legs: u32) -> Cost {
    let open_queries = (OPEN_LEGS / u64::from(legs)).max(1);
    let bytes = memory_growth(legs, open_queries) as f64 / open_queries as f64;
    let queries = (TIMED_LEGS / u64::from(legs)).max(1);
    let micros = cpu_time(legs, queries).as_secs_f64() * 1e6 / queries as f64;
    Cost {
        legs,
        queries,
        query_micros: micros,
        leg_micros: micros / f64::from(legs),
        query_bytes: bytes,
        leg_bytes: bytes / f64::from(legs),
    }
}

fn cpu_time(legs: u32, queries: u64) -> Duration {
    let mut harness = Harness::new(legs);
    harness.send(CONCURRENT_QUERIES);
    harness.run_until_idle();
    let before = process::cpu_time();
    let mut sent = 0;
    while sent < queries {
        harness.send(CONCURRENT_QUERIES.min(queries - sent));
        sent += CONCURRENT_QUERIES;
        harness.run_until_idle();
    }
    process::cpu_time().saturating_sub(before)
}

/// The growth of resident memory, in bytes, while `queries` queries are open.
fn memory_growth(legs: u32, queries: u64) -> u64 {
    let mut harness = Harness::new(legs);
    harness.send(1);
    harness.run_until_idle();
    harness.withholds_replies = true;
    let before = process::resident_bytes();
    harness.send(queries);
    harness.step();
    process::resident_bytes().saturating_sub(before)
}

/// An engine that is both entry and home of every shard, and its targets.
struct Harness {
    engine: Engine,
    now: Instant,
    calls: u64,
    events: Vec<Event>,
    ranges: BTreeMap<std::net::SocketAddr, Range>,
    connections: BTreeMap<id::Connection, Range>,
    /// Whether the targets leave requests unanswered.
    withholds_replies: bool,
}

impl Harness {
    fn new(legs: u32) -> Harness {
        let view = view(legs);
        let ranges = view
            .targets
            .values()
            .zip(0..)
            .map(|(target, number)| (target.address, shard_range(number, legs)))
            .collect();
        let engine = Engine::new(traffic::Setup {
            lane: Lane { vm: view.vm.clone(), thread: 0 },
            domain: view.domain.clone(),
            origin: Origin(1),
            limits: Limits { jobs: usize::MAX, open_requests: usize::MAX, ..Limits::default() },
            policies: Policies::default(),
        });
        let mut harness = Harness {
            engine,
            now: Instant(1_000_000),
            calls: 0,
            events: vec![Event::Notice(Notice::View(Arc::new(view)))],
            ranges,
            connections: BTreeMap::new(),
            withholds_replies: false,
        };
        harness.run_until_idle();
        // The engine gives a target all of its slots only after some replies.
        for _ in 0..16 {
            harness.send(1);
            harness.run_until_idle();
        }
        harness
    }

    fn send(&mut self, count: u64) {
        for _ in 0..count {
            self.calls += 1;
            let search = Search {
                profile: name("cost"),
                text: Arc::from(format!("text {}", self.calls)),
                deadline: None,
            };
            self.events.push(Event::Search { call: Call(self.calls), search });
        }
    }

    /// Runs ticks until no event is left.
    fn run_until_idle(&mut self) {
        while !self.events.is_empty() {
            self.step();
        }
    }

    fn step(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        let mut out = Outbox::default();
        let events = std::mem::take(&mut self.events);
        self.engine.tick(self.now, events, &mut out);
        for command in out.commands {
            if let Some(event) = self.carry_out(command) {
                self.events.push(Event::Target(event));
            }
        }
    }

    fn carry_out(&mut self, command: Command) -> Option<target::Event> {
        match command {
            Command::Open { connection, address, .. } => {
                let range = *self.ranges.get(&address)?;
                self.connections.insert(connection, range);
                Some(target::Event::Opened { connection, status: status(range) })
            }
            Command::Send { connection, request } if !self.withholds_replies => {
                Some(answer(connection, &request, *self.connections.get(&connection)?))
            }
            Command::ReadStatus { connection, .. } => {
                let status = status(*self.connections.get(&connection)?);
                Some(target::Event::Status { connection, status })
            }
            Command::Send { .. } | Command::Cancel { .. } | Command::Close { .. } => None,
        }
    }
}

fn status(range: Range) -> Status {
    Status { incarnation: 1, draining: false, holds: BTreeMap::from([(Version(1), range)]) }
}

fn answer(connection: id::Connection, request: &Request, held: Range) -> target::Event {
    let outcome = match &request.work {
        Work::Search { version, range, .. } => Outcome::Rows {
            version: *version,
            range: *range,
            rows: Vec::new(),
            count: 0,
            digest: digest::rows(&[]),
        },
        Work::Operate { .. } => Outcome::Done { result: Arc::from("") },
    };
    let attempt = request.attempt;
    let reply = Reply { attempt: Some(attempt), outcome, status: Some(status(held)) };
    target::Event::Reply { connection, attempt, reply }
}

fn name(text: &str) -> Name {
    Name::try_from(text).expect("the names of the measurement are constants")
}

fn view(legs: u32) -> View {
    let mut view = View::starting(name("vm-1"), name("domain-1"));
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let vm = Vm {
        name: view.vm.clone(),
        domain: view.domain.clone(),
        incarnation: 1,
        state: State::Live,
        control: address,
        traffic: vec![address],
    };
    view.vms.insert(vm.name.clone(), vm);
    for number in 0..legs {
        let target = listed_target(number);
        view.targets.insert(target.name.clone(), target);
    }
    view.document = Arc::new(document());
    view.ready = true;
    view
}

fn listed_target(number: u32) -> Target {
    let [_, _, high, low] = number.to_be_bytes();
    Target {
        name: name(&format!("target-{number:05}")),
        index: name("licences"),
        shard: name(&format!("shard-{number:05}")),
        domain: name("domain-1"),
        address: std::net::SocketAddr::from(([10, 0, high, low], 1)),
        slots: u32::MAX,
        connections: 55,
        state: State::Live,
    }
}

fn document() -> Document {
    let profile = Profile::try_from(Raw {
        team: "local".to_owned(),
        index: "licences".to_owned(),
        coverage_ppm: WHOLE_PPM,
        deadline: Duration::from_secs(60),
        tail: Duration::from_secs(30),
        extra_load_ppm: 50_000,
        concurrency: laburnum_core::profile::MAX_CONCURRENCY,
        priority: 10,
        canary: false,
    })
    .expect("the profile of the measurement is a constant");
    let profiles = BTreeMap::from([(name("cost"), profile)]);
    Document { revision: Revision(1), profiles }
}
