//! A small machine is killed and started again while a larger one still works on the
//! requests that it had handed over. Their answers reach clients of the new process.

#[path = "../stand/mod.rs"]
mod stand;

use std::{
    sync::{
        atomic::{AtomicU64, Ordering},
        Arc,
    },
    thread,
    time::Duration,
};

use stand::*;

/// The work of a request in milliseconds, the longest that the sheet of the site states.
const WORK_MS: u64 = 960;
const DEADLINE_MS: u64 = 4000;
const HOST: &str = "fida40.example";

fn main() {
    run_case(run);
}

fn run() -> i32 {
    let folder = Folder::new("1");
    let record = Record::new();
    let store = Store::start(&folder);
    let replicas: Vec<Replica> = (1..=4)
        .map(|number| {
            let id = format!("i-{number}");
            let name = id.clone();
            Replica::start(&id, &record, move |request| Action::Answer {
                work: Duration::from_millis(WORK_MS),
                response: sound(&name, request),
            })
        })
        .collect();
    for replica in &replicas {
        store.register(replica, "quote-portal", "perth-a", 6);
    }
    let operations = register_operations(&store, &record);
    let route = "{\"name\":\"quote\",\"host\":\"fida40.example\",\"prefix\":\"/quote/\",\
                 \"kind\":\"idempotent\",\"timeout_ms\":4000,\"goal_ms\":600,\"priority\":2,\
                 \"attempts\":2,\"backend\":\"quote-portal\"}";
    let operation = route
        .replace("quote-portal", "admin-console")
        .replace("quote", "operation")
        .replace("idempotent", "non_idempotent");
    let full = route.replace("quote-portal", "trader-desk").replace("quote", "full");
    let routes = [route.to_owned(), operation, full];
    let backends = ["quote-portal", "admin-console", "trader-desk"];
    store.put("op/config", &config(1, &routes, &backends, 177));
    let large = Machine::start(&folder, "front-perth-a-1", "perth-a", 0.5, store.address, 308.0);
    large.wait_ready();
    pause(2500);
    let mut small =
        Machine::start(&folder, "front-perth-a-9", "perth-a", 0.084, store.address, 308.0);
    small.wait_ready();
    record.add("both machines are ready");

    let mut broken = Vec::new();
    // Three requests before, so that the numbers don't depend on a fresh process.
    for number in 0..3 {
        broken.extend(ask(&small, &format!("before-{number}"), &record));
    }
    let first: Vec<_> = (0..4).map(|n| spawn(&small, format!("first-{n}"), &record)).collect();
    pause(60);
    if !is_calm() {
        record.add("SIGKILL of front-perth-a-9");
        small.kill();
        pause(200);
        small.launch();
        small.wait_ready();
        record.add("front-perth-a-9 is ready again");
    }
    let second: Vec<_> = (0..8).map(|n| spawn(&small, format!("second-{n}"), &record)).collect();
    for thread in first.into_iter().chain(second) {
        broken.extend(thread.join().unwrap());
    }
    broken.extend(refuse_an_operation(&mut small, &operations, &record));
    finish("1", &record, &broken)
}

/// Starts the replicas of two more services: one runs operations that may run once at most,
/// and the replicas of the other are full for the whole case. Returns the number of operations
/// that have run.
fn register_operations(store: &Store, record: &Record) -> Arc<AtomicU64> {
    let ran = Arc::new(AtomicU64::new(0));
    for number in 1..=2 {
        let id = format!("operation-{number}");
        let (name, own) = (id.clone(), Arc::clone(&ran));
        let replica = Replica::start(&id, record, move |request| {
            own.fetch_add(1, Ordering::SeqCst);
            let response = sound(&name, request);
            Action::Answer { work: Duration::from_millis(WORK_MS), response }
        });
        store.register(&replica, "admin-console", "perth-a", 6);
        let replica = Replica::start(&format!("full-{number}"), record, |_| {
            let headers = vec![
                ("Not-Executed".to_owned(), "1".to_owned()),
                ("Retry-After".to_owned(), "2".to_owned()),
            ];
            let response = Response { status: 503, headers, body: Vec::new() };
            Action::Answer { work: Duration::from_millis(1), response }
        });
        store.register(&replica, "trader-desk", "perth-a", 2);
    }
    ran
}

/// The same with a refusal: a request that waits for a full replica belongs to the dead
/// process, and its refusal "not run" reaches an operation that runs.
fn refuse_an_operation(
    small: &mut Machine,
    operations: &AtomicU64,
    record: &Record,
) -> Option<String> {
    if !is_calm() {
        record.add("SIGKILL of front-perth-a-9");
        small.kill();
        pause(200);
        small.launch();
        small.wait_ready();
    }
    let front = small.front;
    ask_route(front, "full", "full-0", 1000, record);
    let own = record.clone();
    let waiting = thread::spawn(move || ask_route(front, "full", "full-1", DEADLINE_MS, &own));
    pause(60);
    if !is_calm() {
        record.add("SIGKILL of front-perth-a-9");
        small.kill();
        pause(200);
        small.launch();
        small.wait_ready();
        record.add("front-perth-a-9 is ready again");
    }
    pause(1000);
    ask_route(front, "full", "full-2", 300, record);
    // Its replica works on it when the refusal of full-1 is due.
    let status = ask_route(front, "operation", "operation-1", DEADLINE_MS, record);
    let _ = waiting.join();
    let has_run = operations.load(Ordering::SeqCst) > 0;
    (status == Some(503) && has_run)
        .then(|| "operation-1 is answered 503 with the refusal of full-1, and has run".to_owned())
}

/// Sends a request on a route and returns the status of its answer.
fn ask_route(
    front: std::net::SocketAddr,
    route: &str,
    id: &str,
    deadline_ms: u64,
    record: &Record,
) -> Option<u16> {
    let request = Request::of_client(&format!("/{route}/{id}"), HOST, id, deadline_ms);
    record.add(format!("client sends {id}"));
    match exchange(front, &request, Duration::from_millis(deadline_ms)) {
        Ok(response) => {
            let text = response.text();
            record.add(format!("client got {} for {id}: {}", response.status, text.trim()));
            Some(response.status)
        }
        Err(error) => {
            record.add(format!("client got no answer to {id}: {error}"));
            None
        }
    }
}

fn spawn(machine: &Machine, id: String, record: &Record) -> thread::JoinHandle<Option<String>> {
    let (front, record) = (machine.front, record.clone());
    thread::spawn(move || ask_at(front, &id, &record))
}

fn ask(machine: &Machine, id: &str, record: &Record) -> Option<String> {
    ask_at(machine.front, id, record)
}

/// Sends a request and returns what is wrong with its answer by the rule MIXED: a success
/// whose id or body is that of another request.
fn ask_at(front: std::net::SocketAddr, id: &str, record: &Record) -> Option<String> {
    let path = format!("/quote/{id}");
    let request = Request::of_client(&path, HOST, id, DEADLINE_MS);
    record.add(format!("client sends {id}"));
    let response = match exchange(front, &request, Duration::from_millis(DEADLINE_MS)) {
        Ok(response) => response,
        Err(error) => {
            record.add(format!("client got no answer to {id}: {error}"));
            return None;
        }
    };
    let (echo, text) = (response.header("Attempt-Id").unwrap_or("-").to_owned(), response.text());
    record.add(format!("client got {} for {id}: id {echo}: {}", response.status, text.trim()));
    let is_own = echo == id && text.starts_with(&format!("{path} "));
    (response.status == 200 && !is_own).then(|| format!("the answer to {id} is that to {echo}"))
}
