//! Outages of the platform's service, and lost answers and writes, while requests
//! run.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    deployment::{COMPLETE_PROFILE, Deployment},
    invariant,
    load::{Load, searches},
    operation::Operation,
    runner::with_deployment,
};

/// The time for which the load runs before and after a fault.
const STEADY_PERIOD: Duration = Duration::from_secs(1);

/// The approximate time for which the service is down.
const OUTAGE_DURATION: Duration = Duration::from_secs(3);

/// The time after the end of an outage within which operations run again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(1);

/// How often an operation is sent while writes are lost.
const MAX_TRIES: usize = 4;

/// Stops the service for a time. Searches stay complete; operations are refused
/// without running, and run once when the service is up again.
async fn stop_store(deployment: &Deployment, mode: &str) {
    let load = Load::start(deployment, &[0, 1, 2], COMPLETE_PROFILE);
    sleep(STEADY_PERIOD).await;
    deployment.set_platform_faults(&json!({ "down": mode })).await;
    sleep(STEADY_PERIOD).await;
    let operations: Vec<Operation> = (0..12).map(Operation::new).collect();
    let refused = deployment.send_spaced(1, &operations).await.unwrap();
    for (operation, outcome) in operations.iter().zip(&refused) {
        invariant::assert_unsettled(operation, outcome);
    }
    let executions = deployment.executions().await;
    assert!(operations.iter().all(|own| !executions.contains_key(&own.detail)), "{executions:?}");
    sleep(OUTAGE_DURATION.saturating_sub(STEADY_PERIOD)).await;
    deployment.set_platform_faults(&json!({})).await;
    sleep(RECOVERY_LIMIT).await;
    let ran = deployment.send_spaced(2, &operations).await.unwrap();
    invariant::assert_ran(deployment, &operations, &ran).await;
    sleep(STEADY_PERIOD).await;
    let records = load.finish().await;
    invariant::assert_complete(&searches(&records));
    invariant::assert_run_once(deployment, &records, &[0, 1, 2], &[]).await;
}

/// Loses writes or, after they took effect, only their answers. Each operation is
/// sent again with its key, through each VM in turn, until it succeeds, and runs
/// once.
async fn lose_writes(deployment: &Deployment, faults: &Value) {
    let load = Load::start(deployment, &[0, 1, 2], COMPLETE_PROFILE);
    sleep(STEADY_PERIOD).await;
    deployment.set_platform_faults(faults).await;
    let operations: Vec<Operation> = (0..24).map(Operation::new).collect();
    let mut unfinished = operations.clone();
    for attempt in 0..MAX_TRIES {
        let outcomes = deployment.send_spaced(attempt % 3, &unfinished).await.unwrap();
        invariant::assert_consistent(deployment, &unfinished, &outcomes).await;
        unfinished = unfinished
            .into_iter()
            .zip(&outcomes)
            .filter(|(_, outcome)| !outcome.as_ref().is_ok_and(|reply| reply.status.is_success()))
            .map(|(operation, _)| operation)
            .collect();
        sleep(STEADY_PERIOD).await;
    }
    deployment.set_platform_faults(&json!({})).await;
    sleep(RECOVERY_LIMIT).await;
    let ran = deployment.send_spaced(0, &operations).await.unwrap();
    invariant::assert_ran(deployment, &operations, &ran).await;
    let records = load.finish().await;
    invariant::assert_complete(&searches(&records));
    invariant::assert_run_once(deployment, &records, &[0, 1, 2], &[]).await;
}

cases! {
    store_down_and_cutting_connections => with_deployment(async |deployment| {
        stop_store(&deployment, "cut").await
    });
    store_down_and_silent => with_deployment(async |deployment| {
        stop_store(&deployment, "hang").await
    });
    store_refusing_every_call => with_deployment(async |deployment| {
        stop_store(&deployment, "refuse").await
    });
    store_answers_lost_after_effect => {
        let faults = json!({ "lose_after": 12, "lose_by": "cut" });
        with_deployment(async |deployment| lose_writes(&deployment, &faults).await);
    };
    store_answers_lost_in_silence => {
        let faults = json!({ "lose_after": 6, "lose_by": "hang" });
        with_deployment(async |deployment| lose_writes(&deployment, &faults).await);
    };
    store_writes_lost_before_and_after_effect => {
        let faults = json!({ "lose_before": 6, "lose_after": 6, "lose_by": "cut" });
        with_deployment(async |deployment| lose_writes(&deployment, &faults).await);
    };
}
