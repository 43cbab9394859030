//! Paths for callers: which events reach the traffic thread and how its answers are
//! returned.

use std::time::Duration;

use laburnum_core::{
    fault::{Fault, Kind},
    key::{Range, Set},
    target::{Row, Version},
    traffic::{Body, Event, Found, Operate, Search},
};
use laburnumworks::traffic::Input;
use serde_json::{Value, json};
use tokio::{
    io::AsyncReadExt,
    time::{sleep, timeout},
};
use uuid::Uuid;

use crate::fixture::{
    Connection, EVENT_TIMEOUT, Front, QUERY_ID, assert_not_run, name, raw_post, read_problem,
    refusal, reply,
};

const SEARCH_BODY: &str = r#"{"profile":"portal","text":"146 MHz","deadline_ms":80}"#;

fn search_result(missing: Set, coverage: u32) -> Body {
    Body::Found(Found {
        version: Version(7),
        coverage,
        missing,
        revision: 3,
        rows: vec![Row { key: u64::MAX - 1, body: "a row".into() }],
        attempts: 5,
    })
}

fn range(first: u64, last: u64) -> Range {
    Range::try_from((first, last)).expect("in order")
}

fn operation(front: &Front, key: &str, subject: &str) -> reqwest::RequestBuilder {
    let body = format!(
        r#"{{"profile":"clearance","operation":"assign","subject":{subject},"detail":"mast 12"}}"#
    );
    front.post("/v1/operations", &body).header("Idempotency-Key", key)
}

async fn search_whole() {
    let mut front = Front::start(|_| {});
    let sent = tokio::spawn(front.post("/v1/search", SEARCH_BODY).send());
    let submission = front.next_call().await;
    let Event::Search { search, .. } = &submission.event else { panic!("{:?}", submission.event) };
    let expected = Search {
        profile: name("portal"),
        text: "146 MHz".into(),
        deadline: Some(Duration::from_millis(80)),
    };
    assert_eq!(search, &expected);
    reply(submission, search_result(Set::new(), 1_000_000));
    let response = sent.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
    let expected = json!({
        "request": QUERY_ID.to_string(),
        "snapshot": 7,
        "coverage": { "parts_per_million": 1_000_000, "complete": true, "missing": [] },
        "revision": 3,
        "attempts": 5,
        "rows": [{ "key": "fffffffffffffffe", "body": "a row" }],
    });
    assert_eq!(response.json::<Value>().await.unwrap(), expected);
}

async fn search_partial() {
    let mut front = Front::start(|_| {});
    let missing = Set::from_range(range(16, 255));
    let request = front.post("/v1/search", SEARCH_BODY);
    // The missing range is less than one part per million.
    let response = front.exchange(request, search_result(missing, 1_000_000)).await;
    let document: Value = response.json().await.unwrap();
    let expected = json!({
        "parts_per_million": 1_000_000,
        "complete": false,
        "missing": [["0000000000000010", "00000000000000ff"]],
    });
    assert_eq!(document["coverage"], expected);
}

async fn operation_done() {
    let mut front = Front::start(|_| {});
    let key = Uuid::now_v7();
    // Above 2^53, where clients that store numbers as doubles lose digits.
    let request = operation(&front, &key.to_string(), r#""9007199254740993""#);
    let sent = tokio::spawn(request.send());
    let submission = front.next_call().await;
    let Event::Operate { operate, .. } = &submission.event else {
        panic!("{:?}", submission.event)
    };
    let expected = Operate {
        profile: name("clearance"),
        operation: name("assign"),
        subject: 9_007_199_254_740_993,
        detail: "mast 12".into(),
        key: laburnum_core::claim::Key(key),
        deadline: None,
    };
    assert_eq!(operate, &expected);
    reply(submission, Body::Done { result: "assigned".into(), replayed: true, revision: 3 });
    let document: Value = sent.await.unwrap().unwrap().json().await.unwrap();
    let expected = json!({
        "request": QUERY_ID.to_string(),
        "result": "assigned",
        "replayed": true,
        "revision": 3,
    });
    assert_eq!(document, expected);
}

async fn every_kind() {
    let mut front = Front::start(|_| {});
    for &kind in Kind::ALL {
        let request = front.post("/v1/search", SEARCH_BODY);
        let fault = Fault::unknown(kind, "why it was refused");
        let response = front.exchange(request, refusal(fault)).await;
        assert_eq!(response.status(), kind.answer().status);
        let document = read_problem(response).await;
        assert_eq!(document["kind"], kind.as_str());
        assert_eq!(document["title"], kind.answer().title);
        assert_eq!(document["detail"], "why it was refused");
        assert_eq!(document["ran"], "unknown");
        assert_eq!(document["request"], QUERY_ID.to_string());
    }
}

async fn retry_rounded_up() {
    let mut front = Front::start(|_| {});
    let request = front.post("/v1/search", SEARCH_BODY);
    let fault = Fault::not_run(Kind::Overloaded, "full");
    let response = front.exchange(request, refusal(fault)).await;
    assert_eq!(response.headers()["retry-after"], "1");
    let document = read_problem(response).await;
    assert_not_run(&document, "overloaded");
    assert_eq!(document["retry"], json!({ "allowed": true, "after_ms": 100 }));
}

async fn thread_ended() {
    let mut front = Front::start(|_| {});
    let sent = tokio::spawn(front.post("/v1/search", SEARCH_BODY).send());
    drop(front.next_call().await);
    let document = read_problem(sent.await.unwrap().unwrap()).await;
    assert_eq!(document["kind"], "internal");
    assert_eq!(document["ran"], "unknown");
}

async fn probes() {
    let front = Front::start(|_| {});
    assert_eq!(front.get("/livez").await.status(), 200);
    assert_eq!(front.get("/readyz").await.status(), 200);
    let metrics = front.get("/metrics").await;
    assert!(metrics.headers()["content-type"].to_str().unwrap().contains("openmetrics"));
    assert_eq!(metrics.text().await.unwrap(), "# EOF\n");
    front.signals.ready.send_replace(false);
    assert_eq!(front.get("/livez").await.status(), 200);
    let response = front.get("/readyz").await;
    assert_eq!(response.status(), 503);
    assert_not_run(&read_problem(response).await, "not_ready");
}

async fn caller_gone() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send(&raw_post("/v1/search", SEARCH_BODY)).await;
    let submission = front.next_call().await;
    drop(connection);
    let Input::Abandoned(call) = front.next_input().await else { panic!("another call") };
    assert_eq!(call, submission.call);
}

async fn caller_gone_harms_no_other() {
    let mut front = Front::start(|_| {});
    let mut gone = Connection::open(front.address).await;
    gone.send(&raw_post("/v1/search", SEARCH_BODY)).await;
    let first = front.next_call().await;
    let stays = tokio::spawn(front.post("/v1/search", SEARCH_BODY).send());
    let second = front.next_call().await;
    drop(gone);
    let Input::Abandoned(call) = front.next_input().await else { panic!("another call") };
    assert_eq!(call, first.call);
    reply(second, search_result(Set::new(), 1_000_000));
    assert_eq!(stays.await.unwrap().unwrap().status(), 200);
}

async fn shutdown_finishes_open_request() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send(&raw_post("/v1/search", SEARCH_BODY)).await;
    let submission = front.next_call().await;
    front.signals.shutdown.send_replace(true);
    // The listener is closed before the request is answered.
    while tokio::net::TcpStream::connect(front.address).await.is_ok() {
        sleep(Duration::from_millis(5)).await;
    }
    assert!(!front.task.is_finished());
    reply(submission, search_result(Set::new(), 1_000_000));
    let response = connection.read_to_end().await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
    assert!(response.ends_with('}'), "{response}");
    front.task.await.unwrap().unwrap();
}

/// Connects without the help of the runtime, so that the connection waits to be accepted.
fn connect(front: &Front) -> std::net::TcpStream {
    let socket = std::net::TcpStream::connect(front.address).unwrap();
    socket.set_nonblocking(true).unwrap();
    socket
}

/// Sends a request that no route answers and returns what comes back until the close.
async fn answer_on(socket: std::net::TcpStream) -> String {
    let mut socket = tokio::net::TcpStream::from_std(socket).unwrap();
    let mut answer = Vec::new();
    let read = timeout(EVENT_TIMEOUT, socket.read_to_end(&mut answer)).await;
    format!(
        "{}{}",
        String::from_utf8(answer).unwrap(),
        if matches!(read, Ok(Ok(_))) { "" } else { "cut" }
    )
}

/// A request on a connection that was not accepted yet when the VM shuts down.
async fn shutdown_answers_what_waits() {
    let front = Front::start(|_| {});
    let mut sockets: Vec<std::net::TcpStream> = (0..12).map(|_| connect(&front)).collect();
    for socket in &mut sockets {
        std::io::Write::write_all(socket, b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    }
    front.signals.ready.send_replace(false);
    front.signals.shutdown.send_replace(true);
    for socket in sockets {
        let answer = answer_on(socket).await;
        assert!(answer.starts_with("HTTP/1.1 404"), "{answer:?}");
    }
    timeout(EVENT_TIMEOUT, front.task).await.unwrap().unwrap().unwrap();
}

/// A new connection whose first request arrives just after the VM shuts down.
async fn shutdown_answers_first_request() {
    let front = Front::start(|_| {});
    let mut socket = connect(&front);
    sleep(Duration::from_millis(100)).await;
    front.signals.ready.send_replace(false);
    front.signals.shutdown.send_replace(true);
    sleep(Duration::from_millis(50)).await;
    std::io::Write::write_all(&mut socket, b"GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n").unwrap();
    let answer = answer_on(socket).await;
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer:?}");
    timeout(EVENT_TIMEOUT, front.task).await.unwrap().unwrap().unwrap();
}

async fn shutdown_closes_idle_connection() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send(&raw_post("/v1/search", SEARCH_BODY)).await;
    reply(front.next_call().await, search_result(Set::new(), 1_000_000));
    assert!(connection.read_some().await.starts_with("HTTP/1.1 200"));
    front.signals.shutdown.send_replace(true);
    assert_eq!(connection.read_to_end().await, "");
    front.task.await.unwrap().unwrap();
}

async fn unready_closes_after_response() {
    let mut front = Front::start(|_| {});
    front.signals.ready.send_replace(false);
    let mut connection = Connection::open(front.address).await;
    connection.send(&raw_post("/v1/search", SEARCH_BODY)).await;
    reply(front.next_call().await, search_result(Set::new(), 1_000_000));
    let response = connection.read_to_end().await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert!(response.contains("connection: close"), "{response}");
}

async fn requests_share_connection() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    for _ in 0..20 {
        connection.send(&raw_post("/v1/search", SEARCH_BODY)).await;
        reply(front.next_call().await, search_result(Set::new(), 1_000_000));
        assert!(connection.read_some().await.starts_with("HTTP/1.1 200"));
    }
}

async fn requests_at_once() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send(&raw_post("/v1/search", SEARCH_BODY).repeat(3)).await;
    for _ in 0..3 {
        reply(front.next_call().await, search_result(Set::new(), 1_000_000));
        assert!(connection.read_some().await.starts_with("HTTP/1.1 200"));
    }
}

cases! {
    async:
    a_whole_answer_has_every_member => search_whole().await;
    a_partial_answer_is_never_complete => search_partial().await;
    an_operation_keeps_every_digit => operation_done().await;
    every_kind_is_answered_by_the_table => every_kind().await;
    retry_after_is_rounded_up => retry_rounded_up().await;
    an_ended_thread_leaves_the_outcome_unknown => thread_ended().await;
    probes_follow_readiness => probes().await;
    a_caller_that_goes_away_is_reported => caller_gone().await;
    a_caller_that_goes_away_harms_no_other => caller_gone_harms_no_other().await;
    shutdown_finishes_an_open_request => shutdown_finishes_open_request().await;
    shutdown_answers_requests_that_wait_to_be_accepted => shutdown_answers_what_waits().await;
    shutdown_answers_the_first_request_of_a_connection => shutdown_answers_first_request().await;
    shutdown_closes_an_idle_connection => shutdown_closes_idle_connection().await;
    an_unready_vm_closes_after_the_response => unready_closes_after_response().await;
    requests_arrive_at_once_on_one_connection => requests_at_once().await;
    requests_follow_on_one_connection => requests_share_connection().await;
}
