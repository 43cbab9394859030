//! Callers that are slow or send too much are refused and don't affect others.

use std::time::{Duration, Instant};

use laburnum_core::traffic::Body;
use tokio::{io::AsyncWriteExt, time::sleep};

use crate::fixture::{
    Connection, EVENT_TIMEOUT, Front, assert_not_run, parse_document, raw_post, read_problem, reply,
};

/// A limit short enough for a case to exceed it.
const SHORT_LIMIT: Duration = Duration::from_millis(300);

const SEARCH_BODY: &str = r#"{"profile":"portal","text":"x"}"#;

fn done() -> Body {
    Body::Done { result: "done".into(), replayed: false, revision: 1 }
}

/// Asserts that `front` serves another caller.
async fn assert_serves_others(front: &mut Front) {
    let request = front
        .post("/v1/operations", r#"{"profile":"a","operation":"o","subject":1,"detail":"x"}"#)
        .header("Idempotency-Key", "0190163d-8694-739b-aea5-966c26f8ad91");
    assert_eq!(front.exchange(request, done()).await.status(), 200);
}

/// Asserts that `response` is a refusal of `kind` after which the connection is
/// closed.
fn assert_refused(response: &str, status: u16, kind: &str) {
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert_not_run(&parse_document(response), kind);
}

async fn large_with_length() {
    let mut front = Front::start(|_| {});
    let body = "x".repeat(2049);
    let response = front.post("/v1/search", &body).send().await.unwrap();
    assert_eq!(response.status(), 413);
    let document = read_problem(response).await;
    assert_not_run(&document, "too_large");
    assert!(document["detail"].as_str().unwrap().contains("2048 bytes"), "{document}");
    front.assert_nothing_ran();
    assert_serves_others(&mut front).await;
}

async fn largest_allowed() {
    let mut front = Front::start(|_| {});
    let body = format!("{SEARCH_BODY}{}", " ".repeat(2048 - SEARCH_BODY.len()));
    let sent = tokio::spawn(front.post("/v1/search", &body).send());
    reply(front.next_call().await, done());
    // The body reached the traffic thread. The front answers 500 because `done` is
    // not an answer to a search.
    assert_eq!(sent.await.unwrap().unwrap().status(), 500);
}

/// A body far larger than the limit, all of which is sent before the answer is read.
async fn very_large_with_length() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send(&raw_post("/v1/search", &"x".repeat(1 << 20))).await;
    assert_refused(&connection.read_to_end().await, 413, "too_large");
    front.assert_nothing_ran();
    assert_serves_others(&mut front).await;
}

async fn large_without_length() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection
        .send("POST /v1/search HTTP/1.1\r\nhost: vm\r\ntransfer-encoding: chunked\r\n\r\n")
        .await;
    for _ in 0..100 {
        connection.send(&format!("400\r\n{}\r\n", "x".repeat(1024))).await;
    }
    assert_refused(&connection.read_to_end().await, 413, "too_large");
    front.assert_nothing_ran();
    assert_serves_others(&mut front).await;
}

async fn endless_body() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection
        .send("POST /v1/search HTTP/1.1\r\nhost: vm\r\ntransfer-encoding: chunked\r\n\r\n")
        .await;
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1024));
    let endless = async { while connection.send(&chunk).await {} };
    tokio::time::timeout(EVENT_TIMEOUT, endless).await.expect("the front closes");
    front.assert_nothing_ran();
    assert_serves_others(&mut front).await;
}

async fn large_head() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    let filler = "x".repeat(9000);
    connection.send(&format!("GET /livez HTTP/1.1\r\nhost: vm\r\nfiller: {filler}\r\n\r\n")).await;
    let response = connection.read_to_end().await;
    assert_refused(&response, 413, "too_large");
    assert!(response.contains("8192 bytes"), "{response}");
    assert_serves_others(&mut front).await;
}

async fn endless_head() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send("GET /livez HTTP/1.1\r\nhost: vm\r\n").await;
    for number in 0..500 {
        connection.send(&format!("filler-{number}: {}\r\n", "x".repeat(50))).await;
    }
    assert_refused(&connection.read_to_end().await, 413, "too_large");
    assert_serves_others(&mut front).await;
}

async fn large_second_head() {
    let front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(connection.read_some().await.starts_with("HTTP/1.1 200"));
    let filler = "x".repeat(9000);
    connection.send(&format!("GET /livez HTTP/1.1\r\nhost: vm\r\nfiller: {filler}\r\n\r\n")).await;
    assert_refused(&connection.read_to_end().await, 413, "too_large");
}

/// The limit on heads does not apply to bodies.
async fn body_beyond_head_limit() {
    let mut front = Front::start(|limits| limits.body_limit_bytes = 64 * 1024);
    for _ in 0..3 {
        let body = format!("{SEARCH_BODY}{}", " ".repeat(60 * 1024));
        let sent = tokio::spawn(front.post("/v1/search", &body).send());
        drop(front.next_call().await);
        assert_eq!(sent.await.unwrap().unwrap().status(), 500);
    }
}

async fn slow_head() {
    let mut front = Front::start(|limits| limits.header_read_timeout = SHORT_LIMIT);
    let mut connection = Connection::open(front.address).await;
    let start = Instant::now();
    connection.send("POST /v1/search HTTP/1.1\r\nhost: v").await;
    assert_serves_others(&mut front).await;
    assert_refused(&connection.read_to_end().await, 408, "slow_caller");
    assert!(start.elapsed() >= SHORT_LIMIT);
    front.assert_nothing_ran();
}

async fn head_sent_byte_by_byte() {
    let mut front = Front::start(|limits| limits.header_read_timeout = SHORT_LIMIT);
    let mut connection = Connection::open(front.address).await;
    let start = Instant::now();
    let drip = async {
        connection.send("POST /v1/search HTTP/1.1\r\nfiller: ").await;
        while connection.send("x").await && start.elapsed() < 4 * SHORT_LIMIT {
            sleep(Duration::from_millis(20)).await;
        }
        connection.read_to_end().await
    };
    let response = tokio::time::timeout(EVENT_TIMEOUT, drip).await.expect("the front closes");
    assert_refused(&response, 408, "slow_caller");
    front.assert_nothing_ran();
    assert_serves_others(&mut front).await;
}

async fn slow_second_head() {
    let mut front = Front::start(|limits| limits.header_read_timeout = SHORT_LIMIT);
    let mut connection = Connection::open(front.address).await;
    connection.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(connection.read_some().await.starts_with("HTTP/1.1 200"));
    // The time between two requests does not count as time to read a head.
    sleep(2 * SHORT_LIMIT).await;
    connection.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(connection.read_some().await.starts_with("HTTP/1.1 200"));
    connection.send("GET /livez HTTP/1.1\r\n").await;
    assert_refused(&connection.read_to_end().await, 408, "slow_caller");
    assert_serves_others(&mut front).await;
}

async fn slow_body(head: &str, pieces: &str) {
    let mut front = Front::start(|limits| limits.body_read_timeout = SHORT_LIMIT);
    let mut connection = Connection::open(front.address).await;
    let start = Instant::now();
    let drip = async {
        connection.send(head).await;
        while connection.send(pieces).await && start.elapsed() < 4 * SHORT_LIMIT {
            sleep(Duration::from_millis(20)).await;
        }
        connection.read_to_end().await
    };
    let response = tokio::time::timeout(EVENT_TIMEOUT, drip).await.expect("the front closes");
    assert_refused(&response, 408, "slow_caller");
    assert!(start.elapsed() >= SHORT_LIMIT);
    front.assert_nothing_ran();
    assert_serves_others(&mut front).await;
}

const CHUNKED_HEAD: &str =
    "POST /v1/search HTTP/1.1\r\nhost: vm\r\ntransfer-encoding: chunked\r\n\r\n";
const LENGTH_HEAD: &str = "POST /v1/search HTTP/1.1\r\nhost: vm\r\ncontent-length: 2000\r\n\r\n";

async fn slow_thread() {
    let mut front = Front::start(|limits| {
        limits.header_read_timeout = SHORT_LIMIT;
        limits.body_read_timeout = SHORT_LIMIT;
        limits.idle_timeout = SHORT_LIMIT;
    });
    let sent = tokio::spawn(front.post("/v1/search", SEARCH_BODY).send());
    let submission = front.next_call().await;
    sleep(3 * SHORT_LIMIT).await;
    reply(submission, done());
    assert_eq!(sent.await.unwrap().unwrap().status(), 500);
}

async fn idle_connections() {
    let front = Front::start(|limits| limits.idle_timeout = SHORT_LIMIT);
    let mut unused = Connection::open(front.address).await;
    let mut used = Connection::open(front.address).await;
    let start = Instant::now();
    used.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(used.read_some().await.starts_with("HTTP/1.1 200"));
    assert_eq!(unused.read_to_end().await, "");
    assert_eq!(used.read_to_end().await, "");
    assert!(start.elapsed() >= SHORT_LIMIT);
}

async fn many_connections() {
    let mut front = Front::start(|limits| limits.open_connections = 2);
    let mut first = Connection::open(front.address).await;
    first.send(&raw_post("/v1/search", SEARCH_BODY)).await;
    let submission = front.next_call().await;
    let mut second = Connection::open(front.address).await;
    second.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(second.read_some().await.starts_with("HTTP/1.1 200"));
    let mut third = Connection::open(front.address).await;
    third.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert_refused(&third.read_to_end().await, 503, "too_many_open");
    reply(submission, done());
    assert!(first.read_some().await.starts_with("HTTP/1.1 500"));
    drop(second);
    drop(first);
    // The front accepts another connection once it has noticed that these are closed.
    for _ in 0..100 {
        let mut next = Connection::open(front.address).await;
        next.send("GET /livez HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n").await;
        if next.read_to_end().await.starts_with("HTTP/1.1 200") {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("no connection was accepted after others were closed");
}

async fn unread_response() {
    let mut front = Front::start(|limits| limits.idle_timeout = SHORT_LIMIT);
    let mut connection = Connection::open(front.address).await;
    connection
        .send(
            &raw_post(
                "/v1/operations",
                r#"{"profile":"a","operation":"o","subject":1,"detail":"x"}"#,
            )
            .replace(
                "host: vm",
                "host: vm\r\nidempotency-key: 0190163d-8694-739b-aea5-966c26f8ad91",
            ),
        )
        .await;
    let result = "x".repeat(32 << 20);
    reply(
        front.next_call().await,
        Body::Done { result: result.into(), replayed: false, revision: 1 },
    );
    // The response is not read and is larger than the socket buffers, so that the
    // front cannot write all of it.
    sleep(4 * SHORT_LIMIT).await;
    front.signals.shutdown.send_replace(true);
    let ended = tokio::time::timeout(EVENT_TIMEOUT, front.task).await;
    ended.expect("the front closes the connection").unwrap().unwrap();
    drop(connection);
}

async fn http2() {
    let front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").await;
    let response = connection.read_to_end().await;
    assert_refused(&response, 400, "malformed");
    assert!(response.contains("HTTP/1.1"), "{response}");
}

/// Sends a head with `expect: 100-continue` and, only if the front asks for the
/// body, the body. Returns the final response.
async fn post_with_expect_continue(length: usize) -> String {
    let mut front = Front::start(|limits| limits.body_limit_bytes = 64 * 1024);
    let mut connection = Connection::open(front.address).await;
    connection
        .send(&format!(
            "POST /v1/search HTTP/1.1\r\nhost: vm\r\nexpect: 100-continue\r\n\
         content-length: {length}\r\n\r\n"
        ))
        .await;
    let first = connection.read_some().await;
    if first.starts_with("HTTP/1.1 100") {
        connection.send(&format!("{SEARCH_BODY}{}", " ".repeat(length - SEARCH_BODY.len()))).await;
        reply(front.next_call().await, done());
        return connection.read_some().await;
    }
    front.assert_nothing_ran();
    first
}

async fn half_closed() {
    let mut front = Front::start(|_| {});
    let mut connection = Connection::open(front.address).await;
    connection.send("POST /v1/search HTTP/1.1\r\nhost: vm\r\ncontent-length: 100\r\n\r\n{").await;
    connection.0.shutdown().await.unwrap();
    connection.read_to_end().await;
    front.assert_nothing_ran();
    assert_serves_others(&mut front).await;
}

cases! {
    async:
    a_large_body_with_a_length => large_with_length().await;
    a_very_large_body_with_a_length => very_large_with_length().await;
    a_large_body_without_a_length => large_without_length().await;
    an_endless_body => endless_body().await;
    the_largest_allowed_body => largest_allowed().await;
    a_large_head => large_head().await;
    an_endless_head => endless_head().await;
    a_large_second_head => large_second_head().await;
    a_body_beyond_the_limit_of_heads => body_beyond_head_limit().await;
    a_slow_head => slow_head().await;
    a_head_sent_byte_by_byte => head_sent_byte_by_byte().await;
    a_slow_second_head => slow_second_head().await;
    a_stopped_body => slow_body(LENGTH_HEAD, "").await;
    a_body_sent_byte_by_byte => slow_body(LENGTH_HEAD, "x").await;
    a_chunked_body_sent_byte_by_byte => slow_body(CHUNKED_HEAD, "1\r\nx\r\n").await;
    a_slow_thread_is_no_slow_caller => slow_thread().await;
    an_idle_connection => idle_connections().await;
    too_many_connections => many_connections().await;
    a_response_that_is_not_taken => unread_response().await;
    http2_is_refused => http2().await;
    an_expected_body => assert!(
        post_with_expect_continue(60 * 1024).await.starts_with("HTTP/1.1 500")
    );
    a_large_body_is_refused_before_it_is_sent => {
        assert_refused(&post_with_expect_continue(65 * 1024).await, 413, "too_large");
    };
    a_cut_body => half_closed().await;
}
