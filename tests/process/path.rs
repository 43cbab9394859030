//! One request through separate processes: every VM gives whole answers and
//! runs a clearance once.

use std::{
    process::{Command, Output},
    time::Duration,
};

use laburnumworks::local::caller::Reply;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::{
    answer::assert_whole,
    bed::{Bed, WHOLE},
    child::BINARY,
    operation::Operation,
    run::case,
};

async fn search(bed: Bed) {
    for number in bed.started() {
        for text in ["maritime", "uhf", "licence 0000", "nothing has this"] {
            let reply = bed.search(number, WHOLE, text).await.unwrap();
            assert_whole(&reply, text);
        }
    }
}

async fn clearance(bed: Bed) {
    let operation = Operation::new(42);
    let mut results = Vec::new();
    for number in bed.started() {
        let reply = settled(&bed, number, &operation).await;
        assert!(reply.status.is_success(), "through VM {number}: {}", reply.body);
        assert_eq!(reply.body["replayed"], json!(number > 0));
        results.push(reply.body["result"].clone());
    }
    assert!(results.iter().all(|result| *result == results[0]), "{results:?}");
    assert_eq!(bed.executions().await.get(&operation.detail), Some(&1));
}

/// Sends an operation once more where the outcome of its run was not recorded
/// yet.
async fn settled(bed: &Bed, number: usize, operation: &Operation) -> Reply {
    let reply = bed.operate(number, operation).await.unwrap();
    if reply.body["kind"] != "outcome_unknown" {
        return reply;
    }
    assert_eq!(reply.body["ran"], json!("unknown"), "{}", reply.body);
    let after = reply.body["retry"]["after_ms"].as_u64().unwrap();
    sleep(Duration::from_millis(after)).await;
    bed.operate(number, operation).await.unwrap()
}

/// Runs `query` to its end on a thread of its own.
async fn query(arguments: &[&str]) -> Output {
    let mut command = Command::new(BINARY);
    command.arg("query").args(arguments);
    tokio::task::spawn_blocking(move || command.output().unwrap()).await.unwrap()
}

async fn command(bed: Bed) {
    let entry = bed.vms[1].place.callers.to_string();
    let found = query(&["--entry", &entry, "--profile", WHOLE, "maritime"]).await;
    let text = String::from_utf8(found.stdout).unwrap();
    assert!(found.status.success(), "{text}{}", String::from_utf8_lossy(&found.stderr));
    let whole = bed.search(1, WHOLE, "maritime").await.unwrap();
    for row in whole.body["rows"].as_array().unwrap() {
        let line = format!("{} {}", row["key"].as_str().unwrap(), row["body"].as_str().unwrap());
        assert!(text.lines().any(|found| found == line), "{line:?} is not in {text}");
    }
    assert!(text.contains("coverage: 100.0000 %"), "{text}");
    run_once(&bed, &entry).await;
}

/// Sends one operation twice with the same key.
async fn run_once(bed: &Bed, entry: &str) {
    let Operation { key, detail, .. } = Operation::new(7);
    for _ in 0..2 {
        let ran = query(&[
            "--entry",
            entry,
            "--profile",
            WHOLE,
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
        assert!(ran.status.success(), "{}", String::from_utf8_lossy(&ran.stderr));
        let answer: Value = serde_json::from_slice(&ran.stdout).unwrap();
        assert_eq!(answer["result"], json!("clearance of 7"));
    }
    assert_eq!(bed.executions().await.get(&detail), Some(&1));
}

cases! {
    search_is_whole_through_each_vm => case(search);
    clearance_runs_once_through_each_vm => case(clearance);
    query_command_prints_what_the_vm_answers => case(command);
}
