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
    fixture::{self, Size},
    meter,
};

/// The numbers of legs of a query.
const LEGS_PER_QUERY: [usize; 3] = [10, 100, 1100];

/// The numbers of queries in one tick.
const QUERIES_PER_TICK: [usize; 3] = [1, 4, 16];

/// The number of VMs in a failure domain, which are the homes that an entry sends
/// legs to.
const HOME_VMS: usize = 137;

/// The number of legs that are open while memory is measured.
const OPEN_LEGS: usize = 220_000;

/// Measures a traffic thread as entry.
pub fn measure() -> Vec<Slope> {
    let mut slopes = Vec::new();
    // The engines are kept, so that a later one reuses no memory of an earlier one.
    let mut engines = Vec::new();
    for legs in LEGS_PER_QUERY {
        let queries = OPEN_LEGS / legs;
        let mut engine = engine(legs);
        let (sample, ()) = meter::memory_growth(queries, || open_queries(&mut engine, queries));
        engines.push(engine);
        slopes.push(slope("memory of an open query", format!("{legs} legs"), "bytes", sample));
    }
    drop(engines);
    for legs in LEGS_PER_QUERY {
        for queries in QUERIES_PER_TICK {
            slopes.extend(measure_ticks(legs, queries));
        }
    }
    slopes.extend(measure_encoding());
    slopes
}

fn slope(figure: &'static str, size: String, unit: &'static str, sample: meter::Sample) -> Slope {
    Slope { part: Part::Entry, figure, size, unit, sample }
}

fn engine(legs: usize) -> Engine {
    fixture::entry(Size { vms: HOME_VMS, shards: legs, targets: legs })
}

fn search_event(call: u64) -> Event {
    let text = format!("band {call}").into();
    let search = Search { profile: fixture::name(fixture::PROFILE_NAME), text, deadline: None };
    Event::Search { call: Call(call), search }
}

/// Starts queries one after the other, without any reply.
fn open_queries(engine: &mut Engine, queries: usize) {
    for call in 0..queries {
        fixture::step(engine, vec![search_event(call as u64)]);
    }
}

/// Measures `queries` queries that arrive in one tick and are answered in another.
fn measure_ticks(legs: usize, queries: usize) -> Vec<Slope> {
    let mut engine = engine(legs);
    let mut frames = 0;
    let sent = meter::micros_per_unit(queries, || {
        let (time, out) = send(&mut engine, queries);
        frames = out.messages.len();
        answer(&mut engine, &out);
        time
    });
    let merged = meter::micros_per_unit(queries, || {
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
    let events = (0..queries as u64).map(search_event).collect();
    meter::timed(|| fixture::step(engine, events))
}

/// Answers every leg with one row and returns the CPU time of the entry.
fn answer(engine: &mut Engine, out: &Outbox) -> Duration {
    let mut events = Vec::new();
    for (lane, messages) in &out.messages {
        for message in messages {
            events.extend(replies(lane, message));
        }
    }
    let (time, out) = meter::timed(|| fixture::step(engine, events));
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
    Row { key, body: fixture::ROW_BODY.into() }
}

/// Measures the encoded size of legs and replies and the CPU time of encoding and
/// decoding them.
fn measure_encoding() -> Vec<Slope> {
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
    let wide = reply_message(100);
    let narrow = reply_message(0);
    let row_bytes = (encode(&wide).len() - encode(&narrow).len()) as f64 / 100.0;
    let size = format!("{legs} legs in {} messages", messages.len());
    let mut slopes = measure_codec("a leg", &size, legs, &messages);
    slopes.extend(measure_codec("a reply of one row", &size, legs, &answers));
    let exact = meter::Sample::exact(row_bytes);
    slopes.push(slope("bytes of a reply row of 32 bytes", "100 rows".into(), "bytes", exact));
    slopes
}

/// A message with one reply of `rows` rows.
fn reply_message(rows: u64) -> Message {
    let rows: Vec<Row> = (0..rows).map(row).collect();
    let digest = digest::rows(&rows);
    let range = laburnum_core::key::Range::ALL;
    let outcome = Outcome::Rows { version: fixture::VERSION, range, rows, digest };
    let leg = laburnum_core::id::Source::new(laburnum_core::id::Origin(u64::MAX)).leg();
    Message::Replies(vec![message::Reply { leg, outcome, attempts: 1, backlog: Duration::ZERO }])
}

fn encode(message: &Message) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("a message can always be encoded")
}

fn measure_codec(what: &str, size: &str, units: usize, messages: &[&Message]) -> Vec<Slope> {
    let frames: Vec<Vec<u8>> = messages.iter().map(|message| encode(message)).collect();
    let total: usize = frames.iter().map(Vec::len).sum();
    let encoding = meter::micros_per_unit(units, || {
        meter::timed(|| messages.iter().map(|message| encode(message).len()).sum::<usize>()).0
    });
    let decoding =
        meter::micros_per_unit(units, || meter::timed(|| frames.iter().for_each(|b| decode(b))).0);
    let size = format!("{what}, {size}");
    vec![
        slope("bytes", size.clone(), "bytes", meter::Sample::exact(total as f64 / units as f64)),
        slope("encode", size.clone(), "us", encoding),
        slope("decode", size, "us", decoding),
    ]
}

fn decode(bytes: &[u8]) {
    let config = bincode::config::standard();
    let decoded: Result<(Message, usize), _> = bincode::serde::decode_from_slice(bytes, config);
    std::hint::black_box(decoded.is_ok());
}
