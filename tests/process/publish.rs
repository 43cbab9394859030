//! Profiles that are published while operators race, VMs pause and start, and
//! the service is down.

use std::{
    sync::{Arc, Mutex},
    time::Duration,
};

use serde_json::{Value, json};
use tokio::{sync::watch, task::JoinHandle, time::sleep};

use super::{
    answer::assert_whole,
    bed::{Bed, IN_FORCE, PART, WHOLE, profile},
    child::Signal,
    part::Plan,
    run::{case, case_of},
};

/// The time of a pause, longer than the time after which a VM is given up.
const PAUSE: Duration = Duration::from_secs(4);

/// The time between two looks at the revision of each VM.
const LOOK: Duration = Duration::from_millis(30);

/// Profiles that differ from others by their priority.
fn profiles(priority: u32) -> Value {
    json!({ WHOLE: profile(1_000_000, priority), PART: profile(1, priority) })
}

/// Watches that no VM goes back to an earlier revision.
struct Observer {
    stop: watch::Sender<bool>,
    tasks: Vec<JoinHandle<()>>,
    reverted: Arc<Mutex<Vec<String>>>,
}

impl Observer {
    fn start(bed: &Bed, vms: &[usize]) -> Observer {
        let (stop, stopped) = watch::channel(false);
        let reverted = Arc::new(Mutex::new(Vec::new()));
        let tasks = vms
            .iter()
            .map(|&number| {
                let callers = bed.vms[number].place.callers;
                let (caller, stopped) = (bed.caller.clone(), stopped.clone());
                let reverted = Arc::clone(&reverted);
                tokio::spawn(async move {
                    let mut highest = 0;
                    while !*stopped.borrow() {
                        let reply = caller.search(callers, PART, "none").await;
                        let found = reply.ok().and_then(|reply| reply.body["revision"].as_u64());
                        if let Some(found) = found {
                            if found < highest {
                                let text = format!("VM {number}: {highest} to {found}");
                                reverted.lock().unwrap().push(text);
                            }
                            highest = highest.max(found);
                        }
                        sleep(LOOK).await;
                    }
                })
            })
            .collect();
        Observer { stop, tasks, reverted }
    }

    async fn finish(self) {
        self.stop.send_replace(true);
        for task in self.tasks {
            task.await.unwrap();
        }
        let reverted = self.reverted.lock().unwrap();
        assert!(reverted.is_empty(), "revisions went back: {reverted:?}");
    }
}

/// Two operators publish against the same revision through two VMs. One wins;
/// the other is told which revision won, by whom and what differs. Returns the
/// revision that won.
async fn race(bed: &Bed, base: u64, through: [usize; 2]) -> u64 {
    let (ours, theirs) = (profiles(20), profiles(30));
    let (first, second) =
        tokio::join!(bed.publish(through[0], base, &ours), bed.publish(through[1], base, &theirs));
    let (winner, loser) = if first.status.is_success() { (first, second) } else { (second, first) };
    assert!(winner.status.is_success(), "nobody won: {} and {}", winner.body, loser.body);
    assert_eq!(winner.body["outcome"], json!("accepted"));
    assert_eq!(winner.body["revision"], json!(base + 1));
    assert_eq!(loser.body["kind"], json!("revision_conflict"), "{}", loser.body);
    assert_eq!(loser.body["winner"], json!(base + 1), "{}", loser.body);
    let changes = loser.body["changes"].as_array().expect("the difference");
    assert!(changes.iter().any(|change| change["field"] == json!("priority")), "{changes:?}");
    base + 1
}

async fn raced(bed: Bed) {
    let observer = Observer::start(&bed, &[0, 1, 2]);
    for (base, through) in [(1, [0, 1]), (2, [1, 2]), (3, [2, 0])] {
        let revision = race(&bed, base, through).await;
        bed.wait_in_force(&[0, 1, 2], revision, IN_FORCE).await;
    }
    observer.finish().await;
}

/// Publishes while one VM is stopped; the VM has the revision in force within
/// [`IN_FORCE`] after it continues and never goes back.
async fn paused(mut bed: Bed) {
    let observer = Observer::start(&bed, &[0, 1, 2]);
    bed.vms[2].child().signal(Signal::STOP);
    sleep(PAUSE / 2).await;
    let revision = race(&bed, 1, [0, 1]).await;
    bed.wait_in_force(&[0, 1], revision, IN_FORCE).await;
    sleep(PAUSE / 2).await;
    let revision = race(&bed, revision, [1, 0]).await;
    bed.wait_in_force(&[0, 1], revision, IN_FORCE).await;
    bed.vms[2].child().signal(Signal::CONT);
    bed.wait_in_force(&[0, 1, 2], revision, IN_FORCE).await;
    observer.finish().await;
}

/// Publishes while the service loses the answers of writes. What the operator
/// is told is true: accepted and in force, or unsettled with a token that
/// settles it.
async fn answers_lost(bed: Bed) {
    let observer = Observer::start(&bed, &[0, 1, 2]);
    for (base, fault) in [(1, "cut"), (2, "hang")] {
        bed.platform_faults(&json!({ "lose_after": 1, "lose_by": fault })).await;
        let reply = bed.publish(0, base, &profiles(40 + u32::try_from(base).unwrap())).await;
        let reply = if reply.body["kind"] == json!("revision_unsettled") {
            bed.settle(1, &reply.body["token"]).await
        } else {
            reply
        };
        assert!(reply.status.is_success(), "{}", reply.body);
        assert_eq!(reply.body["outcome"], json!("accepted"), "{}", reply.body);
        assert_eq!(reply.body["revision"], json!(base + 1), "{}", reply.body);
        bed.wait_in_force(&[0, 1, 2], base + 1, IN_FORCE).await;
        bed.platform_faults(&json!({})).await;
    }
    observer.finish().await;
}

/// Starts a VM while the service is down: it learns the revision, the VMs and
/// the targets from its peers and takes requests.
async fn joined(mut bed: Bed, number: usize) {
    let reply = bed.publish(0, 1, &profiles(50)).await;
    assert!(reply.status.is_success(), "{}", reply.body);
    let others: Vec<usize> = bed.started().into_iter().filter(|&own| own != number).collect();
    bed.wait_in_force(&others, 2, IN_FORCE).await;
    bed.platform_faults(&json!({ "down": "cut" })).await;
    if others.len() < bed.started().len() {
        bed.vms[number].child().signal(Signal::KILL);
    }
    sleep(Duration::from_secs(1)).await;
    bed.start_vm(number);
    bed.wait_ready(number).await;
    let reply = bed.search(number, WHOLE, "radar").await.unwrap();
    assert_whole(&reply, "radar");
    assert_eq!(reply.body["revision"], json!(2));
}

/// The first two of three listed VMs are started.
fn without_last() -> Plan {
    Plan { started: 2, ..Plan::default() }
}

cases! {
    operators_race => case(raced);
    operators_race_while_a_vm_is_paused => case(paused);
    answers_to_a_publication_are_lost => case(answers_lost);
    vm_restarts_while_the_service_is_down => case(async |bed| joined(bed, 2).await);
    vm_starts_first_while_the_service_is_down => {
        case_of(without_last(), async |bed| joined(bed, 2).await);
    };
}
