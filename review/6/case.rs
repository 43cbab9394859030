//! A request that crashes replicas, from a caller that leaves before its answer.

#[path = "../stand-2/stand.rs"]
mod stand;

use std::{
    io::Write,
    net::TcpStream,
    process::exit,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst},
    },
    thread,
    time::Duration,
};

use stand::*;

/// `stable_ms` of the sheets.
const STABLE_S: f64 = 4.0;
/// The retries that may reach replicas once the request has crashed three.
const MAX_RETRIES: usize = 3;
const REPLICAS: usize = 8;
/// The time from the begin of the request until the replica that runs it crashes.
const CRASH_DELAY: Duration = Duration::from_millis(60);
/// "The replica is back after some seconds."
const RESTART_DELAY: Duration = Duration::from_millis(2500);
/// When the caller leaves; `give_up` allows up to half of the route's goal, 200 ms.
const LEAVE_DELAY: Duration = Duration::from_millis(30);
const POISON_COUNT: usize = 20;
const POISON_INTERVAL: Duration = Duration::from_millis(1000);

/// An arrival of the request at a replica.
struct Run {
    at: f64,
    attempt: String,
}

fn main() {
    exit(run());
}

fn run() -> i32 {
    let case = Case::start("review/6");
    let store = Store::start();
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let crashes: Arc<Mutex<Vec<f64>>> = Arc::default();
    let handler = handler(&runs, &crashes);
    for index in 0..REPLICAS {
        Replica::start(&format!("i-{index}"), "svc1", &store, &case.record, handler.clone());
    }
    store.put("op/config", &configuration(5, &[route()], &[("svc1", 232)]));
    let mut relays: Vec<Relay> = (1..=2)
        .map(|index| Relay::new(&format!("front-a-{index}"), 0.17, &store, &case.temporary))
        .collect();
    relays.iter_mut().for_each(Relay::start);
    relays.iter().for_each(Relay::wait_ready);
    thread::sleep(Duration::from_secs(3));

    let (stop, served, failed) = (Arc::new(AtomicBool::new(false)), counter(), counter());
    let callers: Vec<_> = (0..4)
        .map(|index| {
            let to = relays[index % 2].callers;
            let (stop, served, failed) = (stop.clone(), served.clone(), failed.clone());
            let record = case.record.clone();
            thread::spawn(move || call_until(to, &record, &stop, &served, &failed))
        })
        .collect();
    let mut sent = Vec::new();
    for index in 0..POISON_COUNT {
        let id = attempt_id();
        sent.push((id.clone(), case.record.now()));
        poison(&case, &relays[index % 2], &id);
        thread::sleep(POISON_INTERVAL);
    }
    thread::sleep(Duration::from_secs(1));
    stop.store(true, SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    let (served, failed) = (served.load(SeqCst), failed.load(SeqCst));
    case.record.line(format!("other callers: {served} served, {failed} not"));
    judge(&case, &sent, &runs.lock().unwrap(), &crashes.lock().unwrap())
}

fn counter() -> Arc<AtomicUsize> {
    Arc::default()
}

fn route() -> String {
    "{\"name\":\"r-1\",\"host\":\"pupu76.example\",\"prefix\":\"/timi402/\",\
     \"kind\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":400,\"priority\":2,\
     \"backend\":\"svc1\",\"attempts\":2}"
        .to_owned()
}

/// A replica that crashes soon after it began to run the request.
fn handler(runs: &Arc<Mutex<Vec<Run>>>, crashes: &Arc<Mutex<Vec<f64>>>) -> Handler {
    let (runs, crashes) = (runs.clone(), crashes.clone());
    let starts = AtomicUsize::new(REPLICAS);
    Arc::new(move |replica, request, out| {
        if !request.target().ends_with("/poison") {
            let attempt = request.header("attempt-id").unwrap_or("");
            replica.record.line(format!("{attempt} reaches {}", replica.id));
            let work = Duration::from_millis(40);
            return replica.run_request(request, out, work, b"0123456789abcdef");
        }
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        let at = replica.record.now();
        replica.record.line(format!("replica {} begins to run poison {attempt}", replica.id));
        runs.lock().unwrap().push(Run { at, attempt });
        thread::sleep(CRASH_DELAY);
        replica.crash();
        crashes.lock().unwrap().push(replica.record.now());
        replica.record.line(format!("replica {} has crashed", replica.id));
        let id = format!("i-{}", starts.fetch_add(1, SeqCst));
        let replica = replica.clone();
        thread::spawn(move || {
            thread::sleep(RESTART_DELAY);
            replica.restart(&id);
        });
        Next::Close
    })
}

/// Sends the request. With the disruption its caller leaves early, else it waits.
fn poison(case: &Case, relay: &Relay, id: &str) {
    let bytes = request("GET", "/timi402/poison", id, 2000, b"");
    case.record.line(format!("caller sends poison {id} to {}", relay.name));
    if !case.with_trouble {
        let answer = exchange(relay.callers, &bytes, Duration::from_secs(3));
        let answer = answer.map_or_else(|error| error.to_string(), |answer| answer.start);
        return case.record.line(format!("caller of {id} is answered: {answer}"));
    }
    let Ok(mut socket) = TcpStream::connect(relay.callers) else {
        not_run("the relay accepts no connection")
    };
    let _ = socket.write_all(&bytes);
    thread::sleep(LEAVE_DELAY);
    drop(socket);
    case.record.line(format!("caller of {id} leaves"));
}

/// Sends ten other requests a second.
fn call_until(
    to: std::net::SocketAddr,
    record: &Record,
    stop: &AtomicBool,
    served: &AtomicUsize,
    failed: &AtomicUsize,
) {
    while !stop.load(SeqCst) {
        let (id, at) = (attempt_id(), record.now());
        let bytes = request("GET", "/timi402/other", &id, 2000, b"");
        let answer = exchange(to, &bytes, Duration::from_secs(3));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!("{id} sent at {at:.3}: {status}"));
        let is_served = status == 200;
        if is_served { served } else { failed }.fetch_add(1, SeqCst);
        thread::sleep(Duration::from_millis(100));
    }
}

/// Counts the attempts that were sent later than `stable_ms` after the third crash and
/// reached a replica.
fn judge(case: &Case, sent: &[(String, f64)], runs: &[Run], crashes: &[f64]) -> i32 {
    let Some(third) = crashes.get(2) else {
        return case.end(false, &format!("the request has crashed {} replicas", crashes.len()));
    };
    let from = third + STABLE_S;
    let late = sent.iter().filter(|(id, at)| {
        *at > from && runs.iter().any(|run| run.attempt == *id && run.at > from)
    });
    let late = late.count();
    let result = format!(
        "{late} attempts that were sent later than {STABLE_S} s after the third crash reached \
         replicas ({MAX_RETRIES} may); {} replicas crashed in all",
        crashes.len()
    );
    case.end(late > MAX_RETRIES, &result)
}
