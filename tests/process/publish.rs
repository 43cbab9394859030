//! Profiles that are published while operators race, VMs pause and start, and
//! the platform's service is down.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use super::{
    answer::assert_complete,
    child::Signal,
    deployment::{COMPLETE_PROFILE, Deployment, IN_FORCE_LIMIT, PARTIAL_PROFILE, profile},
    part::Plan,
    runner::{with_deployment, with_plan},
};

/// How long a VM is paused: longer than the time after which a silent VM is given
/// up.
const PAUSE_DURATION: Duration = Duration::from_secs(4);

/// The interval between reads of the revision of each VM.
const POLL_INTERVAL: Duration = Duration::from_millis(30);

/// Both profiles with the given priority, by which publications differ.
fn profiles(priority: u32) -> Value {
    json!({ COMPLETE_PROFILE: profile(1_000_000, priority), PARTIAL_PROFILE: profile(1, priority) })
}

/// Reads the revision of VMs continuously to detect one that goes back to an
/// earlier revision.
struct RevisionMonitor {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
    regressions: Arc<Mutex<Vec<String>>>,
}

impl RevisionMonitor {
    fn start(deployment: &Deployment, vms: &[usize]) -> RevisionMonitor {
        let (stop, stopped) = watch::channel(false);
        let regressions = Arc::new(Mutex::new(Vec::new()));
        let tasks = vms
            .iter()
            .map(|&number| {
                let callers = deployment.vms[number].endpoints.callers;
                let (caller, stopped) = (deployment.caller.clone(), stopped.clone());
                let regressions = Arc::clone(&regressions);
                tokio::spawn(async move {
                    let mut highest = 0;
                    while !*stopped.borrow() {
                        let reply = caller.search(callers, PARTIAL_PROFILE, "none").await;
                        let found = reply.ok().and_then(|reply| reply.body["revision"].as_u64());
                        if let Some(found) = found {
                            if found < highest {
                                let text = format!("VM {number}: {highest} to {found}");
                                regressions.lock().unwrap().push(text);
                            }
                            highest = highest.max(found);
                        }
                        sleep(POLL_INTERVAL).await;
                    }
                })
            })
            .collect();
        RevisionMonitor { stop, tasks, regressions }
    }

    async fn finish(self) {
        self.stop.send_replace(true);
        for task in self.tasks {
            task.await.unwrap();
        }
        let regressions = self.regressions.lock().unwrap();
        assert!(regressions.is_empty(), "revisions went back: {regressions:?}");
    }
}

/// Publishes two documents on the same base revision through two VMs. One wins;
/// the refusal of the other states the winning revision and what differs. Returns
/// the winning revision.
async fn race(deployment: &Deployment, base: u64, through: [usize; 2]) -> u64 {
    let (ours, theirs) = (profiles(20), profiles(30));
    let (first, second) = tokio::join!(
        deployment.publish(through[0], base, &ours),
        deployment.publish(through[1], base, &theirs)
    );
    let (winner, loser) = if first.status.is_success() { (first, second) } else { (second, first) };
    assert!(
        winner.status.is_success(),
        "both publications failed: {} and {}",
        winner.body,
        loser.body
    );
    assert_eq!(winner.body["outcome"], json!("accepted"));
    assert_eq!(winner.body["revision"], json!(base + 1));
    assert_eq!(loser.body["kind"], json!("revision_conflict"), "{}", loser.body);
    assert_eq!(loser.body["winner"], json!(base + 1), "{}", loser.body);
    let changes = loser.body["changes"].as_array().expect("the difference");
    assert!(changes.iter().any(|change| change["field"] == json!("priority")), "{changes:?}");
    base + 1
}

async fn race_in_turn(deployment: Deployment) {
    let monitor = RevisionMonitor::start(&deployment, &[0, 1, 2]);
    for (base, through) in [(1, [0, 1]), (2, [1, 2]), (3, [2, 0])] {
        let revision = race(&deployment, base, through).await;
        deployment.wait_in_force(&[0, 1, 2], revision, IN_FORCE_LIMIT).await;
    }
    monitor.finish().await;
}

/// Publishes while one VM is stopped; the VM has the revision in force within
/// [`IN_FORCE_LIMIT`] after it continues and never goes back.
async fn race_while_vm_is_paused(mut deployment: Deployment) {
    let monitor = RevisionMonitor::start(&deployment, &[0, 1, 2]);
    deployment.vms[2].child().signal(Signal::STOP);
    sleep(PAUSE_DURATION / 2).await;
    let revision = race(&deployment, 1, [0, 1]).await;
    deployment.wait_in_force(&[0, 1], revision, IN_FORCE_LIMIT).await;
    sleep(PAUSE_DURATION / 2).await;
    let revision = race(&deployment, revision, [1, 0]).await;
    deployment.wait_in_force(&[0, 1], revision, IN_FORCE_LIMIT).await;
    deployment.vms[2].child().signal(Signal::CONT);
    deployment.wait_in_force(&[0, 1, 2], revision, IN_FORCE_LIMIT).await;
    monitor.finish().await;
}

/// Publishes while the platform's service loses the answers of writes. The
/// operator gets a correct answer: either accepted, or unsettled with a token that
/// settles the publication.
async fn publish_with_lost_answers(deployment: Deployment) {
    let monitor = RevisionMonitor::start(&deployment, &[0, 1, 2]);
    for (base, fault) in [(1, "cut"), (2, "hang")] {
        deployment.set_platform_faults(&json!({ "lose_after": 1, "lose_by": fault })).await;
        let reply = deployment.publish(0, base, &profiles(40 + u32::try_from(base).unwrap())).await;
        let reply = if reply.body["kind"] == json!("revision_unsettled") {
            deployment.settle(1, &reply.body["token"]).await
        } else {
            reply
        };
        assert!(reply.status.is_success(), "{}", reply.body);
        assert_eq!(reply.body["outcome"], json!("accepted"), "{}", reply.body);
        assert_eq!(reply.body["revision"], json!(base + 1), "{}", reply.body);
        deployment.wait_in_force(&[0, 1, 2], base + 1, IN_FORCE_LIMIT).await;
        deployment.set_platform_faults(&json!({})).await;
    }
    monitor.finish().await;
}

/// Starts a VM while the platform's service is down: the VM learns the revision,
/// the VMs and the targets from its peers and accepts requests.
async fn start_vm_during_outage(mut deployment: Deployment, number: usize) {
    let reply = deployment.publish(0, 1, &profiles(50)).await;
    assert!(reply.status.is_success(), "{}", reply.body);
    let others: Vec<usize> =
        deployment.started().into_iter().filter(|&own| own != number).collect();
    deployment.wait_in_force(&others, 2, IN_FORCE_LIMIT).await;
    deployment.set_platform_faults(&json!({ "down": "cut" })).await;
    if others.len() < deployment.started().len() {
        deployment.vms[number].child().signal(Signal::KILL);
    }
    sleep(Duration::from_secs(1)).await;
    deployment.start_vm(number);
    deployment.wait_ready(number).await;
    let reply = deployment.search(number, COMPLETE_PROFILE, "radar").await.unwrap();
    assert_complete(&reply, "radar");
    assert_eq!(reply.body["revision"], json!(2));
}

/// Three listed VMs, of which the first two are started.
fn last_vm_not_started() -> Plan {
    Plan { started: 2, ..Plan::default() }
}

cases! {
    operators_race => with_deployment(race_in_turn);
    operators_race_while_a_vm_is_paused => with_deployment(race_while_vm_is_paused);
    answers_to_a_publication_are_lost => with_deployment(publish_with_lost_answers);
    vm_restarts_while_the_service_is_down => with_deployment(async |deployment| {
        start_vm_during_outage(deployment, 2).await
    });
    vm_starts_first_while_the_service_is_down => {
        with_plan(last_vm_not_started(), async |deployment| {
            start_vm_during_outage(deployment, 2).await
        });
    };
}
