//! A replica that turns requests away and says for how long it wants none.

#[path = "../stand-2/stand.rs"]
mod stand;

use std::{
    net::SocketAddr,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use stand::*;

/// The time that the replica asks for, in seconds.
const PAUSE_S: f64 = 75.0;
/// The time after the answer from which requests count.
const GRACE_S: f64 = 0.5;
/// The requests that may reach the replica in that time.
const MAX_ARRIVALS: usize = 2;
const REPLICAS: usize = 2;
const CALLERS: usize = 8;
const INTERVAL: Duration = Duration::from_millis(100);

fn main() {
    exit(run());
}

fn run() -> i32 {
    let case = Case::start("review/9");
    let store = Store::start();
    let arrivals: Arc<Mutex<Vec<f64>>> = Arc::default();
    let is_busy = Arc::new(AtomicBool::new(false));
    let refused_at: Arc<Mutex<Option<f64>>> = Arc::default();
    let handler = handler(&arrivals, &is_busy, &refused_at);
    for index in 0..REPLICAS {
        Replica::start(&format!("i-{index}"), "svc1", &store, &case.record, handler.clone());
    }
    store.put("op/config", &configuration(5, &[route()], &[("svc1", 55)]));
    let mut relay = Relay::new("front-a-1", 0.17, &store, &case.temporary);
    relay.start();
    relay.wait_ready();
    thread::sleep(Duration::from_secs(3));
    let callers: Vec<_> = (0..CALLERS)
        .map(|_| {
            let (to, record) = (relay.callers, case.record.clone());
            thread::spawn(move || call_until(to, PAUSE_S + 12.0, &record))
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    is_busy.store(case.with_trouble, SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    judge(&case, *refused_at.lock().unwrap(), &arrivals.lock().unwrap())
}

fn route() -> String {
    "{\"name\":\"r-1\",\"host\":\"pupu76.example\",\"prefix\":\"/timi402/\",\
     \"kind\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":400,\"priority\":2,\
     \"backend\":\"svc1\",\"attempts\":2}"
        .to_owned()
}

/// Sends ten requests a second until `end`.
fn call_until(to: SocketAddr, end: f64, record: &Record) {
    while record.now() < end {
        let id = attempt_id();
        let bytes = request("GET", "/timi402/a", &id, 2000, b"");
        let answer = exchange(to, &bytes, Duration::from_secs(3));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("{id} sent: {status}"));
        thread::sleep(INTERVAL);
    }
}

/// Sound replicas, of which `i-0` turns one request away.
fn handler(
    arrivals: &Arc<Mutex<Vec<f64>>>,
    is_busy: &Arc<AtomicBool>,
    refused_at: &Arc<Mutex<Option<f64>>>,
) -> Handler {
    let (arrivals, is_busy) = (arrivals.clone(), is_busy.clone());
    let refused_at = refused_at.clone();
    Arc::new(move |replica, request, out| {
        if replica.id == "i-0" {
            let attempt = request.header("attempt-id").unwrap_or("");
            replica.record.line(format!("{attempt} reaches i-0"));
            arrivals.lock().unwrap().push(replica.record.now());
            if is_busy.swap(false, SeqCst) {
                refused_at.lock().unwrap().get_or_insert(replica.record.now());
                replica.record.line(format!("i-0 answers {attempt} with 503, {PAUSE_S} s"));
                return replica.reject(request, out, Some(&format!("{PAUSE_S}")));
            }
        }
        replica.run_request(request, out, Duration::from_millis(20), b"0123456789abcdef")
    })
}

/// Counts the requests that reached the replica in the time for which it wants none.
fn judge(case: &Case, refused_at: Option<f64>, arrivals: &[f64]) -> i32 {
    let Some(refused_at) = refused_at else {
        return case.end(false, &format!("i-0 turned nothing away, {} arrivals", arrivals.len()));
    };
    let span = refused_at + GRACE_S..refused_at + PAUSE_S;
    let found: Vec<f64> = arrivals.iter().copied().filter(|at| span.contains(at)).collect();
    let first = found.first().map_or(0.0, |at| at - refused_at);
    let result = format!(
        "{} requests reached i-0 within the {PAUSE_S} s for which it wants none ({MAX_ARRIVALS} \
         may), the first of them after {first:.1} s",
        found.len()
    );
    case.end(found.len() > MAX_ARRIVALS, &result)
}
