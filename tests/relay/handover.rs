//! Tests of requests that a small VM hands over to a larger one.

use std::time::Duration;

use laburnum_platform::header as names;
use serde_json::json;
use tokio::time::sleep;

use crate::{
    entry::config,
    harness::{Harness, Relay},
    standin::{entries::CONFIG, target::Behaviour},
};

/// How long the targets work on an operation, longer than a VM takes to start.
const RUN_TIME: Duration = Duration::from_secs(2);

/// How long the callers wait.
const PATIENCE: Duration = Duration::from_secs(8);

/// A harness whose operations run for [`RUN_TIME`].
async fn slow_harness() -> Harness {
    let harness = Harness::start().await;
    for id in ["desk-1", "desk-2"] {
        let behaviour = Behaviour { run_time: RUN_TIME, ..Behaviour::default() };
        harness.targets[id].set_behaviour(behaviour);
    }
    let mut patient = config(9);
    patient["routes"][1]["timeout_ms"] = 9000.into();
    harness.store.put(CONFIG, &patient).await;
    harness
}

/// Returns the number of requests that a relay has taken, its own and handed ones.
async fn taken(harness: &Harness, relay: &Relay) -> f64 {
    let metrics = harness.metrics(relay).await;
    let line = metrics.lines().find(|line| line.starts_with("laburnum_requests_total"));
    line.and_then(|line| line.rsplit(' ').next()?.parse().ok()).unwrap_or_default()
}

/// Returns two larger relays and a smaller one that hands its requests to the first.
async fn two_larger_and_a_smaller(harness: &Harness) -> (Relay, Relay, Relay) {
    let one = harness.relay("large-1", 1.0).await;
    let two = harness.relay("large-2", 1.0).await;
    let small = harness.relay("small", 0.1).await;
    assert_eq!(harness.search(&small).await.status(), 200);
    if taken(harness, &one).await > taken(harness, &two).await {
        (one, two, small)
    } else {
        (two, one, small)
    }
}

/// Returns the start of the digest of an operation's answer, which names the service.
async fn served_by(harness: &Harness, relay: &Relay) -> String {
    let response = harness.try_operate(relay, PATIENCE).await.unwrap();
    let digest = response.headers().get(names::DIGEST).map(|value| value.to_str().unwrap());
    digest.unwrap_or_default().to_owned()
}

cases! {
    async:
    // Guards against answers to requests of a process that was killed, which reached
    // callers of the process after it (review/1).
    a_restarted_vm_passes_on_no_answer_of_the_process_before_it => {
        let harness = slow_harness().await;
        let _large = harness.relay("large", 1.0).await;
        let mut small = harness.relay("small", 0.1).await;
        let kill = async {
            sleep(Duration::from_millis(300)).await;
            assert_eq!(harness.runs("desk"), 2, "the larger VM has both requests");
            small.kill();
        };
        let (one, two, ()) = tokio::join!(
            harness.try_operate_as(&small, "early-1", PATIENCE),
            harness.try_operate_as(&small, "early-2", PATIENCE),
            kill,
        );
        assert!(one.is_err() && two.is_err(), "both were cut off");
        harness.restart(&mut small).await;
        let late = ["late-1", "late-2"];
        let (one, two) = tokio::join!(
            harness.try_operate_as(&small, late[0], PATIENCE),
            harness.try_operate_as(&small, late[1], PATIENCE),
        );
        for (response, id) in [one, two].into_iter().zip(late) {
            let response = response.unwrap();
            assert_eq!(response.status(), 200);
            assert_eq!(response.headers()[names::ATTEMPT_ID], id);
        }
        assert_eq!(harness.runs("desk"), 4);
    };
    // Guards against requests that a larger VM was handed and drops at a planned stop, because
    // none of its own callers waits.
    a_larger_vm_finishes_what_it_was_handed_before_it_stops => {
        let harness = slow_harness().await;
        let mut large = harness.relay("large", 1.0).await;
        let small = harness.relay("small", 0.1).await;
        let stop = async {
            sleep(Duration::from_millis(300)).await;
            assert_eq!(harness.runs("desk"), 1, "the larger VM has the request");
            large.terminate();
        };
        let (response, ()) = tokio::join!(harness.try_operate(&small, PATIENCE), stop);
        assert_eq!(response.unwrap().status(), 200);
        assert!(large.exits_successfully().await);
    };
    a_vm_that_stops_gets_no_new_requests_of_smaller_ones => {
        let harness = slow_harness().await;
        let (stopping, other, small) = two_larger_and_a_smaller(&harness).await;
        stopping.terminate();
        sleep(Duration::from_millis(100)).await;
        let before = taken(&harness, &other).await;
        for _ in 0..3 {
            assert_eq!(harness.search(&small).await.status(), 200);
        }
        assert_eq!(taken(&harness, &other).await, before + 3.0);
    };
    // Guards against a small VM that serves older routes than it has served before, through a
    // larger VM that is cut off from the store (review/3).
    a_small_vm_never_goes_back_to_older_routes => {
        let harness = Harness::start().await;
        let (_near, far, small) = two_larger_and_a_smaller(&harness).await;
        harness.store.set_faults(&json!({ "vms": { far.name(): "hang" } })).await;
        sleep(Duration::from_millis(300)).await;
        let mut moved = config(10);
        moved["routes"][1]["backend"] = "one".into();
        moved["routes"][1]["timeout_ms"] = 9000.into();
        harness.store.put(CONFIG, &moved).await;
        while !served_by(&harness, &small).await.starts_with("seal-one") {
            sleep(Duration::from_millis(50)).await;
        }
        for id in ["one-1", "one-2"] {
            let behaviour = Behaviour { run_time: RUN_TIME, ..Behaviour::default() };
            harness.targets[id].set_behaviour(behaviour);
        }
        let next = async {
            sleep(Duration::from_millis(700)).await;
            served_by(&harness, &small).await
        };
        let (first, next) = tokio::join!(served_by(&harness, &small), next);
        assert!(first.starts_with("seal-one") && next.starts_with("seal-one"), "{first}, {next}");
    };
}
