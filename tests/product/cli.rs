//! The command line: exit codes, errors and what `query` sends and prints.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    process::Output,
    thread::{self, JoinHandle},
};

use laburnumworks::cli::exit::Exit;

use crate::harness::{assert_exit, run_cli, stderr, stdout};

/// A fake VM that reads one request, sends a fixed answer and returns the request.
struct Entry {
    address: SocketAddr,
    request: JoinHandle<String>,
}

fn entry(answer: String) -> Entry {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let request = thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = Vec::new();
        let mut buffer = [0; 4096];
        while !is_complete(&request) {
            let count = stream.read(&mut buffer).unwrap();
            assert!(count > 0, "the request was cut");
            request.extend_from_slice(&buffer[..count]);
        }
        stream.write_all(answer.as_bytes()).unwrap();
        String::from_utf8(request).unwrap()
    });
    Entry { address, request }
}

/// Whether the bytes are the head and the body of a request with nothing missing.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.parse().unwrap());
    body.len() >= length
}

/// The bytes of an HTTP response.
fn http(status: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}")
}

const ANSWER: &str = r#"{"snapshot":12,"coverage":{"parts_per_million":500000,
    "missing":[["8000000000000000","ffffffffffffffff"]]},"revision":3,
    "rows":[{"key":"000000000000000a","body":"mast 12"}]}"#;

const REFUSAL: &str = r#"{"type":"about:blank","title":"t","status":503,"detail":"all slots taken",
    "kind":"overloaded","ran":"no","retry":{"allowed":true,"after_ms":100}}"#;

/// Runs a query of the profile `renewal` against `entry`.
fn query(entry: &Entry, more: &[&str]) -> Output {
    let address = entry.address.to_string();
    let mut arguments = vec!["query", "--entry", &address, "--profile", "renewal"];
    arguments.extend(more);
    run_cli(&arguments)
}

cases! {
    no_command_is_a_usage_error => assert_exit(&run_cli(&[]), Exit::Usage);
    an_unknown_command_is_a_usage_error => assert_exit(&run_cli(&["fly"]), Exit::Usage);
    help_is_no_error => assert_exit(&run_cli(&["query", "--help"]), Exit::Done);
    a_wrong_name_is_named => {
        let output = run_cli(&["query", "--entry", "127.0.0.1:1", "--profile", "Big", "x"]);
        assert_exit(&output, Exit::Usage);
        assert!(stderr(&output).contains("\"Big\""), "{}", stderr(&output));
    };
    the_version_is_printed => {
        let output = run_cli(&["--version"]);
        assert_exit(&output, Exit::Done);
        assert_eq!(stdout(&output), format!("laburnumworks {}\n", env!("CARGO_PKG_VERSION")));
    };
    an_unknown_part_to_measure_is_named => {
        let output = run_cli(&["slope", "--part", "fly"]);
        assert_exit(&output, Exit::Usage);
        assert!(stderr(&output).contains("\"fly\""), "{}", stderr(&output));
    };
    check_without_a_file_is_a_usage_error => assert_exit(&run_cli(&["check"]), Exit::Usage);
    check_takes_sound_profiles => {
        let output = run_cli(&["check", "--profiles", "deploy/umgeni-profiles.toml"]);
        assert_exit(&output, Exit::Done);
    };
    check_prints_errors_as_json => {
        let output = run_cli(&["check", "--json", "--profiles", "deploy/missing.toml"]);
        assert_exit(&output, Exit::Invalid);
        let errors: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
        assert_eq!(errors[0]["file"], "deploy/missing.toml");
    };
    a_command_with_invalid_settings_says_so => {
        let output = run_cli(&["entry", "--settings", "deploy/umgeni-profiles.toml"]);
        assert_exit(&output, Exit::Invalid);
    };
    query_prints_the_answer => {
        let entry = entry(http("200 OK", ANSWER));
        let output = query(&entry, &["146 MHz"]);
        assert_exit(&output, Exit::Done);
        assert_eq!(
            stdout(&output),
            "snapshot: 12\ncoverage: 50.0000 %\n\
             missing: 8000000000000000 to ffffffffffffffff\n\
             revision: 3\n000000000000000a mast 12\n"
        );
        let request = entry.request.join().unwrap();
        assert!(request.starts_with("POST /v1/search HTTP/1.1\r\n"), "{request}");
        assert!(request.ends_with(r#"{"profile":"renewal","text":"146 MHz"}"#), "{request}");
    };
    query_sends_an_operation_with_its_key => {
        let entry = entry(http("200 OK", r#"{"revision":3,"result":"cleared"}"#));
        let key = "0193a1c0-0000-7000-8000-000000000001";
        let operation = ["--operation", "clearance", "--subject", "7", "--key", key, "mast 12"];
        let output = query(&entry, &operation);
        assert_exit(&output, Exit::Done);
        assert!(stdout(&output).contains("result: cleared"), "{}", stdout(&output));
        let request = entry.request.join().unwrap();
        assert!(request.starts_with("POST /v1/operations HTTP/1.1\r\n"), "{request}");
        assert!(request.to_lowercase().contains(&format!("idempotency-key: {key}")), "{request}");
        let body = r#"{"profile":"renewal","operation":"clearance","subject":7,"detail":"mast 12"}"#;
        assert!(request.ends_with(body), "{request}");
    };
    an_operation_without_a_key_is_given_one => {
        let entry = entry(http("200 OK", r#"{"revision":3,"result":"cleared"}"#));
        let output = query(&entry, &["--operation", "clearance", "--subject", "7", "mast 12"]);
        assert_exit(&output, Exit::Done);
        let request = entry.request.join().unwrap();
        let shown = stderr(&output);
        let key = shown.trim().strip_prefix("idempotency key: ").unwrap();
        assert!(request.contains(key), "{request}");
    };
    query_prints_the_answer_as_json => {
        let entry = entry(http("200 OK", ANSWER));
        let output = query(&entry, &["--json", "x"]);
        let answer: serde_json::Value = serde_json::from_str(&stdout(&output)).unwrap();
        assert_eq!(answer["revision"], 3);
    };
    a_refusal_says_whether_it_ran_and_when_to_retry => {
        let entry = entry(http("503 Service Unavailable", REFUSAL));
        let output = query(&entry, &["x"]);
        assert_exit(&output, Exit::Refused);
        let shown = stderr(&output);
        assert!(shown.contains("overloaded: all slots taken (ran: no)"), "{shown}");
        assert!(shown.contains("after 100 ms"), "{shown}");
    };
    a_refusal_that_may_have_run_has_its_own_code => {
        let refusal = REFUSAL.replace(r#""ran":"no""#, r#""ran":"unknown""#);
        let entry = entry(http("504 Gateway Timeout", &refusal));
        assert_exit(&query(&entry, &["x"]), Exit::Unsettled);
    };
    a_cut_answer_may_have_run => {
        let complete = http("200 OK", ANSWER);
        let entry = entry(complete[..complete.len() - 9].to_owned());
        assert_exit(&query(&entry, &["x"]), Exit::Unsettled);
    };
    a_vm_that_is_not_there_is_unreachable => {
        // The port stays bound on another address, so that no other process gets it.
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = format!("127.0.0.2:{}", listener.local_addr().unwrap().port());
        let output = run_cli(&["query", "--entry", &address, "--profile", "renewal", "x"]);
        assert_exit(&output, Exit::Unreachable);
    };
    an_operation_needs_a_subject => {
        let arguments =
            ["query", "--entry", "127.0.0.1:1", "--profile", "p", "--operation", "clearance", "x"];
        assert_exit(&run_cli(&arguments), Exit::Usage);
    };
    a_key_needs_an_operation => {
        let key = "0193a1c0-0000-7000-8000-000000000001";
        let arguments = ["query", "--entry", "127.0.0.1:1", "--profile", "p", "--key", key, "x"];
        assert_exit(&run_cli(&arguments), Exit::Usage);
    };
}
