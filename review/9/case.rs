//! A request that crashes replicas, at a service with one replica that starts again under
//! the id that it had.

#[path = "../stand-2/stand.rs"]
mod stand;

use std::{
    process::exit,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use stand::*;

/// `stable_ms` of the sheets.
const STABLE_S: f64 = 4.0;
/// The retries that may reach replicas once the request has crashed three.
const MAX_RETRIES: usize = 3;
/// Services with two replicas each. One replica of all of them, an eighth, is lost.
const SERVICES: [&str; 4] = ["svc1", "svc2", "svc3", "svc4"];
/// "The replica is back after some seconds."
const RESTART_DELAY: Duration = Duration::from_millis(2000);
const POISON_COUNT: usize = 14;
const POISON_INTERVAL: Duration = Duration::from_millis(3200);

/// What the replicas recorded of the request.
#[derive(Default)]
struct Trace {
    /// The time and the attempt of each run.
    runs: Mutex<Vec<(f64, String)>>,
    crashes: Mutex<Vec<f64>>,
}

fn main() {
    exit(run());
}

fn run() -> i32 {
    let case = Case::start("review/9");
    let store = Store::start();
    let trace = Arc::new(Trace::default());
    let handler = handler(&trace);
    let mut replicas = Vec::new();
    for service in SERVICES {
        for index in 0..2 {
            let id = format!("i-{service}-{index}");
            replicas.push(Replica::start(&id, service, &store, &case.record, handler.clone()));
        }
    }
    let services = SERVICES.map(|service| (service, 55));
    store.put("op/config", &configuration(5, &SERVICES.map(route), &services));
    let mut relays: Vec<Relay> = (1..=2)
        .map(|index| Relay::new(&format!("front-a-{index}"), 0.17, &store, &case.temporary))
        .collect();
    relays.iter_mut().for_each(Relay::start);
    relays.iter().for_each(Relay::wait_ready);
    thread::sleep(Duration::from_secs(3));
    if case.with_trouble {
        replicas[1].crash();
        case.record.line(format!("replica {} is lost for good", replicas[1].id));
    }
    thread::sleep(Duration::from_secs(6));
    let mut sent = Vec::new();
    for index in 0..POISON_COUNT {
        let (id, relay) = (attempt_id(), &relays[index % 2]);
        sent.push((id.clone(), case.record.now()));
        case.record.line(format!("caller sends poison {id} to {}", relay.name));
        let bytes = request("GET", "/svc1/poison", &id, 2000, b"");
        let answer = exchange(relay.callers, &bytes, Duration::from_secs(3));
        let answer = answer.map_or_else(|error| error.to_string(), |answer| answer.start);
        case.record.line(format!("caller of {id} is answered: {answer}"));
        thread::sleep(POISON_INTERVAL);
    }
    judge(&case, &sent, &trace)
}

fn route(service: &str) -> String {
    format!(
        "{{\"name\":\"r-{service}\",\"host\":\"pupu76.example\",\"prefix\":\"/{service}/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":400,\"priority\":2,\
         \"backend\":\"{service}\",\"attempts\":2}}"
    )
}

/// A replica that crashes as it begins to run the request.
fn handler(trace: &Arc<Trace>) -> Handler {
    let trace = trace.clone();
    Arc::new(move |replica, request, out| {
        if !request.target().ends_with("/poison") {
            let work = Duration::from_millis(40);
            return replica.run_request(request, out, work, b"0123456789abcdef");
        }
        let attempt = request.header("attempt-id").unwrap_or("").to_owned();
        replica.record.line(format!("replica {} begins to run poison {attempt}", replica.id));
        trace.runs.lock().unwrap().push((replica.record.now(), attempt));
        replica.crash();
        trace.crashes.lock().unwrap().push(replica.record.now());
        replica.record.line(format!("replica {} has crashed", replica.id));
        let replica = replica.clone();
        thread::spawn(move || {
            thread::sleep(RESTART_DELAY);
            let id = replica.id.clone();
            replica.restart(&id);
        });
        Next::Close
    })
}

/// Counts the attempts that were sent later than `stable_ms` after the third crash and
/// reached a replica.
fn judge(case: &Case, sent: &[(String, f64)], trace: &Trace) -> i32 {
    let (runs, crashes) = (trace.runs.lock().unwrap(), trace.crashes.lock().unwrap());
    let Some(third) = crashes.get(2) else {
        return case.end(false, &format!("the request has crashed {} replicas", crashes.len()));
    };
    let from = third + STABLE_S;
    let has_run = |id: &String| runs.iter().any(|(at, attempt)| attempt == id && *at > from);
    let late = sent.iter().filter(|(id, at)| *at > from && has_run(id)).count();
    let result = format!(
        "{late} attempts that were sent later than {STABLE_S} s after the third crash reached \
         replicas ({MAX_RETRIES} may); replicas crashed {} times in all",
        crashes.len()
    );
    case.end(late > MAX_RETRIES, &result)
}
