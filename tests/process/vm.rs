//! VMs that are killed, paused or told to leave while requests run.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use super::{
    bed::{Bed, PART, START, WHOLE},
    child::Signal,
    load::{Load, Record},
    operation::Operation,
    part::Plan,
    run::{case, case_of},
    verdict,
};

/// The time after the loss of a VM within which answers must be whole again.
const RECOVERY: Duration = Duration::from_secs(1);

/// The time for which the load runs before and after a fault.
const STEADY: Duration = Duration::from_millis(1500);

/// The time of a pause: longer than every limit after which a silent VM or a
/// waiting operation is given up, which are 5 s at most.
const PAUSE: Duration = Duration::from_secs(7);

/// The time within which a VM that is told to leave must have ended: the time
/// that it announces its leaving, and the longest deadline.
const LEAVE: Duration = Duration::from_secs(10);

/// Kills a VM under load. Every request through the others is answered, with
/// the rows of one snapshot, and wholly again within [`RECOVERY`].
async fn killed(mut bed: Bed) {
    let load = Load::start(&bed, &[0, 1, 2], PART);
    sleep(STEADY).await;
    bed.vms[0].child().signal(Signal::KILL);
    let lost = Instant::now();
    sleep(RECOVERY + STEADY).await;
    let records = load.finish().await;
    assert_recovered(&records, 0, lost);
    verdict::assert_run_once(&bed, &records, &[1, 2], &[0]).await;
}

/// Asserts that each request through the VMs other than `vm` was answered, and
/// wholly unless it was sent within [`RECOVERY`] after the loss of that VM.
fn assert_recovered(records: &[Record], vm: usize, lost: Instant) {
    let others: Vec<Record> = records.iter().filter(|record| record.vm != vm).cloned().collect();
    verdict::assert_whole_except(&others, &[lost], RECOVERY);
}

/// Kills a VM and starts it again at its place.
async fn replaced(mut bed: Bed) {
    let load = Load::start(&bed, &[1, 2], PART);
    sleep(STEADY).await;
    bed.vms[0].child().signal(Signal::KILL);
    let lost = Instant::now();
    bed.vms[0].child().wait_exit(START).await;
    bed.start_vm(0);
    bed.wait_ready(0).await;
    let reply = bed.search(0, WHOLE, "radar").await.unwrap();
    super::answer::assert_whole(&reply, "radar");
    assert_eq!(reply.body["revision"], json!(1));
    sleep(RECOVERY + STEADY).await;
    let records = load.finish().await;
    assert_recovered(&records, 0, lost);
    verdict::assert_run_once(&bed, &records, &[0, 1, 2], &[]).await;
}

/// Stops a VM for longer than any limit while it holds operations, sends them
/// again through the others, and continues it.
async fn paused(mut bed: Bed) {
    slow_down(&bed).await;
    let load = Load::start(&bed, &[1, 2], PART);
    sleep(STEADY).await;
    let operations: Vec<Operation> = (0..48).map(Operation::new).collect();
    let first = bed.send_in_turn(0, &operations);
    sleep(Duration::from_millis(100)).await;
    bed.vms[0].child().signal(Signal::STOP);
    let lost = Instant::now();
    verdict::assert_resent(&bed, &[1, 2], &operations).await;
    sleep((lost + PAUSE).saturating_duration_since(Instant::now())).await;
    bed.vms[0].child().signal(Signal::CONT);
    let answers = first.await.unwrap();
    verdict::assert_true(&bed, &operations, &answers).await;
    bed.wait_ready(0).await;
    let records = load.finish().await;
    assert_recovered(&records, 0, lost);
    verdict::assert_resent(&bed, &[0, 1, 2], &operations).await;
    verdict::assert_run_once(&bed, &records, &[0, 1, 2], &[]).await;
}

/// Slows the targets down, so that requests are in flight at any moment.
async fn slow_down(bed: &Bed) {
    for number in 0..bed.targets.len() {
        bed.target_faults(number, &json!({ "slow_factor": 10.0 })).await;
    }
}

/// Tells one VM after the other to leave, under load, and starts each again.
/// No request fails and each VM ends by itself.
async fn rolled(mut bed: Bed) {
    slow_down(&bed).await;
    let load = Load::start(&bed, &[0, 1, 2], WHOLE);
    sleep(STEADY).await;
    for number in [0, 1] {
        bed.vms[number].child().signal(Signal::TERM);
        let status = bed.vms[number].child().wait_exit(LEAVE).await;
        assert!(status.success(), "VM {number} ended with {status}");
        bed.start_vm(number);
        bed.wait_ready(number).await;
    }
    sleep(STEADY).await;
    let records = load.finish().await;
    verdict::assert_whole(&records);
    verdict::assert_run_once(&bed, &records, &[0, 1, 2], &[]).await;
}

/// Tells a VM to leave while another one is killed.
async fn left_and_killed(mut bed: Bed) {
    let load = Load::start(&bed, &[1, 2], PART);
    sleep(STEADY).await;
    bed.vms[1].child().signal(Signal::TERM);
    sleep(RECOVERY / 4).await;
    bed.vms[0].child().signal(Signal::KILL);
    let lost = Instant::now();
    let status = bed.vms[1].child().wait_exit(LEAVE).await;
    assert!(status.success(), "VM 1 ended with {status}");
    sleep(STEADY).await;
    let records = load.finish().await;
    assert_recovered(&records, 0, lost);
    verdict::assert_run_once(&bed, &records, &[2], &[0]).await;
}

/// Every VM has two traffic threads, which share its address for callers.
fn two_threads() -> Plan {
    Plan { threads: 2, ..Plan::default() }
}

cases! {
    vm_killed_under_load => case(killed);
    vm_replaced_under_load => case(replaced);
    vm_paused_with_operations_in_flight => case(paused);
    vms_leave_in_turn_under_load => case(rolled);
    vms_with_two_traffic_threads_leave_in_turn => case_of(two_threads(), rolled);
    vm_with_two_traffic_threads_is_killed => case_of(two_threads(), killed);
    vm_leaves_while_another_is_killed => case(left_and_killed);
}
