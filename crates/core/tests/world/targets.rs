//! Fake targets behind the border.

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

/// The slots of a target.
const SLOTS: u32 = 2;

/// The connections that a target takes.
const CONNECTIONS: u32 = 55;

/// The time that a new connection costs.
const OPEN: Duration = Duration::from_millis(6);

/// The further time that a request takes while the target is cold.
const COLD: Duration = Duration::from_millis(200);

/// The time after which a target that is leaving gets no new work.
const LEAVING: Duration = Duration::from_secs(2);

/// The time that a request and its reply take on the way.
const HOP: Duration = Duration::from_millis(1);

/// A target.
#[derive(Debug)]
pub struct Target {
    /// The number of its shard.
    pub shard: u64,
    /// Where it listens.
    pub address: SocketAddr,
    /// What it says of itself.
    pub status: Status,
    /// What the list says of it, or none if it is not listed.
    pub listed: Option<State>,
    /// Whether it runs.
    pub alive: bool,
    /// The time that a request takes in a slot.
    pub service: Duration,
    /// Whether it sheds everything.
    pub sheds: bool,
    /// A text that crashes it.
    pub poison: Option<String>,
    /// What is wrong with its replies.
    pub fault: Option<Fault>,
    /// Connections on which it says nothing any more.
    pub silent: BTreeSet<id::Connection>,
    /// Its connections with the VMs they lead to.
    pub connections: BTreeMap<id::Connection, Name>,
    /// The most connections that it ever had.
    pub peak_connections: usize,
    /// Attempts that run, with their connections.
    pub running: BTreeMap<id::Attempt, (id::Connection, Request)>,
    /// The most attempts that ever ran at a time.
    pub peak_running: usize,
    /// Attempts that it got.
    pub attempts: u64,
    /// When it was started again.
    pub restarted: Instant,
    /// Since when it says, or its list says, that it is leaving.
    pub leaving: Option<Instant>,
    /// The requests that still find it cold.
    pub cold: u32,
}

/// All targets.
#[derive(Debug)]
pub struct Targets {
    /// The targets by name.
    pub rows: BTreeMap<Name, Target>,
    /// The executions of operations by detail.
    pub executions: BTreeMap<Arc<str>, u32>,
    /// The attempts that reached a slot, by text or detail.
    pub started: BTreeMap<Arc<str>, u32>,
    /// The attempts of operations that reached a slot, by token.
    pub tokens: BTreeMap<Uuid, u32>,
    /// The targets that each text has crashed.
    pub crashes: BTreeMap<String, BTreeSet<Name>>,
    /// The attempts that came too long after their target was known as leaving.
    pub late_work: Vec<(Name, Instant)>,
    /// The targets that had more connections than they take.
    pub over_limit: Vec<(Name, usize)>,
    /// The attempts that came after their deadline.
    pub expired: Vec<(Name, Instant)>,
    /// The requests that were lost with a target because one that was known to
    /// crash targets ran beside them.
    pub lost_beside_suspect: Vec<Arc<str>>,
    /// The time.
    pub now: Instant,
}

impl Targets {
    /// Makes the targets of all shards.
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

    /// A target.
    pub fn get(&mut self, shard: u64, replica: u64) -> &mut Target {
        self.rows.get_mut(&target_name(shard, replica)).unwrap()
    }

    /// What the list says.
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
                    connections: CONNECTIONS,
                    state: row.listed?,
                };
                Some((target.clone(), entry))
            })
            .collect()
    }

    /// Carries out a command of a VM.
    pub fn command(&mut self, vm: &Name, command: Command) -> Effect {
        match command {
            Command::Open { connection, address, .. } => self.open(vm, connection, address),
            Command::Send { connection, request } => self.send(connection, request),
            Command::ReadStatus { connection, .. } => self.ask(connection),
            Command::Cancel { connection, attempt } => self.cancel(connection, attempt),
            Command::Close { connection } => {
                if let Some(target) = self.by_connection(connection) {
                    target.connections.remove(&connection);
                }
                Effect::default()
            }
        }
    }

    /// Whether a text crashes any target, so that it may be sent more than once.
    pub fn is_poison(&self, text: &str) -> bool {
        self.rows.values().any(|row| row.poison.as_deref() == Some(text))
    }

    /// Takes the time and notes since when targets are leaving: since they say
    /// so, or since every VM can learn it from the list.
    pub fn tick(&mut self, now: Instant, is_list_read: bool) {
        self.now = now;
        for target in self.rows.values_mut() {
            let is_listed = is_list_read && target.listed == Some(State::Leaving);
            let is_leaving = target.status.draining || is_listed;
            target.leaving = is_leaving.then(|| target.leaving.unwrap_or(now));
        }
    }

    /// Ends the connections of a VM whose process ended.
    pub fn forget(&mut self, vm: &Name) {
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
            return Effect::event(HOP, Event::Closed { connection, detail });
        };
        target.connections.insert(connection, vm.clone());
        target.peak_connections = target.peak_connections.max(target.connections.len());
        if target.connections.len() > CONNECTIONS as usize {
            self.over_limit.push((target_name(target.shard, 0), target.connections.len()));
        }
        let status = target.status.clone();
        Effect::event(OPEN, Event::Opened { connection, status })
    }

    fn ask(&mut self, connection: id::Connection) -> Effect {
        let Some(target) = self.by_connection(connection) else { return Effect::default() };
        if target.silent.contains(&connection) {
            return Effect::default();
        }
        let status = target.status.clone();
        Effect::event(HOP, Event::Status { connection, status })
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
            return Effect::event(HOP, Event::Unsent { connection, attempt });
        };
        if target.silent.contains(&connection) {
            return Effect::default();
        }
        target.attempts += 1;
        if target.leaving.is_some_and(|since| self.now.since(since) > LEAVING) {
            self.late_work.push((target_name.clone(), self.now));
        }
        if request.remaining.is_zero() {
            self.expired.push((target_name.clone(), self.now));
        }
        if let Some(refusal) = target.refuses(&request) {
            let reply = target.reply(attempt, Outcome::Refused(refusal));
            return Effect::event(HOP, Event::Reply { connection, attempt, reply });
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
        let served = (HOP / 2 + target.service_time(), target_name.clone(), attempt);
        Effect { serves: vec![served], ..Effect::default() }
    }

    /// Ends an attempt's service time and replies to the VM that waits.
    pub fn served(&mut self, name: &Name, attempt: id::Attempt) -> Vec<Report> {
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
        vm.map(|vm| (HOP / 2, vm, event)).into_iter().collect()
    }
}

impl Target {
    /// Ends the process; every VM loses its connections.
    pub fn crash(&mut self) -> Effect {
        self.alive = false;
        self.running.clear();
        let lost = std::mem::take(&mut self.connections);
        let others = lost
            .into_iter()
            .map(|(connection, vm)| {
                let detail = "lost".to_owned();
                let event = traffic::Event::Target(Event::Closed { connection, detail });
                (HOP / 2, vm, event)
            })
            .collect();
        Effect { others, ..Effect::default() }
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.alive = true;
        self.silent.clear();
        self.status.incarnation += 1;
        self.status.draining = false;
    }

    /// Says nothing more on the connections that are open now.
    pub fn go_silent(&mut self) {
        self.silent.extend(self.connections.keys().copied());
    }

    /// The time that the next request takes in a slot.
    fn service_time(&mut self) -> Duration {
        let is_cold = self.cold > 0;
        self.cold = self.cold.saturating_sub(1);
        if is_cold { self.service + COLD } else { self.service }
    }

    fn refuses(&self, request: &Request) -> Option<Refusal> {
        if self.status.draining {
            return Some(Refusal::Draining);
        }
        if request.remaining < HOP / 2 {
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
        cold: 0,
    }
}
