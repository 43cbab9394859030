//! The events of the log at the moments at which they must come.

use std::{fs, path::Path, thread, time::Duration};

use laburnum_core::log::Event;
use laburnumworks::local;
use serde_json::{Value, json};

use crate::bed::{self, Bed, Kept, PROFILES};

/// The text of all source files of `folder` but the list of the events.
fn sources(folder: &Path) -> String {
    let mut text = String::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            text.push_str(&sources(&path));
        } else if !path.ends_with("core/src/log.rs") {
            text.push_str(&fs::read_to_string(path).unwrap());
        }
    }
    text
}

/// The numbers of the events of a log.
fn numbers(log: &Kept) -> Vec<u64> {
    log.lines().iter().filter_map(|line| line["event"].as_u64()).collect()
}

/// Waits until a log has an event.
fn expect(log: &Kept, event: Event) {
    for _ in 0..100 {
        if numbers(log).contains(&u64::from(event.number())) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("{event:?} is not in the log:\n{}", log.text());
}

/// Searches through the first VM, after every target was given `faults`, and
/// returns the answer. The search goes to all shards at once.
fn search(bed: &Bed, faults: &Value) -> Value {
    bed.publish(&format!("{PROFILES}canary = false\n"));
    bed.in_force("renewal");
    bed.target_faults(faults);
    let sent = bed.caller.search(bed.callers(0), "renewal", "maritime");
    bed.runtime.block_on(sent).unwrap().body
}

/// Whether a log has an event under the id of a request.
fn has(log: &Kept, event: Event, request: &Value) -> bool {
    let is_it = |line: &Value| line["event"] == event.number() && line["request"] == *request;
    log.lines().iter().any(is_it)
}

/// Waits until a log has an event under the id of a request.
fn expect_of(log: &Kept, event: Event, request: &Value) {
    for _ in 0..100 {
        if has(log, event, request) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("{event:?} of {request} is not in the log:\n{}", log.text());
}

cases! {
    every_event_is_emitted_somewhere => {
        let root = Path::new(env!("CARGO_MANIFEST_DIR"));
        let text = sources(&root.join("src")) + &sources(&root.join("crates/core/src"));
        for event in Event::ALL {
            assert!(text.contains(&format!("Event::{event:?}")), "nothing emits {event:?}");
        }
    };
    a_vm_logs_its_start_readiness_and_revision => {
        let bed = bed::start(2);
        let found = numbers(&bed.logs[0]);
        let place = |event: Event| found.iter().position(|&n| n == u64::from(event.number()));
        assert_eq!(place(Event::Started), Some(0), "{found:?}");
        assert!(place(Event::Ready) > Some(0), "{found:?}");
        expect(&bed.logs[0], Event::VmLive);
        bed.publish(PROFILES);
        expect(&bed.logs[0], Event::RevisionPublished);
        expect(&bed.logs[0], Event::RevisionApplied);
        expect(&bed.logs[1], Event::RevisionApplied);
        assert!(!numbers(&bed.logs[1]).contains(&u64::from(Event::RevisionPublished.number())));
    };
    a_vm_that_leaves_says_so_once_and_stops => {
        let mut bed = bed::start(2);
        let (_, vm) = bed.deployment.vms.remove(0);
        let left = bed.runtime.block_on(local::leave(vm)).unwrap();
        assert!(left);
        let found = numbers(&bed.logs[0]);
        let count = |event: Event| found.iter().filter(|&&n| n == u64::from(event.number())).count();
        assert_eq!(count(Event::Leaving), 1, "{found:?}");
        assert_eq!(found.last(), Some(&u64::from(Event::Stopped.number())), "{found:?}");
        expect(&bed.logs[1], Event::VmLeaving);
    };
    no_line_names_a_field_twice => {
        let bed = bed::start(2);
        expect(&bed.logs[0], Event::VmLive);
        bed.publish(PROFILES);
        expect(&bed.logs[0], Event::RevisionPublished);
        for line in bed.logs[0].text().lines() {
            let fields = line.matches("\":").count();
            let object: Value = serde_json::from_str(line).unwrap();
            assert_eq!(object.as_object().unwrap().len(), fields, "{line}");
        }
    };
    an_outage_of_the_platform_is_logged_with_its_end => {
        let bed = bed::start(1);
        bed.platform_faults(&json!({ "down": "refuse" }));
        expect(&bed.logs[0], Event::StoreDown);
        bed.platform_faults(&json!({}));
        expect(&bed.logs[0], Event::StoreUp);
    };
    a_retry_at_a_home_carries_the_id_of_the_request => {
        let bed = bed::start_with(2, 8);
        let answer = search(&bed, &json!({ "hits": [{ "wrong": "cut", "times": 1 }] }));
        assert_eq!(answer["coverage"]["complete"], true, "{answer}");
        for log in &bed.logs {
            expect_of(log, Event::Retried, &answer["request"]);
        }
    };
    a_refusal_carries_the_id_that_its_home_logs => {
        let bed = bed::start_with(2, 8);
        // The first leg that fails ends the others, at whichever home it is.
        let is_seen_by_both = (0..50).any(|_| {
            let answer = search(&bed, &json!({ "hits": [{ "wrong": "cut" }] }));
            assert_eq!(answer["kind"], "coverage_too_low", "{answer}");
            expect_of(&bed.logs[0], Event::Refused, &answer["request"]);
            has(&bed.logs[1], Event::LegFailed, &answer["request"])
        });
        assert!(is_seen_by_both, "{}", bed.logs[1].text());
    };
}
