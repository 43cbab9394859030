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
    bed::{self, Size},
    meter::{self, Sample},
};

/// The shards of a home.
const SHARDS: [usize; 3] = [8, 64, 600];

/// The targets of a shard: those of one failure domain to all of the plan.
const REPLICAS: [usize; 3] = [2, 16, 68];

/// The legs of one message.
const BATCH: [usize; 3] = [1, 8, 64];

/// The legs that wait for one shard.
const WAITING: [usize; 3] = [10, 100, 1000];

/// The time that a target takes.
const SERVICE: Duration = Duration::from_millis(4);

/// The legs that wait while memory is measured.
const MEMORY_LEGS: usize = 100_000;

/// Measures the part.
pub fn measure() -> Vec<Slope> {
    let mut slopes = memory();
    for legs in BATCH {
        let name = format!("{legs} legs a tick, 64 shards of 4 targets");
        slopes.extend(processor(Home::new(64, 4), legs, name));
    }
    for shards in SHARDS {
        let name = format!("8 legs a tick, {shards} shards of 4 targets");
        slopes.extend(processor(Home::new(shards, 4), 8, name));
    }
    for replicas in REPLICAS {
        let name = format!("8 legs a tick, 64 shards of {replicas} targets");
        slopes.extend(processor(Home::new(64, replicas), 8, name));
    }
    slopes.extend(WAITING.map(queued));
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
        let own = bed::vm_name(0);
        let mut engine = bed::engine(&own);
        let size = Size { vms: 1, shards, targets: shards * replicas };
        let out = bed::step(&mut engine, vec![bed::viewed(bed::view(&own, size))]);
        let opened = out.commands.iter().filter_map(|command| opened(command, shards));
        bed::step(&mut engine, opened.collect());
        Home { engine, shards, ids: id::Source::new(id::Origin(u64::MAX)), now: bed::NOW }
    }

    /// Takes a message of `count` legs, each for the next shard.
    fn take(&mut self, count: usize, shards: usize) -> (Duration, Outbox) {
        let legs = (0..count).map(|number| self.leg(number % shards)).collect();
        let event = Event::Message { from: bed::lane(1), message: Message::Legs(legs) };
        meter::timed(|| bed::step_at(&mut self.engine, self.now, vec![event]))
    }

    fn leg(&mut self, shard: usize) -> message::Leg {
        let range = bed::range(shard, self.shards);
        let query = self.ids.query();
        // Equal searches would share an attempt.
        let text = format!("band {}", query.sequence).into();
        message::Leg {
            leg: self.ids.leg(),
            query,
            index: bed::name(bed::INDEX),
            shard: bed::shard_name(shard),
            profile: bed::name(bed::PROFILE),
            work: Work::Search { version: bed::VERSION, range, text },
            fingerprint: Fingerprint(query.sequence),
            remaining: Duration::from_secs(3600),
            trial: false,
        }
    }

    /// Answers every attempt after the time that a target takes.
    fn answer(&mut self, out: Outbox) -> (Duration, Outbox) {
        self.now = self.now + SERVICE;
        let events: Vec<Event> = out.commands.into_iter().filter_map(served).collect();
        meter::timed(|| bed::step_at(&mut self.engine, self.now, events))
    }
}

/// Opens the connection. Targets are numbered through the shards, so that the
/// address tells the shard.
fn opened(command: &Command, shards: usize) -> Option<Event> {
    let &Command::Open { connection, address, .. } = command else { return None };
    let std::net::IpAddr::V4(ip) = address.ip() else { return None };
    let number = (u32::from(ip) & 0x00ff_ffff) as usize;
    let status = status(bed::range(number % shards, shards));
    Some(Event::Target(target::Event::Opened { connection, status }))
}

fn status(range: laburnum_core::key::Range) -> Status {
    Status { incarnation: 1, draining: false, holds: BTreeMap::from([(bed::VERSION, range)]) }
}

fn served(command: Command) -> Option<Event> {
    let Command::Send { connection, request } = command else { return None };
    let Request { attempt, work, .. } = request;
    let Work::Search { version, range, .. } = work else { return None };
    let rows = vec![Row { key: range.first(), body: bed::BODY.into() }];
    let digest = digest::rows(&rows);
    let outcome = Outcome::Rows { version, range, rows, count: 1, digest };
    let reply = Reply { attempt: Some(attempt), outcome, status: Some(status(range)) };
    Some(Event::Target(target::Event::Reply { connection, attempt, reply }))
}

/// Measures the two ticks of legs that find a free slot: accept and dispatch,
/// collect and reply.
fn processor(mut home: Home, legs: usize, size: String) -> Vec<Slope> {
    let shards = home.shards;
    let taken = meter::micros(legs, || {
        let (time, out) = home.take(legs, shards);
        home.answer(out);
        time
    });
    let answered = meter::micros(legs, || {
        let (_, out) = home.take(legs, shards);
        let (time, out) = home.answer(out);
        assert!(!out.messages.is_empty(), "the legs were not answered");
        time
    });
    vec![
        slope("accept and dispatch a leg", size.clone(), "us", taken),
        slope("collect and reply a leg", size, "us", answered),
    ]
}

/// Measures an answer that frees a slot for one of many legs that wait.
fn queued(waiting: usize) -> Slope {
    let mut home = Home::new(1, 4);
    let (_, mut out) = home.take(waiting + 8, 1);
    let rounds = 20;
    let sample = meter::micros(rounds, || {
        let mut total = Duration::ZERO;
        for _ in 0..rounds {
            let served = out.commands.len().max(1);
            let (time, next) = home.answer(std::mem::take(&mut out));
            total += time / u32::try_from(served).unwrap_or(1);
            let (_, more) = home.take(served, 1);
            out = next;
            out.commands.extend(more.commands);
        }
        total
    });
    slope("answer a leg and start the next", format!("{waiting} legs wait"), "us", sample)
}

/// Measures the memory of rows.
fn memory() -> Vec<Slope> {
    let mut slopes = Vec::new();
    let mut held = Vec::new();
    for targets in [1000, 10_000, 75_000] {
        let shards = targets / 4;
        let (sample, home) = meter::growth(targets, || Home::new(shards, 4));
        let size = format!("{targets} targets, 4 for each shard");
        slopes.push(slope(
            "memory of a target with its view row and connection",
            size,
            "bytes",
            sample,
        ));
        held.push(home);
    }
    let mut home = Home::new(64, 2);
    let (sample, _) = meter::growth(MEMORY_LEGS, || {
        for _ in 0..MEMORY_LEGS / 1000 {
            home.take(1000, 64);
        }
    });
    slopes.push(slope("memory of a waiting leg", format!("{MEMORY_LEGS} legs"), "bytes", sample));
    held.push(home);
    slopes
}
