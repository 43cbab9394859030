//! Invariants over all answers of a load or of a batch of operations.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use laburnumworks::local::caller::Reply;

use super::{
    deployment::{Deployment, Outcome},
    load::Record,
    operation::Operation,
};

/// The minimum number of requests for the result of a check to be meaningful.
const MIN_REQUESTS: usize = 50;

/// The number of failures that a panic message lists.
const MAX_FAILURES_SHOWN: usize = 6;

/// Asserts that every record passes `check`.
pub fn assert_all(records: &[&Record], check: impl Fn(&Record) -> Result<(), String>) {
    assert!(records.len() >= MIN_REQUESTS, "only {} requests were sent", records.len());
    let start = records[0].sent;
    let failures: Vec<String> = records
        .iter()
        .filter_map(|record| {
            let detail = check(record).err()?;
            let (at, took) = (record.sent.duration_since(start), record.took);
            Some(format!("VM {} at {at:?}, {took:?}: {:?}: {detail}", record.vm, record.request))
        })
        .collect();
    let (count, all) = (failures.len(), records.len());
    let shown = failures.into_iter().take(MAX_FAILURES_SHOWN).collect::<Vec<_>>().join("\n");
    assert!(count == 0, "{count} of {all} requests failed:\n{shown}");
}

/// Asserts that every request got a complete answer.
pub fn assert_complete(records: &[Record]) {
    let records: Vec<&Record> = records.iter().collect();
    assert_all(&records, |record| match record.check() {
        Ok(true) => Ok(()),
        Ok(false) => Err("partial".to_owned()),
        Err(detail) => Err(detail),
    });
}

/// What the answer to an operation states about its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Execution {
    Ran,
    /// No part of the operation ran.
    NotRun,
    /// The operation may have run.
    Unknown,
}

fn stated_execution(outcome: &Outcome) -> Execution {
    match outcome {
        Ok(reply) if reply.status.is_success() => Execution::Ran,
        Ok(reply) => match reply.body["ran"].as_str() {
            Some("no") => Execution::NotRun,
            Some("yes") => Execution::Ran,
            _ => Execution::Unknown,
        },
        Err(_) => Execution::Unknown,
    }
}

/// Returns whether the answer states that this request was not run. If its claim is
/// unsettled, that is so although an earlier request with the key may have run.
fn is_not_run(outcome: &Outcome) -> bool {
    let is_unsettled = |reply: &Reply| reply.body["kind"] == "claim_unsettled";
    stated_execution(outcome) == Execution::NotRun || outcome.as_ref().is_ok_and(is_unsettled)
}

/// Returns whether an operation was refused and may have been run by this request.
/// False for searches and for requests without an answer.
pub fn may_have_run(record: &Record) -> bool {
    let is_refusal = record.outcome.as_ref().is_ok_and(|reply| !reply.status.is_success());
    record.operation().is_some()
        && is_refusal
        && stated_execution(&record.outcome) == Execution::Unknown
        && !is_not_run(&record.outcome)
}

/// Asserts that each operation ran at most once, and exactly once if its answer
/// states that it ran.
pub async fn assert_consistent(
    deployment: &Deployment,
    operations: &[Operation],
    outcomes: &[Outcome],
) {
    let executions = deployment.executions().await;
    for (operation, outcome) in operations.iter().zip(outcomes) {
        let runs = count_runs(&executions, operation);
        assert!(runs <= 1, "{} ran {runs} times", operation.detail);
        let is_consistent = stated_execution(outcome) != Execution::Ran || runs == 1;
        assert!(is_consistent, "{} ran {runs} times: {}", operation.detail, answer_text(outcome));
    }
}

fn count_runs(executions: &BTreeMap<String, u64>, operation: &Operation) -> u64 {
    executions.get(&operation.detail).copied().unwrap_or(0)
}

fn answer_text(outcome: &Outcome) -> String {
    match outcome {
        Ok(reply) => reply.body.to_string(),
        Err(detail) => detail.clone(),
    }
}

/// Sends operations again through each of the VMs, asserts that none runs twice
/// and that none that ran before is answered as not run, and returns the outcomes
/// from the last VM.
pub async fn assert_resent(
    deployment: &Deployment,
    vms: &[usize],
    operations: &[Operation],
) -> Vec<Outcome> {
    let mut last = Vec::new();
    for &number in vms {
        let before = deployment.executions().await;
        last = deployment.send_spaced(number, operations).await.unwrap();
        assert_consistent(deployment, operations, &last).await;
        for (operation, outcome) in operations.iter().zip(&last) {
            let ran_before = count_runs(&before, operation) > 0;
            let is_consistent = !ran_before || stated_execution(outcome) != Execution::NotRun;
            assert!(is_consistent, "{} ran before: {}", operation.detail, answer_text(outcome));
        }
    }
    last
}

/// Asserts that each operation of a load ran at most once and as its answer
/// states, and that one which was not run does run when it is sent again through
/// `vms`. An operation that ran is then answered with its recorded result, unless
/// its entry VM is in `lost`: that VM may not have recorded the outcome.
pub async fn assert_run_once(
    deployment: &Deployment,
    records: &[Record],
    vms: &[usize],
    lost: &[usize],
) {
    let records: Vec<&Record> =
        records.iter().filter(|record| record.operation().is_some()).collect();
    let (operations, outcomes): (Vec<Operation>, Vec<Outcome>) = records
        .iter()
        .filter_map(|record| Some((record.operation()?.clone(), record.outcome.clone())))
        .unzip();
    assert!(!operations.is_empty(), "the load has no operations");
    assert_consistent(deployment, &operations, &outcomes).await;
    let executions = deployment.executions().await;
    for (operation, outcome) in operations.iter().zip(&outcomes) {
        let is_consistent = !is_not_run(outcome) || count_runs(&executions, operation) == 0;
        assert!(is_consistent, "{} ran: {}", operation.detail, answer_text(outcome));
    }
    let again = assert_resent(deployment, vms, &operations).await;
    for (record, last) in records.iter().zip(&again) {
        let is_settled = match stated_execution(last) {
            Execution::Ran => true,
            Execution::NotRun => false,
            Execution::Unknown => {
                let is_unknown = stated_execution(&record.outcome) == Execution::Unknown;
                (is_unknown && !is_not_run(&record.outcome)) || lost.contains(&record.vm)
            }
        };
        let answers = (answer_text(&record.outcome), answer_text(last));
        assert!(is_settled, "{:?} through VM {}: {answers:?}", record.request, record.vm);
    }
}

/// Asserts that an operation was refused because its claim could not be settled, which
/// leaves open whether an earlier request with the key ran.
pub fn assert_unsettled(operation: &Operation, outcome: &Outcome) {
    let stated = (is_not_run(outcome), stated_execution(outcome));
    let expected = (true, Execution::Unknown);
    assert_eq!(stated, expected, "{}: {}", operation.detail, answer_text(outcome));
}

/// Asserts that each operation was answered with its result and ran once.
pub async fn assert_ran(deployment: &Deployment, operations: &[Operation], outcomes: &[Outcome]) {
    for (operation, outcome) in operations.iter().zip(outcomes) {
        let is_done = outcome.as_ref().is_ok_and(|reply| reply.status.is_success());
        assert!(is_done, "{}: {}", operation.detail, answer_text(outcome));
    }
    assert_consistent(deployment, operations, outcomes).await;
}

/// Asserts that every request was answered correctly, and completely unless it
/// was affected by one of the losses: in flight at the time of the loss or sent
/// within `window` after it.
pub fn assert_complete_except(records: &[Record], losses: &[Instant], window: Duration) {
    let records: Vec<&Record> = records.iter().collect();
    assert_all(&records, |record| {
        let is_affected =
            |&lost: &Instant| record.sent < lost + window && record.sent + record.took > lost;
        match record.check() {
            Ok(true) => Ok(()),
            Ok(false) if losses.iter().any(is_affected) => Ok(()),
            Ok(false) => Err("partial".to_owned()),
            // The outcome of an operation is unknown if it may have run on what was lost.
            Err(_) if losses.iter().any(is_affected) && may_have_run(record) => Ok(()),
            Err(detail) => Err(detail),
        }
    });
}
