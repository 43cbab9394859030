//! VMs that are killed, paused or shut down while requests run.

use std::time::{Duration, Instant};

use serde_json::json;
use tokio::time::sleep;

use super::{
    child::Signal,
    deployment::{COMPLETE_PROFILE, Deployment, PARTIAL_PROFILE, START_LIMIT},
    invariant,
    load::{Load, Record},
    operation::Operation,
    part::Plan,
    runner::{with_deployment, with_plan},
};

/// The time after the loss of a VM within which answers must be complete again.
const RECOVERY_LIMIT: Duration = Duration::from_secs(1);

/// The time for which the load runs before and after a fault.
const STEADY_PERIOD: Duration = Duration::from_millis(1500);

/// How long a VM is paused: longer than every limit after which a silent VM or a
/// waiting operation is given up. The longest of these limits is 5 s.
const PAUSE_DURATION: Duration = Duration::from_secs(7);

/// The time within which a VM must exit after SIGTERM: the time for which it
/// announces that it leaves, plus the longest deadline.
const LEAVE_LIMIT: Duration = Duration::from_secs(10);

/// Kills a VM under load. Every request through the others is answered with the
/// rows of one snapshot, and completely again after [`RECOVERY_LIMIT`].
async fn kill_vm(mut deployment: Deployment) {
    let load = Load::start(&deployment, &[0, 1, 2], PARTIAL_PROFILE);
    sleep(STEADY_PERIOD).await;
    deployment.vms[0].child().signal(Signal::KILL);
    let lost = Instant::now();
    sleep(RECOVERY_LIMIT + STEADY_PERIOD).await;
    let records = load.finish().await;
    assert_recovered(&records, 0, lost);
    invariant::assert_run_once(&deployment, &records, &[1, 2], &[0]).await;
}

/// Asserts that each request through the VMs other than `vm` was answered, and
/// completely unless it was in flight when that VM was lost or sent within
/// [`RECOVERY_LIMIT`] after that.
fn assert_recovered(records: &[Record], vm: usize, lost: Instant) {
    let others: Vec<Record> = records.iter().filter(|record| record.vm != vm).cloned().collect();
    invariant::assert_complete_except(&others, &[lost], RECOVERY_LIMIT);
}

/// Kills a VM and starts it again with the same name and addresses.
async fn replace_vm(mut deployment: Deployment) {
    let load = Load::start(&deployment, &[1, 2], PARTIAL_PROFILE);
    sleep(STEADY_PERIOD).await;
    deployment.vms[0].child().signal(Signal::KILL);
    let lost = Instant::now();
    deployment.vms[0].child().wait_exit(START_LIMIT).await;
    deployment.start_vm(0);
    deployment.wait_ready(0).await;
    let reply = deployment.search(0, COMPLETE_PROFILE, "radar").await.unwrap();
    super::answer::assert_complete(&reply, "radar");
    assert_eq!(reply.body["revision"], json!(1));
    sleep(RECOVERY_LIMIT + STEADY_PERIOD).await;
    let records = load.finish().await;
    assert_recovered(&records, 0, lost);
    invariant::assert_run_once(&deployment, &records, &[0, 1, 2], &[]).await;
}

/// Pauses a VM for longer than any limit while operations are in flight on it,
/// sends them again through the others, and continues the VM.
async fn pause_vm(mut deployment: Deployment) {
    slow_targets_down(&deployment).await;
    let load = Load::start(&deployment, &[1, 2], PARTIAL_PROFILE);
    sleep(STEADY_PERIOD).await;
    let operations: Vec<Operation> = (0..48).map(Operation::new).collect();
    let first = deployment.send_spaced(0, &operations);
    sleep(Duration::from_millis(100)).await;
    deployment.vms[0].child().signal(Signal::STOP);
    let lost = Instant::now();
    invariant::assert_resent(&deployment, &[1, 2], &operations).await;
    sleep((lost + PAUSE_DURATION).saturating_duration_since(Instant::now())).await;
    deployment.vms[0].child().signal(Signal::CONT);
    let answers = first.await.unwrap();
    invariant::assert_consistent(&deployment, &operations, &answers).await;
    deployment.wait_ready(0).await;
    let records = load.finish().await;
    assert_recovered(&records, 0, lost);
    invariant::assert_resent(&deployment, &[0, 1, 2], &operations).await;
    invariant::assert_run_once(&deployment, &records, &[0, 1, 2], &[]).await;
}

/// Slows the targets down so that requests are in flight at any time.
async fn slow_targets_down(deployment: &Deployment) {
    for number in 0..deployment.targets.len() {
        deployment.set_target_faults(number, &json!({ "slow_factor": 10.0 })).await;
    }
}

/// Shuts two VMs down one after the other under load and starts each again. No
/// request fails and each VM exits with success.
async fn rolling_restart(mut deployment: Deployment) {
    slow_targets_down(&deployment).await;
    let load = Load::start(&deployment, &[0, 1, 2], COMPLETE_PROFILE);
    sleep(STEADY_PERIOD).await;
    for number in [0, 1] {
        deployment.vms[number].child().signal(Signal::TERM);
        let status = deployment.vms[number].child().wait_exit(LEAVE_LIMIT).await;
        assert!(status.success(), "VM {number} exited with {status}");
        deployment.start_vm(number);
        deployment.wait_ready(number).await;
    }
    sleep(STEADY_PERIOD).await;
    let records = load.finish().await;
    invariant::assert_complete(&records);
    invariant::assert_run_once(&deployment, &records, &[0, 1, 2], &[]).await;
}

/// Kills a VM while another one shuts down.
async fn kill_vm_while_another_leaves(mut deployment: Deployment) {
    let load = Load::start(&deployment, &[1, 2], PARTIAL_PROFILE);
    sleep(STEADY_PERIOD).await;
    deployment.vms[1].child().signal(Signal::TERM);
    sleep(RECOVERY_LIMIT / 4).await;
    deployment.vms[0].child().signal(Signal::KILL);
    let lost = Instant::now();
    let status = deployment.vms[1].child().wait_exit(LEAVE_LIMIT).await;
    assert!(status.success(), "VM 1 exited with {status}");
    sleep(STEADY_PERIOD).await;
    let records = load.finish().await;
    assert_recovered(&records, 0, lost);
    invariant::assert_run_once(&deployment, &records, &[2], &[0]).await;
}

/// A deployment whose VMs have two traffic threads each, which share the VM's
/// address for callers.
fn two_threads() -> Plan {
    Plan { threads: 2, ..Plan::default() }
}

cases! {
    vm_killed_under_load => with_deployment(kill_vm);
    vm_replaced_under_load => with_deployment(replace_vm);
    vm_paused_with_operations_in_flight => with_deployment(pause_vm);
    vms_leave_in_turn_under_load => with_deployment(rolling_restart);
    vms_with_two_traffic_threads_leave_in_turn => with_plan(two_threads(), rolling_restart);
    vm_with_two_traffic_threads_is_killed => with_plan(two_threads(), kill_vm);
    vm_leaves_while_another_is_killed => with_deployment(kill_vm_while_another_leaves);
}
