//! A traffic thread as home: legs that are accepted, dispatched and answered.

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{
    digest::{self, Fingerprint},
    id,
    message::{self, Message},
    target::{self, Command, Outcome, Reply, Request, Row, Status, Work},
    time::Instant,
    traffic::{Engine, Event, Outbox},
};

use super::{
    Part, Slope,
    fixture::{self, Size},
    meter::{self, Sample},
};

/// The numbers of shards of a home.
const SHARD_COUNTS: [usize; 3] = [8, 64, 600];

/// The numbers of targets of a shard: from those in one failure domain to all of the
/// planned size.
const REPLICA_COUNTS: [usize; 3] = [2, 16, 68];

/// The numbers of legs in one message.
const LEGS_PER_MESSAGE: [usize; 3] = [1, 8, 64];

/// The numbers of legs that wait for one shard.
const WAITING_LEGS: [usize; 3] = [10, 100, 1000];

/// The service time of a target.
const SERVICE_TIME: Duration = Duration::from_millis(4);

/// The number of legs that wait while memory is measured.
const MEMORY_TEST_LEGS: usize = 100_000;

/// Measures a traffic thread as home.
pub fn measure() -> Vec<Slope> {
    let mut slopes = measure_memory();
    for legs in LEGS_PER_MESSAGE {
        let size = format!("{legs} legs a tick, 64 shards of 4 targets");
        slopes.extend(measure_ticks(Home::new(64, 4), legs, size));
    }
    for shards in SHARD_COUNTS {
        let size = format!("8 legs a tick, {shards} shards of 4 targets");
        slopes.extend(measure_ticks(Home::new(shards, 4), 8, size));
    }
    for replicas in REPLICA_COUNTS {
        let size = format!("8 legs a tick, 64 shards of {replicas} targets");
        slopes.extend(measure_ticks(Home::new(64, replicas), 8, size));
    }
    slopes.extend(WAITING_LEGS.map(measure_queue));
    slopes
}

fn slope(figure: &'static str, size: String, unit: &'static str, sample: Sample) -> Slope {
    Slope { part: Part::Home, figure, size, unit, sample }
}

/// A home of all shards, with a connection to each target.
struct Home {
    engine: Engine,
    shards: usize,
    ids: id::Source,
    now: Instant,
}

impl Home {
    fn new(shards: usize, replicas: usize) -> Home {
        let own = fixture::vm_name(0);
        let mut engine = fixture::engine(&own);
        let size = Size { vms: 1, shards, targets: shards * replicas };
        let out = fixture::step(&mut engine, vec![fixture::view_event(fixture::view(&own, size))]);
        let opened = out.commands.iter().filter_map(|command| opened_event(command, shards));
        fixture::step(&mut engine, opened.collect());
        Home { engine, shards, ids: id::Source::new(id::Origin(u64::MAX)), now: fixture::FIXED_NOW }
    }

    /// Hands over a message of `count` legs for the first `shards` shards in turn.
    /// Returns the CPU time and the output.
    fn accept(&mut self, count: usize, shards: usize) -> (Duration, Outbox) {
        let legs = (0..count).map(|number| self.leg(number % shards)).collect();
        let event = Event::Message { from: fixture::lane(1), message: Message::Legs(legs) };
        meter::timed(|| fixture::step_at(&mut self.engine, self.now, vec![event]))
    }

    fn leg(&mut self, shard: usize) -> message::Leg {
        let range = fixture::range(shard, self.shards);
        let query = self.ids.query();
        // Identical searches would share an attempt.
        let text = format!("band {}", query.sequence).into();
        message::Leg {
            leg: self.ids.leg(),
            query,
            index: fixture::name(fixture::INDEX_NAME),
            shard: fixture::shard_name(shard),
            profile: fixture::name(fixture::PROFILE_NAME),
            work: Work::Search { version: fixture::VERSION, range, text },
            fingerprint: Fingerprint(query.sequence),
            remaining: Duration::from_secs(3600),
            trial: false,
        }
    }

    /// Answers every attempt after the service time. Returns the CPU time and the
    /// output.
    fn answer(&mut self, out: Outbox) -> (Duration, Outbox) {
        self.now = self.now + SERVICE_TIME;
        let events: Vec<Event> = out.commands.into_iter().filter_map(reply_event).collect();
        meter::timed(|| fixture::step_at(&mut self.engine, self.now, events))
    }
}

/// The event that a connection has opened; none for other commands. Targets are
/// assigned to the shards in turn, so that the shard follows from the address.
fn opened_event(command: &Command, shards: usize) -> Option<Event> {
    let &Command::Open { connection, address, .. } = command else { return None };
    let std::net::IpAddr::V4(ip) = address.ip() else { return None };
    let number = (u32::from(ip) & 0x00ff_ffff) as usize;
    let status = status(fixture::range(number % shards, shards));
    Some(Event::Target(target::Event::Opened { connection, status }))
}

fn status(range: laburnum_core::key::Range) -> Status {
    Status { incarnation: 1, draining: false, holds: BTreeMap::from([(fixture::VERSION, range)]) }
}

/// The event of a target's reply with one row; none if the command is no request.
fn reply_event(command: Command) -> Option<Event> {
    let Command::Send { connection, request } = command else { return None };
    let Request { attempt, work, .. } = request;
    let Work::Search { version, range, .. } = work else { return None };
    let rows = vec![Row { key: range.first(), body: fixture::ROW_BODY.into() }];
    let digest = digest::rows(&rows);
    let outcome = Outcome::Rows { version, range, rows, count: 1, digest };
    let reply = Reply { attempt: Some(attempt), outcome, status: Some(status(range)) };
    Some(Event::Target(target::Event::Reply { connection, attempt, reply }))
}

/// Measures the two ticks of legs that find a free slot: one accepts and dispatches,
/// the other collects and replies.
fn measure_ticks(mut home: Home, legs: usize, size: String) -> Vec<Slope> {
    let shards = home.shards;
    let accepting = meter::micros_per_unit(legs, || {
        let (time, out) = home.accept(legs, shards);
        home.answer(out);
        time
    });
    let answering = meter::micros_per_unit(legs, || {
        let (_, out) = home.accept(legs, shards);
        let (time, out) = home.answer(out);
        assert!(!out.messages.is_empty(), "the legs were not answered");
        time
    });
    vec![
        slope("accept and dispatch a leg", size.clone(), "us", accepting),
        slope("collect and reply a leg", size, "us", answering),
    ]
}

/// Measures a reply that frees a slot for one of many waiting legs.
fn measure_queue(waiting: usize) -> Slope {
    let mut home = Home::new(1, 4);
    let (_, mut out) = home.accept(waiting + 8, 1);
    let rounds = 20;
    let sample = meter::micros_per_unit(rounds, || {
        let mut total = Duration::ZERO;
        for _ in 0..rounds {
            let served = out.commands.len().max(1);
            let (time, next) = home.answer(std::mem::take(&mut out));
            total += time / u32::try_from(served).unwrap_or(1);
            let (_, more) = home.accept(served, 1);
            out = next;
            out.commands.extend(more.commands);
        }
        total
    });
    slope("answer a leg and start the next", format!("{waiting} legs wait"), "us", sample)
}

/// Measures the memory of targets and of waiting legs.
fn measure_memory() -> Vec<Slope> {
    let mut slopes = Vec::new();
    // The homes are kept, so that a later one reuses no memory of an earlier one.
    let mut homes = Vec::new();
    for targets in [1000, 10_000, 75_000] {
        let shards = targets / 4;
        let (sample, home) = meter::memory_growth(targets, || Home::new(shards, 4));
        let size = format!("{targets} targets, 4 for each shard");
        slopes.push(slope(
            "memory of a target with its view row and connection",
            size,
            "bytes",
            sample,
        ));
        homes.push(home);
    }
    let mut home = Home::new(64, 2);
    let (sample, _) = meter::memory_growth(MEMORY_TEST_LEGS, || {
        for _ in 0..MEMORY_TEST_LEGS / 1000 {
            home.accept(1000, 64);
        }
    });
    slopes.push(slope(
        "memory of a waiting leg",
        format!("{MEMORY_TEST_LEGS} legs"),
        "bytes",
        sample,
    ));
    homes.push(home);
    slopes
}
