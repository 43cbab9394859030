//! A traffic thread as entry: queries with 10 to 1,100 legs.

use std::time::Duration;

use laburnum_core::{
    digest,
    fault::Ran,
    message::{self, Message, Outcome},
    target::{Row, Work},
    traffic::{Call, Engine, Event, Outbox, Search},
    view::Lane,
};

use super::{
    Part, Slope,
    bed::{self, Size},
    meter,
};

/// The legs of a query.
const LEGS: [usize; 3] = [10, 100, 1100];

/// The queries of one tick.
const TICK: [usize; 3] = [1, 4, 16];

/// The VMs of a failure domain, which are the homes that an entry asks.
const HOMES: usize = 137;

/// The legs that are open while memory is measured.
const OPEN_LEGS: usize = 220_000;

/// Measures the part.
pub fn measure() -> Vec<Slope> {
    let mut slopes = Vec::new();
    let mut held = Vec::new();
    for legs in LEGS {
        let queries = OPEN_LEGS / legs;
        let mut engine = engine(legs);
        let (sample, ()) = meter::growth(queries, || open(&mut engine, queries));
        held.push(engine);
        slopes.push(slope("memory of an open query", format!("{legs} legs"), "bytes", sample));
    }
    drop(held);
    for legs in LEGS {
        for queries in TICK {
            slopes.extend(processor(legs, queries));
        }
    }
    slopes.extend(bytes());
    slopes
}

fn slope(figure: &'static str, size: String, unit: &'static str, sample: meter::Sample) -> Slope {
    Slope { part: Part::Entry, figure, size, unit, sample }
}

fn engine(legs: usize) -> Engine {
    bed::entry(Size { vms: HOMES, shards: legs, targets: legs })
}

fn search(call: u64) -> Event {
    let text = format!("band {call}").into();
    let search = Search { profile: bed::name(bed::PROFILE), text, deadline: None };
    Event::Search { call: Call(call), search }
}

/// Opens queries one after the other and leaves them open.
fn open(engine: &mut Engine, queries: usize) {
    for call in 0..queries {
        bed::step(engine, vec![search(call as u64)]);
    }
}

/// Measures the two ticks of `queries` queries that come and are answered
/// together.
fn processor(legs: usize, queries: usize) -> Vec<Slope> {
    let mut engine = engine(legs);
    let mut frames = 0;
    let sent = meter::micros(queries, || {
        let (sending, out) = send(&mut engine, queries);
        frames = out.messages.len();
        answer(&mut engine, &out);
        sending
    });
    let merged = meter::micros(queries, || {
        let (_, out) = send(&mut engine, queries);
        answer(&mut engine, &out)
    });
    let size = format!("{legs} legs, {queries} queries a tick");
    vec![
        slope("plan and send a query", size.clone(), "us", sent),
        slope("merge and answer a query", size.clone(), "us", merged),
        slope("messages of a tick", size, "messages", meter::Sample::exact(frames as f64)),
    ]
}

fn send(engine: &mut Engine, queries: usize) -> (Duration, Outbox) {
    let events = (0..queries as u64).map(search).collect();
    meter::timed(|| bed::step(engine, events))
}

/// Answers every leg with one row and returns the time that the entry takes.
fn answer(engine: &mut Engine, out: &Outbox) -> Duration {
    let mut events = Vec::new();
    for (lane, messages) in &out.messages {
        for message in messages {
            events.extend(replies(lane, message));
        }
    }
    let (time, out) = meter::timed(|| bed::step(engine, events));
    assert!(!out.answers.is_empty(), "the queries were not answered");
    time
}

fn replies(from: &Lane, message: &Message) -> Option<Event> {
    let Message::Legs(legs) = message else { return None };
    let message = Message::Replies(legs.iter().map(reply).collect());
    Some(Event::Message { from: from.clone(), message })
}

/// A reply of one row of 32 bytes.
fn reply(leg: &message::Leg) -> message::Reply {
    let outcome = match &leg.work {
        Work::Search { version, range, .. } => {
            let rows = vec![row(range.first())];
            let digest = digest::rows(&rows);
            Outcome::Rows { version: *version, range: *range, rows, digest }
        }
        Work::Operate { .. } => Outcome::Moved { ran: Ran::No },
    };
    message::Reply { leg: leg.leg, outcome, attempts: 1, backlog: Duration::ZERO }
}

fn row(key: u64) -> Row {
    Row { key, body: bed::BODY.into() }
}

/// Measures the bytes of legs and replies as they are sent, and the time that
/// encoding and decoding take.
fn bytes() -> Vec<Slope> {
    let legs = 1100;
    let mut engine = engine(legs);
    let (_, out) = send(&mut engine, 1);
    let messages: Vec<&Message> = out.messages.values().flatten().collect();
    let answers: Vec<Message> = messages
        .iter()
        .filter_map(|message| match message {
            Message::Legs(legs) => Some(Message::Replies(legs.iter().map(reply).collect())),
            _ => None,
        })
        .collect();
    let answers: Vec<&Message> = answers.iter().collect();
    let wide = wide_reply(100);
    let narrow = wide_reply(0);
    let row = (encoded(&wide).len() - encoded(&narrow).len()) as f64 / 100.0;
    let size = format!("{legs} legs in {} messages", messages.len());
    let mut slopes = codec("a leg", &size, legs, &messages);
    slopes.extend(codec("a reply of one row", &size, legs, &answers));
    let exact = meter::Sample::exact(row);
    slopes.push(slope("bytes of a reply row of 32 bytes", "100 rows".into(), "bytes", exact));
    slopes
}

fn wide_reply(rows: u64) -> Message {
    let rows: Vec<Row> = (0..rows).map(row).collect();
    let digest = digest::rows(&rows);
    let range = laburnum_core::key::Range::ALL;
    let outcome = Outcome::Rows { version: bed::VERSION, range, rows, digest };
    let leg = laburnum_core::id::Source::new(laburnum_core::id::Origin(u64::MAX)).leg();
    Message::Replies(vec![message::Reply { leg, outcome, attempts: 1, backlog: Duration::ZERO }])
}

fn encoded(message: &Message) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("a message can always be encoded")
}

fn codec(what: &str, size: &str, units: usize, messages: &[&Message]) -> Vec<Slope> {
    let all: Vec<Vec<u8>> = messages.iter().map(|message| encoded(message)).collect();
    let total: usize = all.iter().map(Vec::len).sum();
    let encode = meter::micros(units, || {
        meter::timed(|| messages.iter().map(|message| encoded(message).len()).sum::<usize>()).0
    });
    let decode = meter::micros(units, || meter::timed(|| all.iter().for_each(|b| decode(b))).0);
    let size = format!("{what}, {size}");
    vec![
        slope("bytes", size.clone(), "bytes", meter::Sample::exact(total as f64 / units as f64)),
        slope("encode", size.clone(), "us", encode),
        slope("decode", size, "us", decode),
    ]
}

fn decode(bytes: &[u8]) {
    let config = bincode::config::standard();
    let decoded: Result<(Message, usize), _> = bincode::serde::decode_from_slice(bytes, config);
    std::hint::black_box(decoded.is_ok());
}
