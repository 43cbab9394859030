//! All machines but one are lost for good. The store then turns the last one away for half
//! a second without an answer, so that the answer to its open watch is lost. A version that
//! is acknowledged more than `stable_ms` later is not in force in time.

#[path = "../stand/mod.rs"]
mod stand;

use std::time::{Duration, Instant};

use stand::*;

const HOST: &str = "fida40.example";
/// The bounds of the site.
const STABLE_MS: u64 = 4000;
const CONFIG_APPLY_MS: u64 = 3000;
/// How long the store turns the machine away.
const OUTAGE_MS: u64 = 500;

fn main() {
    run_case(run);
}

fn route(backend: &str) -> String {
    format!(
        "{{\"name\":\"licence\",\"host\":\"{HOST}\",\"prefix\":\"/licence/\",\
         \"kind\":\"idempotent\",\"timeout_ms\":2000,\"goal_ms\":400,\"priority\":2,\
         \"attempts\":2,\"backend\":\"{backend}\"}}"
    )
}

fn run() -> i32 {
    let folder = Folder::new("4");
    let record = Record::new();
    let store = Store::start(&folder);
    let backends = ["licensee-portal", "billing-ledger"];
    let start = |id: &str| {
        let name = id.to_owned();
        Replica::start(id, &record, move |request| {
            let response = sound(&name, request);
            Action::Answer { work: Duration::from_millis(20), response }
        })
    };
    for backend in backends {
        for number in 1..=2 {
            let replica = start(&format!("{backend}-{number}"));
            store.register(&replica, backend, "midrand", 2);
        }
    }
    store.put("op/config", &config(1, &[route("licensee-portal")], &backends, 232));

    // The 19 machines of the sheet, all of the same size.
    let zones = ["jhb-east", "jhb-north", "midrand", "pta-central"];
    let link = Proxy::start(store.address);
    let mut machines = Vec::new();
    for number in 0..19 {
        let zone = zones[number % 4];
        let name = format!("front-{zone}-{}", number / 4 + 1);
        let is_last = name == "front-pta-central-4";
        let address = if is_last { link.address } else { store.address };
        let machine = Machine::start(&folder, &name, zone, 0.17, address, 122.0);
        machines.push(machine);
    }
    for machine in &machines {
        machine.wait_ready();
    }
    pause(3000);
    record.add("19 machines are ready");
    let last = machines.iter().position(|m| m.name == "front-pta-central-4").unwrap();
    let last = machines.swap_remove(last);
    if !is_calm() {
        for machine in &mut machines {
            machine.kill();
        }
        record.add("18 machines are lost for good; front-pta-central-4 stays");
    }
    pause(STABLE_MS);
    if ask(&last, "first", &record).is_none() {
        return 2;
    }

    let seen = link.watches.lock().unwrap().len();
    let since = Instant::now();
    while link.watches.lock().unwrap().len() == seen {
        if since.elapsed() > Duration::from_secs(25) {
            eprintln!("the machine sent no watch");
            return 2;
        }
        pause(5);
    }
    let wait = link.watches.lock().unwrap()[seen].1.clone();
    record.add(format!("front-pta-central-4 watches the store for {wait} ms"));
    pause(200);
    if !is_calm() {
        record.add("the store turns front-pta-central-4 away without an answer");
        link.set_cut(true);
        link.lose_answers();
    }
    // The change whose report to the machine is lost: a replica is added.
    let added = start("licensee-portal-3");
    store.register(&added, "licensee-portal", "midrand", 2);
    pause(OUTAGE_MS);
    link.set_cut(false);
    record.add("the store serves all machines");
    pause(STABLE_MS + 200);

    store.put("op/config", &config(2, &[route("billing-ledger")], &backends, 232));
    let acked = Instant::now();
    record.add("the store has acknowledged version 2: /licence/ goes to billing-ledger");
    let mut broken = Vec::new();
    let mut number = 0;
    while acked.elapsed() < Duration::from_secs(10) {
        let age = acked.elapsed().as_millis() as u64;
        let by = ask(&last, &format!("after-{number}"), &record).unwrap_or_default();
        if age > CONFIG_APPLY_MS && by.starts_with("licensee-portal") {
            broken.push(format!(
                "a request sent {age} ms after the acknowledgement of version 2 is run by {by}, \
                 as only version 1 allows"
            ));
        }
        number += 1;
        pause(100);
    }
    finish("4", &record, &broken)
}

/// Sends a request and returns the replica that ran it, if it was served.
fn ask(machine: &Machine, id: &str, record: &Record) -> Option<String> {
    let request = Request::of_client(&format!("/licence/{id}"), HOST, id, 2000);
    let response = exchange(machine.front, &request, Duration::from_secs(2)).ok()?;
    let text = response.text();
    record.add(format!("client got {} for {id}: {}", response.status, text.trim()));
    let by = text.split(" run by ").nth(1)?.split(' ').next()?.to_owned();
    (response.status == 200).then_some(by)
}
