//! The commands of operators against a running deployment.

use std::{path::Path, process::Output, thread, time::Duration};

use laburnumworks::{
    cli::exit::Exit,
    settings::{Source, profiles::Profiles},
};
use serde_json::{Value, json};

use crate::harness::{Harness, PROFILES, assert_exit, run_cli, start, stderr, stdout};

/// The profiles with a shorter tail latency.
fn shorter_tail_profiles() -> String {
    PROFILES.replace("tail_ms = 300", "tail_ms = 200")
}

fn parsed(text: &str) -> Profiles {
    Profiles::try_from(Source { file: Path::new("p.toml"), text }).unwrap()
}

/// Publishes profiles with an unknown outcome: the answer to the write is lost,
/// and then the platform is down.
fn publish_unsettled(harness: &Harness) -> Output {
    let file = harness.file("unsettled.toml", &shorter_tail_profiles());
    harness.set_platform_faults(
        &json!({ "lose_after": 1, "lose_by": "hang", "lose_prefix": "profiles/current" }),
    );
    let arguments = harness.operator_arguments(&["profile", "publish", file.to_str().unwrap()]);
    let publish =
        thread::spawn(move || run_cli(&arguments.iter().map(String::as_str).collect::<Vec<_>>()));
    let mut tries = 0;
    while harness.read_platform("/v1/faults")["lose_after"] != 0 {
        tries += 1;
        assert!(tries < 500, "nothing was written: {}", harness.read_platform("/v1/faults"));
        thread::sleep(Duration::from_millis(5));
    }
    harness.set_platform_faults(&json!({ "down": "refuse" }));
    publish.join().unwrap()
}

/// Runs the command of an operation, and again while its outcome is not yet
/// recorded: a refusal with `outcome_unknown` asks for a retry. It runs at most 11
/// times, half a second apart.
fn run_until_settled(operation: &[&str]) -> Output {
    let mut output = run_cli(operation);
    for _ in 0..10 {
        if !stderr(&output).contains("outcome_unknown") {
            break;
        }
        thread::sleep(Duration::from_millis(500));
        output = run_cli(operation);
    }
    output
}

cases! {
    a_publication_is_shown_and_recorded => {
        let harness = start(1);
        assert!(harness.publish(PROFILES).starts_with("published: revision 1\n"));
        let shown = harness.operator_output(&["profile", "show"]);
        assert!(shown.starts_with("# revision 1, confirmed by"), "{shown}");
        assert_eq!(parsed(&shown), parsed(PROFILES));
        let history = harness.operator_output(&["profile", "history"]);
        assert!(history.contains("revision 1 by local at 20"), "{history}");
        assert!(history.contains("no record before it is kept"), "{history}");
        harness.publish(&shorter_tail_profiles());
        let history = harness.operator_output(&["profile", "history"]);
        assert!(history.contains("renewal.tail_ms: 300 -> 200"), "{history}");
    };
    a_dry_run_publishes_nothing => {
        let harness = start(1);
        let file = harness.file("p.toml", PROFILES);
        let shown = harness.operator_output(&["profile", "publish", file.to_str().unwrap(), "--dry-run"]);
        assert!(shown.starts_with("nothing was published; it would be revision 1"), "{shown}");
        assert!(shown.contains("renewal: added"), "{shown}");
        assert_eq!(harness.operator_json(&["profile", "show"])["revision"], 0);
    };
    a_diff_names_the_fields => {
        let harness = start(1);
        harness.publish(PROFILES);
        let file = harness.file("faster.toml", &shorter_tail_profiles());
        let shown = harness.operator_output(&["profile", "diff", file.to_str().unwrap()]);
        assert_eq!(shown, "compared with revision 1:\n  renewal.tail_ms: 300 -> 200\n");
    };
    the_loser_of_a_race_is_told_who_won_and_what_to_do => {
        let harness = start(1);
        harness.publish(PROFILES);
        let file = harness.file("faster.toml", &shorter_tail_profiles());
        let output =
            harness.run_operator(&["profile", "publish", file.to_str().unwrap(), "--expect", "7"]);
        assert_exit(&output, Exit::Refused);
        let shown = stderr(&output);
        assert!(shown.contains("revision 1 is in force, published by local"), "{shown}");
        assert!(shown.contains("--expect 1"), "{shown}");
        assert!(shown.contains("renewal.tail_ms: 300 -> 200"), "{shown}");
    };
    an_earlier_revision_is_published_again => {
        let harness = start(1);
        harness.publish(PROFILES);
        harness.publish(&shorter_tail_profiles());
        let shown = harness.operator_output(&["profile", "rollback", "--to", "1", "--expect", "2"]);
        assert!(shown.starts_with("published: revision 3\n"), "{shown}");
        assert_eq!(parsed(&harness.operator_output(&["profile", "show"])), parsed(PROFILES));
    };
    an_unsettled_publication_is_settled_by_its_token => {
        let harness = start(1);
        harness.publish(PROFILES);
        let output = publish_unsettled(&harness);
        assert_exit(&output, Exit::Unsettled);
        let shown = stderr(&output);
        assert!(shown.contains("revision_unsettled"), "{shown}");
        let token = shown.split("profile settle ").nth(1).unwrap().trim().to_owned();
        harness.set_platform_faults(&json!({}));
        let settled = harness.operator_output(&["profile", "settle", &token]);
        assert!(settled.starts_with("published: revision 2"), "{settled}");
    };
    a_token_of_no_publication_is_a_usage_error => {
        let output = run_cli(&[
            "profile", "settle", "4:x", "--operator", "127.0.0.1:1", "--token-file", "token",
        ]);
        assert_exit(&output, Exit::Usage);
        assert!(stderr(&output).contains("\"4:x\""), "{}", stderr(&output));
    };
    the_status_counts_the_vms_and_names_those_that_are_silent => {
        let harness = start(2);
        harness.publish(PROFILES);
        harness.wait_for_profile("renewal");
        let is_reported = (0..100).any(|_| {
            let status = harness.operator_json(&["profile", "status"]);
            let is_everywhere = status["in_force"] == 2;
            if !is_everywhere {
                thread::sleep(Duration::from_millis(100));
            }
            is_everywhere
        });
        assert!(is_reported, "{}", harness.operator_output(&["profile", "status"]));
        let shown = harness.operator_output(&["profile", "status"]);
        assert!(shown.starts_with("revision 1 is in force on 2 of 2 VMs; silent: none"), "{shown}");
    };
    the_lists_say_state_time_and_source => {
        let harness = start(2);
        let vms = harness.operator_output(&["vm", "list"]);
        assert!(vms.starts_with("vm "), "{vms}");
        assert_eq!(vms.lines().filter(|line| line.contains("live")).count(), 2, "{vms}");
        let targets = harness.operator_json(&["target", "list"]);
        assert_eq!(targets["targets"].as_array().unwrap().len(), 4);
        assert_eq!(targets["targets"][0]["source"], "list");
        let shown = harness.operator_output(&["target", "list"]);
        assert!(shown.contains("ago"), "{shown}");
        let since = |list: &Value| list["targets"][0]["since_ms"].as_u64().unwrap();
        thread::sleep(Duration::from_millis(20));
        assert!(since(&harness.operator_json(&["target", "list"])) >= since(&targets) + 20);
    };
    a_draining_target_is_listed_with_its_source => {
        let harness = start(2);
        harness.set_target_faults(&json!({ "drain": true }));
        let has_source = |source: &str| (0..50).any(|_| {
            let list = harness.operator_json(&["target", "list"]);
            let rows = list["targets"].as_array().unwrap();
            let found = rows.iter().all(|row| {
                let row_source = row["source"].as_str().unwrap();
                row["state"] == "leaving"
                    && (row_source == "own" || row_source.starts_with("peer vm-"))
            });
            if !found {
                thread::sleep(Duration::from_millis(100));
            }
            found && rows.iter().any(|row| row["source"].as_str().unwrap().starts_with(source))
        });
        assert!(has_source("own") || has_source("peer"), "{}", harness.operator_output(&["target", "list"]));
    };
    a_wrong_token_is_refused_and_not_shown => {
        let harness = start(1);
        let wrong = "another-token-of-nobody";
        harness.file("token", wrong);
        let output = harness.run_operator(&["profile", "show"]);
        assert_exit(&output, Exit::Refused);
        let shown = stderr(&output);
        assert!(shown.contains("unauthorized") && !shown.contains(wrong), "{shown}");
    };
    a_vm_that_is_not_there_is_named => {
        let harness = start(1);
        let token = harness.folder.path().join("token").display().to_string();
        // The port stays bound on another address, so that no other process gets it.
        let address = format!("127.0.0.2:{}", harness.operators(0).port());
        let output = run_cli(&["vm", "list", "--operator", &address, "--token-file", &token]);
        assert_exit(&output, Exit::Unreachable);
        assert!(stderr(&output).contains("--operator"), "{}", stderr(&output));
    };
    an_invalid_file_is_not_sent => {
        let harness = start(1);
        let file = harness.file("p.toml", &PROFILES.replace("300", "0"));
        let output = harness.run_operator(&["profile", "publish", file.to_str().unwrap()]);
        assert_exit(&output, Exit::Invalid);
        assert!(stderr(&output).contains("profile.renewal.tail_ms"), "{}", stderr(&output));
    };
    query_prints_what_a_vm_answers => {
        let harness = start(1);
        harness.publish(PROFILES);
        harness.wait_for_profile("renewal");
        let entry = harness.callers(0).to_string();
        let search = ["query", "--entry", &entry, "--profile", "renewal", "maritime"];
        let output = run_cli(&search);
        assert_exit(&output, Exit::Done);
        let shown = stdout(&output);
        assert!(shown.contains("coverage: 100.0000 %"), "{shown}");
        let reply = harness.caller.search(harness.callers(0), "renewal", "maritime");
        let reply = harness.runtime.block_on(reply).unwrap();
        let rows = reply.body["rows"].as_array().unwrap();
        assert!(!rows.is_empty());
        for row in rows {
            let line = format!("{} {}", row["key"].as_str().unwrap(), row["body"].as_str().unwrap());
            assert!(shown.contains(&line), "{line} is not in {shown}");
        }
    };
    query_says_when_an_operation_had_run_before => {
        let harness = start(1);
        harness.publish(PROFILES);
        harness.wait_for_profile("renewal");
        let entry = harness.callers(0).to_string();
        let key = uuid::Uuid::now_v7().to_string();
        let operation = [
            "query", "--entry", &entry, "--profile", "renewal", "--operation", "clearance",
            "--subject", "7", "--key", &key, "mast 12",
        ];
        let first = run_cli(&operation);
        assert_exit(&first, Exit::Done);
        assert!(!stdout(&first).contains("replayed"), "{}", stdout(&first));
        let second = run_until_settled(&operation);
        assert_exit(&second, Exit::Done);
        assert!(stdout(&second).contains("replayed"), "{}", stdout(&second));
    };
    query_says_that_a_profile_is_unknown => {
        let harness = start(1);
        let entry = harness.callers(0).to_string();
        let output = run_cli(&["query", "--entry", &entry, "--profile", "renewal", "x"]);
        assert_exit(&output, Exit::Refused);
        assert!(stderr(&output).contains("unknown_profile"), "{}", stderr(&output));
    };
}
