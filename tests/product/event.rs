//! The events that VMs log when they start, publish, fail and leave.

use std::{fs, path::Path, thread, time::Duration};

use laburnum_core::log::Event;
use laburnumworks::local;
use serde_json::{Value, json};

use crate::harness::{self, Buffer, Harness, PROFILES};

/// The text of all source files below `folder` except the list of events.
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

/// The numbers of the events in a log, in order.
fn event_numbers(log: &Buffer) -> Vec<u64> {
    log.lines().iter().filter_map(|line| line["event"].as_u64()).collect()
}

/// Waits up to 5 s until a log has an event.
fn wait_for_event(log: &Buffer, event: Event) {
    for _ in 0..100 {
        if event_numbers(log).contains(&u64::from(event.number())) {
            return;
        }
        thread::sleep(Duration::from_millis(50));
    }
    panic!("{event:?} is not in the log:\n{}", log.text());
}

/// Sets the faults of all targets, searches all shards at once through the first
/// VM and returns the answer.
fn search(harness: &Harness, faults: &Value) -> Value {
    harness.publish(&format!("{PROFILES}canary = false\n"));
    harness.wait_for_profile("renewal");
    harness.set_target_faults(faults);
    let sent = harness.caller.search(harness.callers(0), "renewal", "maritime");
    harness.runtime.block_on(sent).unwrap().body
}

/// Whether a log has an event under the id of a request.
fn has_request_event(log: &Buffer, event: Event, request: &Value) -> bool {
    let is_match = |line: &Value| line["event"] == event.number() && line["request"] == *request;
    log.lines().iter().any(is_match)
}

/// Waits up to 5 s until a log has an event under the id of a request.
fn wait_for_request_event(log: &Buffer, event: Event, request: &Value) {
    for _ in 0..100 {
        if has_request_event(log, event, request) {
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
        let harness = harness::start(2);
        // The log is written by a thread of its own, some time after the VM serves.
        wait_for_event(&harness.logs[0], Event::Ready);
        let found = event_numbers(&harness.logs[0]);
        let index_of = |event: Event| found.iter().position(|&n| n == u64::from(event.number()));
        assert_eq!(index_of(Event::Started), Some(0), "{found:?}");
        assert!(index_of(Event::Ready) > Some(0), "{found:?}");
        wait_for_event(&harness.logs[0], Event::VmLive);
        harness.publish(PROFILES);
        wait_for_event(&harness.logs[0], Event::RevisionPublished);
        wait_for_event(&harness.logs[0], Event::RevisionApplied);
        wait_for_event(&harness.logs[1], Event::RevisionApplied);
        assert!(
            !event_numbers(&harness.logs[1])
                .contains(&u64::from(Event::RevisionPublished.number()))
        );
    };
    a_vm_that_leaves_logs_it_once_and_stops => {
        let mut harness = harness::start(2);
        let (_, vm) = harness.deployment.vms.remove(0);
        let left = harness.runtime.block_on(local::leave(vm)).unwrap();
        assert!(left);
        let found = event_numbers(&harness.logs[0]);
        let count = |event: Event| found.iter().filter(|&&n| n == u64::from(event.number())).count();
        assert_eq!(count(Event::Leaving), 1, "{found:?}");
        assert_eq!(found.last(), Some(&u64::from(Event::Stopped.number())), "{found:?}");
        wait_for_event(&harness.logs[1], Event::VmLeaving);
    };
    no_line_names_a_field_twice => {
        let harness = harness::start(2);
        wait_for_event(&harness.logs[0], Event::VmLive);
        harness.publish(PROFILES);
        wait_for_event(&harness.logs[0], Event::RevisionPublished);
        for line in harness.logs[0].text().lines() {
            let fields = line.matches("\":").count();
            let object: Value = serde_json::from_str(line).unwrap();
            assert_eq!(object.as_object().unwrap().len(), fields, "{line}");
        }
    };
    an_outage_of_the_platform_is_logged_with_its_end => {
        let harness = harness::start(1);
        harness.set_platform_faults(&json!({ "down": "refuse" }));
        wait_for_event(&harness.logs[0], Event::StoreDown);
        harness.set_platform_faults(&json!({}));
        wait_for_event(&harness.logs[0], Event::StoreUp);
    };
    a_retry_at_a_home_carries_the_id_of_the_request => {
        let harness = harness::start_with_shards(2, 8);
        let answer = search(&harness, &json!({ "hits": [{ "wrong": "cut", "times": 1 }] }));
        assert_eq!(answer["coverage"]["complete"], true, "{answer}");
        for log in &harness.logs {
            wait_for_request_event(log, Event::Retried, &answer["request"]);
        }
    };
    a_refusal_carries_the_id_that_its_home_logs => {
        let harness = harness::start_with_shards(2, 8);
        // The first leg that fails ends the others, and either VM may be its home:
        // searches again until the second VM logs one.
        let is_logged_by_both = (0..50).any(|_| {
            let answer = search(&harness, &json!({ "hits": [{ "wrong": "cut" }] }));
            assert_eq!(answer["kind"], "coverage_too_low", "{answer}");
            wait_for_request_event(&harness.logs[0], Event::Refused, &answer["request"]);
            has_request_event(&harness.logs[1], Event::LegFailed, &answer["request"])
        });
        assert!(is_logged_by_both, "{}", harness.logs[1].text());
    };
}
