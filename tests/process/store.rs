//! The platform's service down, or losing its answers, while requests run.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    bed::{Bed, WHOLE},
    load::{Load, searches},
    operation::Operation,
    run::case,
    verdict,
};

/// The time for which the load runs before and after a fault.
const STEADY: Duration = Duration::from_secs(1);

/// The time for which the service is down.
const OUTAGE: Duration = Duration::from_secs(3);

/// The time after the end of an outage within which operations run again.
const RECOVERY: Duration = Duration::from_secs(1);

/// The tries of each operation whose writes are lost.
const MAX_TRIES: usize = 4;

/// Takes the service away for a time. Searches go on wholly; operations are
/// refused, nothing of them runs, and they run once when it is back.
async fn outage(bed: &Bed, failure: &str) {
    let load = Load::start(bed, &[0, 1, 2], WHOLE);
    sleep(STEADY).await;
    bed.platform_faults(&json!({ "down": failure })).await;
    sleep(STEADY).await;
    let operations: Vec<Operation> = (0..12).map(Operation::new).collect();
    let refused = bed.send_in_turn(1, &operations).await.unwrap();
    for (operation, outcome) in operations.iter().zip(&refused) {
        verdict::assert_not_run(operation, outcome);
    }
    let executions = bed.executions().await;
    assert!(operations.iter().all(|own| !executions.contains_key(&own.detail)), "{executions:?}");
    sleep(OUTAGE.saturating_sub(STEADY)).await;
    bed.platform_faults(&json!({})).await;
    sleep(RECOVERY).await;
    let ran = bed.send_in_turn(2, &operations).await.unwrap();
    verdict::assert_ran(bed, &operations, &ran).await;
    sleep(STEADY).await;
    let records = load.finish().await;
    verdict::assert_whole(&searches(&records));
    verdict::assert_run_once(bed, &records, &[0, 1, 2], &[]).await;
}

/// Loses the answers of writes that took effect, or the writes. Each operation
/// is sent again with its key until it is done, through each VM in turn, and
/// runs once.
async fn lost(bed: &Bed, faults: &Value) {
    let load = Load::start(bed, &[0, 1, 2], WHOLE);
    sleep(STEADY).await;
    bed.platform_faults(faults).await;
    let operations: Vec<Operation> = (0..24).map(Operation::new).collect();
    let mut waiting = operations.clone();
    for attempt in 0..MAX_TRIES {
        let outcomes = bed.send_in_turn(attempt % 3, &waiting).await.unwrap();
        verdict::assert_true(bed, &waiting, &outcomes).await;
        waiting = waiting
            .into_iter()
            .zip(&outcomes)
            .filter(|(_, outcome)| !outcome.as_ref().is_ok_and(|reply| reply.status.is_success()))
            .map(|(operation, _)| operation)
            .collect();
        sleep(STEADY).await;
    }
    bed.platform_faults(&json!({})).await;
    sleep(RECOVERY).await;
    let ran = bed.send_in_turn(0, &operations).await.unwrap();
    verdict::assert_ran(bed, &operations, &ran).await;
    let records = load.finish().await;
    verdict::assert_whole(&searches(&records));
    verdict::assert_run_once(bed, &records, &[0, 1, 2], &[]).await;
}

cases! {
    store_down_and_cutting_connections => case(async |bed| outage(&bed, "cut").await);
    store_down_and_silent => case(async |bed| outage(&bed, "hang").await);
    store_refusing_every_call => case(async |bed| outage(&bed, "refuse").await);
    store_answers_lost_after_effect => {
        let faults = json!({ "lose_after": 12, "lose_by": "cut" });
        case(async |bed| lost(&bed, &faults).await);
    };
    store_answers_lost_in_silence => {
        let faults = json!({ "lose_after": 6, "lose_by": "hang" });
        case(async |bed| lost(&bed, &faults).await);
    };
    store_writes_lost_before_and_after_effect => {
        let faults = json!({ "lose_before": 6, "lose_after": 6, "lose_by": "cut" });
        case(async |bed| lost(&bed, &faults).await);
    };
}
