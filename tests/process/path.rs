//! Single requests through separate processes: every VM gives complete answers,
//! and a clearance that is sent to all of them runs once.

use std::{
    process::{Command, Output},
    time::Duration,
};

use laburnumworks::local::caller::Reply;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    answer::assert_complete,
    child::BINARY,
    deployment::{COMPLETE_PROFILE, Deployment},
    operation::Operation,
    runner::with_deployment,
};

async fn search_each_vm(deployment: Deployment) {
    for number in deployment.started() {
        for text in ["maritime", "uhf", "licence 0000", "nothing has this"] {
            let reply = deployment.search(number, COMPLETE_PROFILE, text).await.unwrap();
            assert_complete(&reply, text);
        }
    }
}

async fn operate_each_vm(deployment: Deployment) {
    let operation = Operation::new(42);
    let mut results = Vec::new();
    for number in deployment.started() {
        let reply = operate_until_settled(&deployment, number, &operation).await;
        assert!(reply.status.is_success(), "through VM {number}: {}", reply.body);
        assert_eq!(reply.body["replayed"], json!(number > 0));
        results.push(reply.body["result"].clone());
    }
    assert!(results.iter().all(|result| *result == results[0]), "{results:?}");
    assert_eq!(deployment.executions().await.get(&operation.detail), Some(&1));
}

/// Sends an operation, and once more if the outcome of its earlier execution was
/// not recorded yet.
async fn operate_until_settled(
    deployment: &Deployment,
    number: usize,
    operation: &Operation,
) -> Reply {
    let reply = deployment.operate(number, operation).await.unwrap();
    if reply.body["kind"] != "outcome_unknown" {
        return reply;
    }
    assert_eq!(reply.body["ran"], json!("unknown"), "{}", reply.body);
    let after = reply.body["retry"]["after_ms"].as_u64().unwrap();
    sleep(Duration::from_millis(after)).await;
    deployment.operate(number, operation).await.unwrap()
}

/// Runs the `query` subcommand on a blocking thread and returns its output.
async fn run_query(arguments: &[&str]) -> Output {
    let mut command = Command::new(BINARY);
    command.arg("query").args(arguments);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

async fn query_command(deployment: Deployment) {
    let entry = deployment.vms[1].endpoints.callers.to_string();
    let output = run_query(&["--entry", &entry, "--profile", COMPLETE_PROFILE, "maritime"]).await;
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let expected = deployment.search(1, COMPLETE_PROFILE, "maritime").await.unwrap();
    for row in expected.body["rows"].as_array().unwrap() {
        let line = format!("{} {}", row["key"].as_str().unwrap(), row["body"].as_str().unwrap());
        assert!(text.lines().any(|found| found == line), "{line:?} is not in {text}");
    }
    assert!(text.contains("coverage: 100.0000 %"), "{text}");
    operate_twice(&deployment, &entry).await;
}

/// Runs one operation twice with the same key and asserts that it executed once.
async fn operate_twice(deployment: &Deployment, entry: &str) {
    let Operation { key, detail, .. } = Operation::new(7);
    for _ in 0..2 {
        let output = run_query(&[
            "--entry",
            entry,
            "--profile",
            COMPLETE_PROFILE,
            "--operation",
            "clearance",
            "--subject",
            "7",
            "--key",
            &key,
            "--json",
            &detail,
        ])
        .await;
        assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
        let answer: Value = serde_json::from_slice(&output.stdout).unwrap();
        assert_eq!(answer["result"], json!("clearance of 7"));
    }
    assert_eq!(deployment.executions().await.get(&detail), Some(&1));
}

cases! {
    search_is_whole_through_each_vm => with_deployment(search_each_vm);
    clearance_runs_once_through_each_vm => with_deployment(operate_each_vm);
    query_command_prints_what_the_vm_answers => with_deployment(query_command);
}
