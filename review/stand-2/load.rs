//! A steady load, and the check of the retry budget over it.

use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::{Duration, Instant},
};

use crate::stand::{Case, RETRY_SLACK, Record, Relay, attempt_id, exchange, request};

/// The bounds of the rule, as the settings of the relays state them, with `RETRY_SLACK`.
const RETRY_RATIO: f64 = 0.2;
const RETRY_WINDOW_S: f64 = 10.0;

/// When requests were sent, and when attempts arrived at replicas.
#[derive(Default)]
pub struct Trace {
    pub sent: Mutex<Vec<f64>>,
    pub arrivals: Mutex<Vec<(f64, String)>>,
    pub served: AtomicUsize,
    pub failed: AtomicUsize,
    pub stop: AtomicBool,
}

/// Starts callers that send `rate` requests per second to each relay.
pub fn start(
    relays: &[Relay],
    rate: usize,
    trace: &Arc<Trace>,
    record: &Record,
) -> Vec<thread::JoinHandle<()>> {
    let to_each = relays.iter().flat_map(|relay| (0..rate).map(|index| (relay.callers, index)));
    let start = |(to, index)| {
        let (trace, record) = (trace.clone(), record.clone());
        let delay = Duration::from_secs(1) * index as u32 / rate as u32;
        thread::spawn(move || call_each_second(to, delay, &trace, &record))
    };
    to_each.map(start).collect()
}

/// Sends a request each second, the first one after `delay`.
fn call_each_second(to: SocketAddr, delay: Duration, trace: &Trace, record: &Record) {
    thread::sleep(delay);
    let mut next = Instant::now();
    while !trace.stop.load(SeqCst) {
        let id = attempt_id();
        let at = record.now();
        trace.sent.lock().unwrap().push(at);
        let bytes = request("GET", "/timi402/a", &id, 2000, b"");
        let answer = exchange(to, &bytes, Duration::from_secs(3));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("{id} sent at {at:.3} to port {}: {status}", to.port()));
        if status == 200 { &trace.served } else { &trace.failed }.fetch_add(1, SeqCst);
        next += Duration::from_secs(1);
        thread::sleep(next.saturating_duration_since(Instant::now()));
    }
}

/// Compares the arrivals beyond the first of each request with the bound in each window.
pub fn judge(case: &Case, trace: &Trace) -> i32 {
    let (sent, arrivals) = (trace.sent.lock().unwrap(), trace.arrivals.lock().unwrap());
    let mut seen = BTreeSet::new();
    let extra: Vec<f64> =
        arrivals.iter().filter(|(_, id)| !seen.insert(id)).map(|(at, _)| *at).collect();
    let within = |times: &[f64], from: f64| {
        times.iter().filter(|at| **at >= from && **at < from + RETRY_WINDOW_S).count()
    };
    let mut worst = (f64::MIN, String::new());
    let mut from = 2.0;
    while from + RETRY_WINDOW_S < case.record.now() {
        let requests = [from, from - RETRY_WINDOW_S, from - RETRY_WINDOW_S / 2.0]
            .map(|from| within(&sent, from))
            .into_iter()
            .max()
            .unwrap_or(0);
        let bound = RETRY_RATIO * requests as f64 + RETRY_SLACK.load(SeqCst) as f64;
        let found = within(&extra, from);
        if found as f64 - bound > worst.0 {
            let text = format!(
                "{found} arrivals beyond the first in the {RETRY_WINDOW_S} s from {from:.1}, \
                 allowed are {bound:.1} for {requests} requests"
            );
            worst = (found as f64 - bound, text);
        }
        from += 0.25;
    }
    let (served, failed) = (trace.served.load(SeqCst), trace.failed.load(SeqCst));
    case.record.line(format!("{} arrivals, {served} served, {failed} not", arrivals.len()));
    case.end(worst.0 > 0.0, &worst.1)
}
