//! A request that crashes each target that runs it, sent again and again.

use std::time::Duration;

use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    bed::{Bed, PART, WHOLE},
    load::{Load, searches},
    operation::Operation,
    part::Plan,
    run::case_of,
    verdict,
};

/// The text that crashes the targets.
const MARK: &str = "poison";

/// The targets that one request may crash.
const MAX_CRASHES: u64 = 2;

/// The time for which the load runs before and after the request.
const STEADY: Duration = Duration::from_millis(1500);

/// Three replicas of each of two shards, so that a third could be crashed.
fn plan() -> Plan {
    Plan { shards: 2, replicas: 3, ..Plan::default() }
}

async fn arm(bed: &Bed, targets: &[usize], moment: &str) {
    let crash = json!({ "crash": { "mark": MARK, "moment": moment, "down_ms": 500 } });
    for &number in targets {
        bed.target_faults(number, &crash).await;
    }
}

async fn crashes(bed: &Bed) -> u64 {
    let mut sum = 0;
    for number in 0..bed.targets.len() {
        sum += bed.count(number, "crashes").await;
    }
    sum
}

/// Sends the request through every VM, twice, beside the load of others.
async fn search(bed: &Bed, targets: &[usize]) {
    arm(bed, targets, "midway").await;
    let load = Load::start(bed, &[0, 1, 2], PART);
    sleep(STEADY).await;
    for number in [0, 1, 2, 0, 1, 2] {
        let reply = bed.search(number, WHOLE, MARK).await.unwrap();
        assert!(!reply.status.is_success(), "a request that crashes targets: {}", reply.body);
        assert!(crashes(bed).await <= MAX_CRASHES, "{} targets crashed", crashes(bed).await);
    }
    let last = bed.search(1, WHOLE, MARK).await.unwrap();
    assert_eq!(last.body["kind"], Value::from("quarantined"), "{}", last.body);
    sleep(STEADY).await;
    assert_unharmed(bed, load).await;
}

/// The requests of others are answered, and wholly once the targets are back.
async fn assert_unharmed(bed: &Bed, load: Load) {
    assert!(crashes(bed).await <= MAX_CRASHES, "{} targets crashed", crashes(bed).await);
    let records = load.finish().await;
    verdict::assert_whole(&searches(&records));
    verdict::assert_run_once(bed, &records, &[0, 1, 2], &[]).await;
}

async fn operation(bed: &Bed, moment: &str, runs: u64) {
    let targets: Vec<usize> = (0..bed.targets.len()).collect();
    arm(bed, &targets, moment).await;
    let load = Load::start(bed, &[0, 1, 2], PART);
    sleep(STEADY).await;
    let mut poison = Operation::new(5);
    poison.detail = format!("{MARK} {}", poison.key);
    poison.body["detail"] = json!(poison.detail);
    for number in [0, 1, 2, 0, 1, 2] {
        let reply = bed.operate(number, &poison).await.unwrap();
        assert!(!reply.status.is_success(), "it crashed its target: {}", reply.body);
        let ran = bed.executions().await.get(&poison.detail).copied().unwrap_or(0);
        assert_eq!(ran, runs, "executions of the operation");
        let is_true = ran == 0 || reply.body["ran"] != json!("no");
        assert!(is_true, "it ran: {}", reply.body);
    }
    sleep(STEADY).await;
    assert_unharmed(bed, load).await;
}

cases! {
    search_that_crashes_every_replica_of_a_shard => {
        case_of(plan(), async |bed| search(&bed, &[0, 1, 2]).await);
    };
    search_that_crashes_every_target_of_four_shards => {
        case_of(Plan::default(), async |bed| search(&bed, &[0, 1, 2, 3, 4, 5, 6, 7]).await);
    };
    search_that_crashes_every_target => {
        case_of(plan(), async |bed| search(&bed, &[0, 1, 2, 3, 4, 5]).await);
    };
    operation_that_crashes_its_target_before_effect => {
        case_of(plan(), async |bed| operation(&bed, "midway", 0).await);
    };
    operation_that_crashes_its_target_after_effect => {
        case_of(plan(), async |bed| operation(&bed, "after", 1).await);
    };
}
