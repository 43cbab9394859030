//! A request that crashes the replica that runs it comes again every second, each time at
//! another machine. Each machine lets it through until it has lost two replicas itself.

#[path = "../stand/mod.rs"]
mod stand;

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use stand::*;

const HOST: &str = "fida40.example";
const STABLE_MS: u64 = 4000;
/// The machines of the sheet.
const MACHINES: usize = 15;
/// How long a replica is down after a crash.
const DOWN_S: u64 = 3;

/// The arrivals of the crashing request: when, its attempt id and the replica.
type Arrivals = Arc<Mutex<Vec<(u64, String, String)>>>;

fn main() {
    run_case(run);
}

fn run() -> i32 {
    let folder = Folder::new("5");
    let record = Record::new();
    let store = Store::start(&folder);
    let arrivals = Arrivals::default();
    for number in 1..=5 {
        let id = format!("i-{number}");
        let (name, own, clock) = (id.clone(), Arc::clone(&arrivals), record.clone());
        let (address, log) = (store.address, record.clone());
        let is_back = move |replica: &Replica| {
            log.add(format!("replica {}: is back", replica.id));
            register(address, replica, "quote-portal", "perth-a", 6);
        };
        let replica = Replica::start_crashing(&id, &record, is_back, move |request| {
            if request.path.contains("poison") {
                let attempt = request.header("Attempt-Id").unwrap_or("-").to_owned();
                own.lock().unwrap().push((clock.now(), attempt, name.clone()));
                return Action::Crash { back_after: Duration::from_secs(DOWN_S) };
            }
            let response = sound(&name, request);
            Action::Answer { work: Duration::from_millis(20), response }
        });
        store.register(&replica, "quote-portal", "perth-a", 6);
    }
    let route = format!(
        "{{\"name\":\"quote\",\"host\":\"{HOST}\",\"prefix\":\"/quote/\",\"kind\":\"idempotent\",\
         \"timeout_ms\":4000,\"goal_ms\":600,\"priority\":2,\"attempts\":1,\
         \"backend\":\"quote-portal\"}}"
    );
    store.put("op/config", &config(1, &[route], &["quote-portal"], 105));
    let zones = ["perth-a", "perth-b", "perth-c"];
    let machines: Vec<Machine> = (0..MACHINES)
        .map(|number| {
            let zone = zones[number % 3];
            let name = format!("front-{zone}-{}", number / 3 + 1);
            Machine::start(&folder, &name, zone, 0.17, store.address, 116.0)
        })
        .collect();
    for machine in &machines {
        machine.wait_ready();
    }
    pause(3000);
    record.add(format!("{MACHINES} machines are ready"));

    // The ordinary load: each machine gets two requests a second.
    let end = Instant::now() + Duration::from_secs(25);
    let others: Vec<_> = machines
        .iter()
        .enumerate()
        .map(|(number, machine)| {
            let (front, record) = (machine.front, record.clone());
            thread::spawn(move || {
                let mut count = 0;
                while Instant::now() < end {
                    let id = format!("other-{number}-{count}");
                    ask(front, &format!("/quote/{id}"), &id, &record);
                    count += 1;
                    pause(500);
                }
            })
        })
        .collect();
    let mut number = 0;
    while Instant::now() < end {
        let path = if is_calm() { "/quote/plain" } else { "/quote/poison" };
        let machine = &machines[number % MACHINES];
        let id = format!("again-{number}");
        record.add(format!("client sends {id} ({path}) to {}", machine.name));
        ask(machine.front, path, &id, &record);
        number += 1;
        pause(1000);
    }
    for thread in others {
        thread.join().unwrap();
    }

    let rows = arrivals.lock().unwrap().clone();
    let mut broken = Vec::new();
    if let Some((third, ..)) = rows.get(2) {
        let late = rows.iter().filter(|(at, ..)| *at > third + STABLE_MS).count();
        record.add(format!(
            "it crashed {} replicas, the third at {third} ms, {late} later than {STABLE_MS} ms \
             after that",
            rows.len()
        ));
        if late > 3 {
            broken.push(format!(
                "the request reaches replicas in {late} retries later than {STABLE_MS} ms after \
                 it crashed the third, and crashes them"
            ));
        }
    }
    finish("5", &record, &broken)
}

fn ask(front: std::net::SocketAddr, path: &str, id: &str, record: &Record) {
    let request = Request::of_client(path, HOST, id, 4000);
    match exchange(front, &request, Duration::from_secs(4)) {
        Ok(response) => record.add(format!("client got {} for {id}", response.status)),
        Err(error) => record.add(format!("client got no answer to {id}: {error}")),
    }
}
