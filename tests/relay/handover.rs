//! Tests of requests that a small VM hands over to a larger one.

use std::time::Duration;

use laburnum_platform::header as names;
use tokio::time::sleep;

use crate::{
    entry::config,
    harness::Harness,
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
        let stopping = harness.relay("large-1", 1.0).await;
        let other = harness.relay("large-2", 1.0).await;
        let small = harness.relay("small", 0.1).await;
        // A request tells the larger VM who hands requests to it.
        assert_eq!(harness.search(&small).await.status(), 200);
        let handed = |metrics: &str| {
            let line = metrics.lines().find(|line| line.starts_with("laburnum_requests_total"));
            line.and_then(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).unwrap_or_default()
        };
        let (first, second) =
            (handed(&harness.metrics(&stopping).await), handed(&harness.metrics(&other).await));
        let (stopping, other) = if first > second { (stopping, other) } else { (other, stopping) };
        stopping.terminate();
        sleep(Duration::from_millis(100)).await;
        let before = handed(&harness.metrics(&other).await);
        for _ in 0..3 {
            assert_eq!(harness.search(&small).await.status(), 200);
        }
        assert_eq!(handed(&harness.metrics(&other).await), before + 3.0);
    };
}
