//! A request that crashes every target that runs it, sent repeatedly.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    deployment::{COMPLETE_PROFILE, Deployment, PARTIAL_PROFILE},
    invariant,
    load::{Load, searches},
    operation::Operation,
    part::Plan,
    runner::with_plan,
};

/// A request that contains this text crashes the target.
const CRASH_TEXT: &str = "poison";

/// The maximum number of targets that one request may crash.
const MAX_CRASHES: u64 = 2;

/// The time for which only the load runs, before and after the request.
const STEADY_PERIOD: Duration = Duration::from_millis(1500);

/// Two shards with three replicas each, so that a request could crash more than
/// [`MAX_CRASHES`] replicas of one shard.
fn three_replicas() -> Plan {
    Plan { shards: 2, replicas: 3, ..Plan::default() }
}

async fn enable_crash(deployment: &Deployment, targets: &[usize], moment: &str) {
    let crash = json!({ "crash": { "mark": CRASH_TEXT, "moment": moment, "down_ms": 500 } });
    for &number in targets {
        deployment.set_target_faults(number, &crash).await;
    }
}

async fn count_crashes(deployment: &Deployment) -> u64 {
    let mut sum = 0;
    for number in 0..deployment.targets.len() {
        sum += deployment.count(number, "crashes").await;
    }
    sum
}

/// Sends the search through every VM twice while other requests run. It crashes
/// at most [`MAX_CRASHES`] targets and is quarantined in the end.
async fn send_search(deployment: &Deployment, targets: &[usize]) {
    enable_crash(deployment, targets, "midway").await;
    let load = Load::start(deployment, &[0, 1, 2], PARTIAL_PROFILE);
    sleep(STEADY_PERIOD).await;
    for number in [0, 1, 2, 0, 1, 2] {
        let reply = deployment.search(number, COMPLETE_PROFILE, CRASH_TEXT).await.unwrap();
        assert!(!reply.status.is_success(), "a request that crashes targets: {}", reply.body);
        assert!(
            count_crashes(deployment).await <= MAX_CRASHES,
            "{} targets crashed",
            count_crashes(deployment).await
        );
    }
    let last = deployment.search(1, COMPLETE_PROFILE, CRASH_TEXT).await.unwrap();
    assert_eq!(last.body["kind"], Value::from("quarantined"), "{}", last.body);
    sleep(STEADY_PERIOD).await;
    assert_others_unaffected(deployment, load).await;
}

/// Asserts that all other requests are answered, and every search completely.
async fn assert_others_unaffected(deployment: &Deployment, load: Load) {
    assert!(
        count_crashes(deployment).await <= MAX_CRASHES,
        "{} targets crashed",
        count_crashes(deployment).await
    );
    let records = load.finish().await;
    invariant::assert_complete(&searches(&records));
    invariant::assert_run_once(deployment, &records, &[0, 1, 2], &[]).await;
}

async fn send_operation(deployment: &Deployment, moment: &str, runs: u64) {
    let targets: Vec<usize> = (0..deployment.targets.len()).collect();
    enable_crash(deployment, &targets, moment).await;
    let load = Load::start(deployment, &[0, 1, 2], PARTIAL_PROFILE);
    sleep(STEADY_PERIOD).await;
    let mut poison = Operation::new(5);
    poison.detail = format!("{CRASH_TEXT} {}", poison.key);
    poison.body["detail"] = json!(poison.detail);
    for number in [0, 1, 2, 0, 1, 2] {
        let reply = deployment.operate(number, &poison).await.unwrap();
        assert!(!reply.status.is_success(), "it crashed its target: {}", reply.body);
        let ran = deployment.executions().await.get(&poison.detail).copied().unwrap_or(0);
        assert_eq!(ran, runs, "executions of the operation");
        let is_true = ran == 0 || reply.body["ran"] != json!("no");
        assert!(is_true, "it ran: {}", reply.body);
    }
    sleep(STEADY_PERIOD).await;
    assert_others_unaffected(deployment, load).await;
}

cases! {
    search_that_crashes_every_replica_of_a_shard => {
        with_plan(three_replicas(), async |deployment| send_search(&deployment, &[0, 1, 2]).await);
    };
    search_that_crashes_every_target_of_four_shards => {
        with_plan(Plan::default(), async |deployment| {
            send_search(&deployment, &[0, 1, 2, 3, 4, 5, 6, 7]).await
        });
    };
    search_that_crashes_every_target => {
        with_plan(three_replicas(), async |deployment| {
            send_search(&deployment, &[0, 1, 2, 3, 4, 5]).await
        });
    };
    operation_that_crashes_its_target_before_effect => {
        with_plan(three_replicas(), async |deployment| {
            send_operation(&deployment, "midway", 0).await
        });
    };
    operation_that_crashes_its_target_after_effect => {
        with_plan(three_replicas(), async |deployment| {
            send_operation(&deployment, "after", 1).await
        });
    };
}
