//! Targets that are killed, leave or stop answering on open connections.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use super::{
    bed::{Bed, PART, WHOLE},
    child::Signal,
    load::{Load, searches},
    run::case,
    verdict,
};

/// The time for which the load runs before and after a fault.
const STEADY: Duration = Duration::from_millis(1500);

/// The time after which a leaving target gets no new work.
const DRAINED: Duration = Duration::from_secs(2);

/// The time after the loss of a target within which answers must be whole again.
const RECOVERY: Duration = Duration::from_secs(1);

/// Kills one target of a shard and, later, one of another.
async fn killed(bed: Bed) {
    let load = Load::start(&bed, &[0, 1, 2], PART);
    sleep(STEADY).await;
    let mut losses = Vec::new();
    for number in [0, 3] {
        bed.targets[number].child.signal(Signal::KILL);
        losses.push(Instant::now());
        sleep(RECOVERY + STEADY).await;
    }
    let records = load.finish().await;
    verdict::assert_whole_except(&records, &losses, RECOVERY);
}

/// Tells the targets by their own word or by the list that they leave: no
/// request fails and after [`DRAINED`] none gets there.
async fn drained(bed: &Bed, number: usize, by_list: bool) {
    let load = Load::start(bed, &[0, 1, 2], WHOLE);
    sleep(STEADY).await;
    if by_list {
        bed.list_leaving(number).await;
    } else {
        bed.target_faults(number, &json!({ "drain": true })).await;
    }
    sleep(DRAINED).await;
    let before = bed.count(number, "attempts").await;
    let other = bed.count(number ^ 1, "attempts").await;
    assert!(before > 0, "the target had no work before");
    sleep(STEADY).await;
    let after = bed.count(number, "attempts").await;
    assert_eq!(after - before, 0, "{} requests came after {DRAINED:?}", after - before);
    assert!(bed.count(number ^ 1, "attempts").await > other, "the load had ended");
    let records = load.finish().await;
    verdict::assert_whole(&records);
    verdict::assert_run_once(bed, &records, &[0, 1, 2], &[]).await;
}

/// Makes the open connections to some targets silent for good, again and again.
/// Every search is answered wholly within its deadline.
async fn silent(bed: &Bed, targets: &[usize]) {
    let load = Load::start(bed, &[0, 1, 2], WHOLE);
    sleep(STEADY).await;
    for _ in 0..2 {
        for &number in targets {
            bed.target_faults(number, &json!({ "silence": true })).await;
        }
        sleep(STEADY).await;
    }
    let records = load.finish().await;
    verdict::assert_whole(&searches(&records));
    verdict::assert_run_once(bed, &records, &[0, 1, 2], &[]).await;
}

/// Both replicas of a shard are down and come back: answers are truthfully
/// partial meanwhile, and whole again afterwards.
async fn shard_down(bed: Bed) {
    let load = Load::start(&bed, &[0, 1, 2], PART);
    sleep(STEADY).await;
    for number in [2, 3] {
        bed.targets[number].child.signal(Signal::STOP);
    }
    let lost = Instant::now();
    sleep(STEADY).await;
    let reply = bed.search(0, WHOLE, "radar").await.unwrap();
    assert!(!reply.status.is_success(), "a whole answer without a shard: {}", reply.body);
    for number in [2, 3] {
        bed.targets[number].child.signal(Signal::CONT);
    }
    let back = Instant::now();
    sleep(RECOVERY + STEADY).await;
    let records = load.finish().await;
    let window = back.duration_since(lost) + RECOVERY;
    verdict::assert_whole_except(&searches(&records), &[lost], window);
    verdict::assert_run_once(&bed, &records, &[0, 1, 2], &[]).await;
}

cases! {
    targets_killed_under_load => case(killed);
    target_drains_by_its_own_word => case(async |bed| drained(&bed, 0, false).await);
    target_drains_by_the_list => case(async |bed| drained(&bed, 2, true).await);
    connections_to_a_target_go_silent => case(async |bed| silent(&bed, &[0]).await);
    connections_to_every_target_go_silent => {
        case(async |bed| silent(&bed, &[0, 1, 2, 3, 4, 5, 6, 7]).await);
    };
    shard_stopped_and_continued => case(shard_down);
}
