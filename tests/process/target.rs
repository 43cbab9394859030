//! Targets that are killed, drained, stopped or silent on open connections.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use super::{
    child::Signal,
    deployment::{COMPLETE_PROFILE, Deployment, PARTIAL_PROFILE},
    invariant,
    load::{Load, searches},
    runner::with_deployment,
};

/// The time for which the load runs before and after a fault.
const STEADY_PERIOD: Duration = Duration::from_millis(1500);

/// The time after which a leaving target must get no new requests.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

/// The time after the loss of a target within which answers must be complete
/// again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(1);

/// Kills a target of one shard and, once answers are complete again, a target of
/// another shard.
async fn kill_targets(deployment: Deployment) {
    let load = Load::start(&deployment, &[0, 1, 2], PARTIAL_PROFILE);
    sleep(STEADY_PERIOD).await;
    let mut losses = Vec::new();
    for number in [0, 3] {
        deployment.targets[number].child.signal(Signal::KILL);
        losses.push(Instant::now());
        sleep(RECOVERY_LIMIT + STEADY_PERIOD).await;
    }
    let records = load.finish().await;
    invariant::assert_complete_except(&records, &losses, RECOVERY_LIMIT);
}

/// Drains a target, either through the platform's list or by the target's own
/// announcement. No request fails, and none reaches the target after
/// [`DRAIN_LIMIT`].
async fn drain_target(deployment: &Deployment, number: usize, by_list: bool) {
    let load = Load::start(deployment, &[0, 1, 2], COMPLETE_PROFILE);
    sleep(STEADY_PERIOD).await;
    if by_list {
        deployment.list_leaving(number).await;
    } else {
        deployment.set_target_faults(number, &json!({ "drain": true })).await;
    }
    sleep(DRAIN_LIMIT).await;
    let before = deployment.count(number, "attempts").await;
    let other_before = deployment.count(number ^ 1, "attempts").await;
    assert!(before > 0, "the target got no requests before the drain");
    sleep(STEADY_PERIOD).await;
    let after = deployment.count(number, "attempts").await;
    assert_eq!(after - before, 0, "{} requests came after {DRAIN_LIMIT:?}", after - before);
    assert!(deployment.count(number ^ 1, "attempts").await > other_before, "the load had stopped");
    let records = load.finish().await;
    invariant::assert_complete(&records);
    invariant::assert_run_once(deployment, &records, &[0, 1, 2], &[]).await;
}

/// Makes the open connections to some targets permanently silent, twice. Every
/// search is answered completely within its deadline.
async fn silence_connections(deployment: &Deployment, targets: &[usize]) {
    let load = Load::start(deployment, &[0, 1, 2], COMPLETE_PROFILE);
    sleep(STEADY_PERIOD).await;
    for _ in 0..2 {
        for &number in targets {
            deployment.set_target_faults(number, &json!({ "silence": true })).await;
        }
        sleep(STEADY_PERIOD).await;
    }
    let records = load.finish().await;
    invariant::assert_complete(&searches(&records));
    invariant::assert_run_once(deployment, &records, &[0, 1, 2], &[]).await;
}

/// Stops both replicas of a shard and continues them: meanwhile answers are
/// partial and state what is missing; afterwards they are complete again.
async fn stop_shard(deployment: Deployment) {
    let load = Load::start(&deployment, &[0, 1, 2], PARTIAL_PROFILE);
    sleep(STEADY_PERIOD).await;
    for number in [2, 3] {
        deployment.targets[number].child.signal(Signal::STOP);
    }
    let lost = Instant::now();
    sleep(STEADY_PERIOD).await;
    let reply = deployment.search(0, COMPLETE_PROFILE, "radar").await.unwrap();
    assert!(!reply.status.is_success(), "a complete answer without a shard: {}", reply.body);
    for number in [2, 3] {
        deployment.targets[number].child.signal(Signal::CONT);
    }
    let continued = Instant::now();
    sleep(RECOVERY_LIMIT + STEADY_PERIOD).await;
    let records = load.finish().await;
    let window = continued.duration_since(lost) + RECOVERY_LIMIT;
    invariant::assert_complete_except(&searches(&records), &[lost], window);
    invariant::assert_run_once(&deployment, &records, &[0, 1, 2], &[]).await;
}

cases! {
    targets_killed_under_load => with_deployment(kill_targets);
    target_drains_by_its_own_announcement => with_deployment(async |deployment| {
        drain_target(&deployment, 0, false).await
    });
    target_drains_by_the_list => with_deployment(async |deployment| {
        drain_target(&deployment, 2, true).await
    });
    connections_to_a_target_go_silent => with_deployment(async |deployment| {
        silence_connections(&deployment, &[0]).await
    });
    connections_to_every_target_go_silent => {
        with_deployment(async |deployment| {
            silence_connections(&deployment, &[0, 1, 2, 3, 4, 5, 6, 7]).await
        });
    };
    shard_stopped_and_continued => with_deployment(stop_shard);
}
