//! Simulated targets.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use laburnum_core::{
    id,
    key::Range,
    name::Name,
    target::{Command, Event, Outcome, Refusal, Reply, Request, Status, Version, Work},
    time::Instant,
    traffic,
    view::{self, State},
};
use uuid::Uuid;

use super::{
    INDEX,
    content::{search, text_of},
    name,
};

pub use super::effect::{Effect, Report};

pub use super::content::{Fault, range_of, result, rows, target_name};

/// The number of slots of a target.
const SLOTS: u32 = 2;

/// The number of connections that a target accepts.
const CONNECTION_LIMIT: u32 = 55;

/// The time that it takes to open a connection.
const OPEN_DELAY: Duration = Duration::from_millis(6);

/// The additional service time of a request while the target is cold.
const COLD_DELAY: Duration = Duration::from_millis(200);

/// The time after which a target that is leaving must get no new work.
const LEAVING_LIMIT: Duration = Duration::from_secs(2);

/// The time that a request and its reply take on the network together.
const ROUND_TRIP: Duration = Duration::from_millis(1);

#[derive(Debug)]
pub struct Target {
    /// The number of its shard.
    pub shard: u64,
    pub address: SocketAddr,
    /// The state that it reports with its replies.
    pub status: Status,
    /// Its state in the list, or none if it is not listed.
    pub listed: Option<State>,
    /// Whether its process runs.
    pub alive: bool,
    /// The service time of a request while the target is warm.
    pub service: Duration,
    /// Whether it sheds all requests.
    pub sheds: bool,
    /// The text of the request that crashes it.
    pub poison: Option<String>,
    /// The fault in its replies.
    pub fault: Option<Fault>,
    /// The connections on which it no longer responds.
    pub silent: BTreeSet<id::Connection>,
    /// Its connections with the VMs that opened them.
    pub connections: BTreeMap<id::Connection, Name>,
    /// The highest number of connections at any time.
    pub peak_connections: usize,
    /// The running attempts with their connections.
    pub running: BTreeMap<id::Attempt, (id::Connection, Request)>,
    /// The highest number of concurrent attempts.
    pub peak_running: usize,
    /// The number of attempts that it received.
    pub attempts: u64,
    /// The time of its last restart.
    pub restarted: Instant,
    /// The time since which it reports, or every VM can read in the list, that it is
    /// leaving.
    pub leaving: Option<Instant>,
    /// The number of further requests for which it is cold.
    pub cold_requests: u32,
}

#[derive(Debug)]
pub struct Targets {
    pub rows: BTreeMap<Name, Target>,
    /// The number of executions of each operation, by detail.
    pub executions: BTreeMap<Arc<str>, u32>,
    /// The number of attempts that reached a slot, by text or detail.
    pub started: BTreeMap<Arc<str>, u32>,
    /// The number of attempts of operations that reached a slot, by token.
    pub tokens: BTreeMap<Uuid, u32>,
    /// The targets that each text crashed.
    pub crashes: BTreeMap<String, BTreeSet<Name>>,
    /// The attempts that arrived after [`LEAVING_LIMIT`], as target and time.
    pub late_work: Vec<(Name, Instant)>,
    /// The targets that had more connections than they accept, with their number.
    pub over_limit: Vec<(Name, usize)>,
    /// The attempts that arrived after their deadline, as target and time.
    pub expired: Vec<(Name, Instant)>,
    /// The requests that were lost in the crash of a target because a request that
    /// had already crashed a target ran beside them.
    pub lost_beside_suspect: Vec<Arc<str>>,
    pub now: Instant,
}

impl Targets {
    /// Creates the targets of all shards, which hold version 1.
    pub fn new(shards: u64, replicas: u64) -> Targets {
        let mut rows = BTreeMap::new();
        for shard in 0..shards {
            for replica in 0..replicas {
                let target = new_target(shard, replica, range_of(shard, shards));
                rows.insert(target_name(shard, replica), target);
            }
        }
        Targets {
            rows,
            executions: BTreeMap::new(),
            started: BTreeMap::new(),
            tokens: BTreeMap::new(),
            crashes: BTreeMap::new(),
            late_work: Vec::new(),
            over_limit: Vec::new(),
            expired: Vec::new(),
            lost_beside_suspect: Vec::new(),
            now: Instant::default(),
        }
    }

    pub fn get(&mut self, shard: u64, replica: u64) -> &mut Target {
        self.rows.get_mut(&target_name(shard, replica)).unwrap()
    }

    /// Returns the listed targets.
    pub fn listed(&self) -> BTreeMap<Name, view::Target> {
        self.rows
            .iter()
            .filter_map(|(target, row)| {
                let entry = view::Target {
                    name: target.clone(),
                    index: name(INDEX),
                    shard: name(&format!("shard-{}", row.shard)),
                    domain: name("domain-1"),
                    address: row.address,
                    slots: SLOTS,
                    connections: CONNECTION_LIMIT,
                    state: row.listed?,
                };
                Some((target.clone(), entry))
            })
            .collect()
    }

    /// Executes a command of a VM.
    pub fn command(&mut self, vm: &Name, command: Command) -> Effect {
        match command {
            Command::Open { connection, address, .. } => self.open(vm, connection, address),
            Command::Send { connection, request } => self.send(connection, request),
            Command::ReadStatus { connection, .. } => self.read_status(connection),
            Command::Cancel { connection, attempt } => self.cancel(connection, attempt),
            Command::Close { connection } => {
                if let Some(target) = self.by_connection(connection) {
                    target.connections.remove(&connection);
                }
                Effect::default()
            }
        }
    }

    /// Returns whether a text crashes any target; such a text may be sent more than
    /// once.
    pub fn is_poison(&self, text: &str) -> bool {
        self.rows.values().any(|row| row.poison.as_deref() == Some(text))
    }

    /// Sets the time and updates since when targets are leaving: since they report
    /// it, or since every VM can read it in the list.
    pub fn tick(&mut self, now: Instant, is_list_readable: bool) {
        self.now = now;
        for target in self.rows.values_mut() {
            let is_listed = is_list_readable && target.listed == Some(State::Leaving);
            let is_leaving = target.status.draining || is_listed;
            target.leaving = is_leaving.then(|| target.leaving.unwrap_or(now));
        }
    }

    /// Closes the connections of a VM whose process ended.
    pub fn close_connections_of(&mut self, vm: &Name) {
        for target in self.rows.values_mut() {
            let lost: Vec<id::Connection> = target
                .connections
                .iter()
                .filter(|(_, other)| *other == vm)
                .map(|(connection, _)| *connection)
                .collect();
            for connection in lost {
                target.connections.remove(&connection);
            }
        }
    }

    fn by_connection(&mut self, connection: id::Connection) -> Option<&mut Target> {
        self.rows.values_mut().find(|target| target.connections.contains_key(&connection))
    }

    fn open(&mut self, vm: &Name, connection: id::Connection, address: SocketAddr) -> Effect {
        let target = self.rows.values_mut().find(|target| target.address == address);
        let Some(target) = target.filter(|target| target.alive) else {
            let detail = "refused".to_owned();
            return Effect::event(ROUND_TRIP, Event::Closed { connection, detail });
        };
        target.connections.insert(connection, vm.clone());
        target.peak_connections = target.peak_connections.max(target.connections.len());
        if target.connections.len() > CONNECTION_LIMIT as usize {
            self.over_limit.push((target_name(target.shard, 0), target.connections.len()));
        }
        let status = target.status.clone();
        Effect::event(OPEN_DELAY, Event::Opened { connection, status })
    }

    fn read_status(&mut self, connection: id::Connection) -> Effect {
        let Some(target) = self.by_connection(connection) else { return Effect::default() };
        if target.silent.contains(&connection) {
            return Effect::default();
        }
        let status = target.status.clone();
        Effect::event(ROUND_TRIP, Event::Status { connection, status })
    }

    fn cancel(&mut self, connection: id::Connection, attempt: id::Attempt) -> Effect {
        if let Some(target) = self.by_connection(connection)
            && !target.silent.contains(&connection)
        {
            target.running.remove(&attempt);
        }
        Effect::default()
    }

    fn send(&mut self, connection: id::Connection, request: Request) -> Effect {
        let attempt = request.attempt;
        let found = self.rows.iter_mut().find(|(_, row)| row.connections.contains_key(&connection));
        let Some((target_name, target)) = found else {
            return Effect::event(ROUND_TRIP, Event::Unsent { connection, attempt });
        };
        if target.silent.contains(&connection) {
            return Effect::default();
        }
        target.attempts += 1;
        if target.leaving.is_some_and(|since| self.now.since(since) > LEAVING_LIMIT) {
            self.late_work.push((target_name.clone(), self.now));
        }
        if request.remaining.is_zero() {
            self.expired.push((target_name.clone(), self.now));
        }
        if let Some(refusal) = target.refusal(&request) {
            let reply = target.reply(attempt, Outcome::Refused(refusal));
            return Effect::event(ROUND_TRIP, Event::Reply { connection, attempt, reply });
        }
        *self.started.entry(text_of(&request.work).clone()).or_default() += 1;
        if let Work::Operate { token, .. } = &request.work {
            *self.tokens.entry(*token).or_default() += 1;
        }
        if let Some(poison) = target.poison.clone().filter(|p| **p == **text_of(&request.work)) {
            let crashed = self.crashes.entry(poison).or_default();
            if !crashed.is_empty() {
                let beside = target.running.values().map(|(_, other)| text_of(&other.work).clone());
                self.lost_beside_suspect.extend(beside);
            }
            crashed.insert(target_name.clone());
            return target.crash();
        }
        target.running.insert(attempt, (connection, request));
        target.peak_running = target.peak_running.max(target.running.len());
        let service_end = (ROUND_TRIP / 2 + target.service_time(), target_name.clone(), attempt);
        Effect { service_ends: vec![service_end], ..Effect::default() }
    }

    /// Ends the service time of an attempt and returns the reply.
    pub fn end_service(&mut self, name: &Name, attempt: id::Attempt) -> Vec<Report> {
        let Some(target) = self.rows.get_mut(name).filter(|target| target.alive) else {
            return Vec::new();
        };
        let Some((connection, request)) = target.running.remove(&attempt) else {
            return Vec::new();
        };
        let outcome = match &request.work {
            Work::Operate { detail, .. } => {
                *self.executions.entry(detail.clone()).or_insert(0) += 1;
                Outcome::Done { result: result(detail).into() }
            }
            Work::Search { version, range, text } => search(target.fault, *version, *range, text),
        };
        let mut reply = target.reply(attempt, outcome);
        if target.fault == Some(Fault::Crossed) {
            reply.attempt = Some(id::Attempt { sequence: attempt.sequence + 1, ..attempt });
        }
        let is_silent = target.silent.contains(&connection);
        let vm = target.connections.get(&connection).filter(|_| !is_silent).cloned();
        let event = traffic::Event::Target(Event::Reply { connection, attempt, reply });
        vm.map(|vm| (ROUND_TRIP / 2, vm, event)).into_iter().collect()
    }
}

impl Target {
    /// Crashes the process; every VM loses its connections.
    pub fn crash(&mut self) -> Effect {
        self.alive = false;
        self.running.clear();
        let lost = std::mem::take(&mut self.connections);
        let reports = lost
            .into_iter()
            .map(|(connection, vm)| {
                let detail = "lost".to_owned();
                let event = traffic::Event::Target(Event::Closed { connection, detail });
                (ROUND_TRIP / 2, vm, event)
            })
            .collect();
        Effect { reports, ..Effect::default() }
    }

    /// Restarts the process.
    pub fn restart(&mut self) {
        self.alive = true;
        self.silent.clear();
        self.status.incarnation += 1;
        self.status.draining = false;
    }

    /// Stops responding on the connections that are open now.
    pub fn go_silent(&mut self) {
        self.silent.extend(self.connections.keys().copied());
    }

    /// Returns the service time of the next request.
    fn service_time(&mut self) -> Duration {
        let is_cold = self.cold_requests > 0;
        self.cold_requests = self.cold_requests.saturating_sub(1);
        if is_cold { self.service + COLD_DELAY } else { self.service }
    }

    fn refusal(&self, request: &Request) -> Option<Refusal> {
        if self.status.draining {
            return Some(Refusal::Draining);
        }
        if request.remaining < ROUND_TRIP / 2 {
            return Some(Refusal::DeadlinePassed);
        }
        if let Work::Search { version, range, .. } = &request.work {
            match self.status.holds.get(version) {
                None => return Some(Refusal::VersionGone),
                Some(held) if !held.covers(*range) => return Some(Refusal::RangeMoved),
                Some(_) => {}
            }
        }
        let is_full = self.running.len() >= SLOTS as usize;
        (self.sheds || is_full).then_some(Refusal::Shed)
    }

    fn reply(&self, attempt: id::Attempt, outcome: Outcome) -> Reply {
        Reply { attempt: Some(attempt), outcome, status: Some(self.status.clone()) }
    }
}

fn new_target(shard: u64, replica: u64, range: Range) -> Target {
    let port = 20_000 + shard * 100 + replica;
    let holds = BTreeMap::from([(Version(1), range)]);
    Target {
        shard,
        address: format!("127.0.0.1:{port}").parse().unwrap(),
        status: Status { incarnation: 1, draining: false, holds },
        listed: Some(State::Live),
        alive: true,
        service: Duration::from_millis(4),
        sheds: false,
        poison: None,
        fault: None,
        silent: BTreeSet::new(),
        connections: BTreeMap::new(),
        peak_connections: 0,
        running: BTreeMap::new(),
        peak_running: 0,
        attempts: 0,
        restarted: Instant::default(),
        leaving: None,
        cold_requests: 0,
    }
}
