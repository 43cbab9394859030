//! Slow and oversized callers, who harm no other.

use std::time::{Duration, Instant};

use laburnum_core::traffic::Body;
use tokio::{io::AsyncWriteExt, time::sleep};

use crate::bed::{Front, PATIENCE, Wire, assert_not_run, document, post, problem, reply};

/// The limit on the time of a head or body in these cases.
const SHORT: Duration = Duration::from_millis(300);

const SEARCH: &str = r#"{"profile":"portal","text":"x"}"#;

fn done() -> Body {
    Body::Done { result: "done".into(), replayed: false, revision: 1 }
}

/// Checks that another caller is served while `front` deals with a bad one.
async fn assert_serves(front: &mut Front) {
    let request = front
        .post("/v1/operations", r#"{"profile":"a","operation":"o","subject":1,"detail":"x"}"#)
        .header("Idempotency-Key", "0190163d-8694-739b-aea5-966c26f8ad91");
    assert_eq!(front.exchange(request, done()).await.status(), 200);
}

/// Checks that `response` is a refusal of `kind` after which the connection is
/// closed.
fn assert_refused(response: &str, status: u16, kind: &str) {
    assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{response}");
    assert!(response.contains("connection: close\r\n"), "{response}");
    assert_not_run(&document(response), kind);
}

async fn large_with_length() {
    let mut front = Front::start(|_| {});
    let body = "x".repeat(2049);
    let response = front.post("/v1/search", &body).send().await.unwrap();
    assert_eq!(response.status(), 413);
    let document = problem(response).await;
    assert_not_run(&document, "too_large");
    assert!(document["detail"].as_str().unwrap().contains("2048 bytes"), "{document}");
    front.assert_nothing_ran();
    assert_serves(&mut front).await;
}

async fn largest() {
    let mut front = Front::start(|_| {});
    let body = format!("{SEARCH}{}", " ".repeat(2048 - SEARCH.len()));
    let sent = tokio::spawn(front.post("/v1/search", &body).send());
    reply(front.ask().await, done());
    // The fake thread answers a search with something else.
    assert_eq!(sent.await.unwrap().unwrap().status(), 500);
}

/// A body far beyond the limit, all of it sent before the answer is read.
async fn very_large_with_length() {
    let mut front = Front::start(|_| {});
    let mut wire = Wire::open(front.address).await;
    wire.send(&post("/v1/search", &"x".repeat(1 << 20))).await;
    assert_refused(&wire.rest().await, 413, "too_large");
    front.assert_nothing_ran();
    assert_serves(&mut front).await;
}

async fn large_without_length() {
    let mut front = Front::start(|_| {});
    let mut wire = Wire::open(front.address).await;
    wire.send("POST /v1/search HTTP/1.1\r\nhost: vm\r\ntransfer-encoding: chunked\r\n\r\n").await;
    for _ in 0..100 {
        wire.send(&format!("400\r\n{}\r\n", "x".repeat(1024))).await;
    }
    assert_refused(&wire.rest().await, 413, "too_large");
    front.assert_nothing_ran();
    assert_serves(&mut front).await;
}

async fn endless_body() {
    let mut front = Front::start(|_| {});
    let mut wire = Wire::open(front.address).await;
    wire.send("POST /v1/search HTTP/1.1\r\nhost: vm\r\ntransfer-encoding: chunked\r\n\r\n").await;
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1024));
    let endless = async { while wire.send(&chunk).await {} };
    tokio::time::timeout(PATIENCE, endless).await.expect("the front closes");
    front.assert_nothing_ran();
    assert_serves(&mut front).await;
}

async fn large_head() {
    let mut front = Front::start(|_| {});
    let mut wire = Wire::open(front.address).await;
    let filler = "x".repeat(9000);
    wire.send(&format!("GET /livez HTTP/1.1\r\nhost: vm\r\nfiller: {filler}\r\n\r\n")).await;
    let response = wire.rest().await;
    assert_refused(&response, 413, "too_large");
    assert!(response.contains("8192 bytes"), "{response}");
    assert_serves(&mut front).await;
}

async fn endless_head() {
    let mut front = Front::start(|_| {});
    let mut wire = Wire::open(front.address).await;
    wire.send("GET /livez HTTP/1.1\r\nhost: vm\r\n").await;
    for number in 0..500 {
        wire.send(&format!("filler-{number}: {}\r\n", "x".repeat(50))).await;
    }
    assert_refused(&wire.rest().await, 413, "too_large");
    assert_serves(&mut front).await;
}

async fn large_second_head() {
    let front = Front::start(|_| {});
    let mut wire = Wire::open(front.address).await;
    wire.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(wire.next().await.starts_with("HTTP/1.1 200"));
    let filler = "x".repeat(9000);
    wire.send(&format!("GET /livez HTTP/1.1\r\nhost: vm\r\nfiller: {filler}\r\n\r\n")).await;
    assert_refused(&wire.rest().await, 413, "too_large");
}

/// A body larger than the limit of heads is no head.
async fn body_beyond_head_limit() {
    let mut front = Front::start(|limits| limits.body_limit_bytes = 64 * 1024);
    for _ in 0..3 {
        let body = format!("{SEARCH}{}", " ".repeat(60 * 1024));
        let sent = tokio::spawn(front.post("/v1/search", &body).send());
        drop(front.ask().await);
        assert_eq!(sent.await.unwrap().unwrap().status(), 500);
    }
}

async fn slow_head() {
    let mut front = Front::start(|limits| limits.header_read_timeout = SHORT);
    let mut wire = Wire::open(front.address).await;
    let start = Instant::now();
    wire.send("POST /v1/search HTTP/1.1\r\nhost: v").await;
    assert_serves(&mut front).await;
    assert_refused(&wire.rest().await, 408, "slow_caller");
    assert!(start.elapsed() >= SHORT);
    front.assert_nothing_ran();
}

async fn dripping_head() {
    let mut front = Front::start(|limits| limits.header_read_timeout = SHORT);
    let mut wire = Wire::open(front.address).await;
    let start = Instant::now();
    let drip = async {
        wire.send("POST /v1/search HTTP/1.1\r\nfiller: ").await;
        while wire.send("x").await && start.elapsed() < 4 * SHORT {
            sleep(Duration::from_millis(20)).await;
        }
        wire.rest().await
    };
    let response = tokio::time::timeout(PATIENCE, drip).await.expect("the front closes");
    assert_refused(&response, 408, "slow_caller");
    front.assert_nothing_ran();
    assert_serves(&mut front).await;
}

async fn slow_second_head() {
    let mut front = Front::start(|limits| limits.header_read_timeout = SHORT);
    let mut wire = Wire::open(front.address).await;
    wire.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(wire.next().await.starts_with("HTTP/1.1 200"));
    // The time between two requests is no time of a head.
    sleep(2 * SHORT).await;
    wire.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(wire.next().await.starts_with("HTTP/1.1 200"));
    wire.send("GET /livez HTTP/1.1\r\n").await;
    assert_refused(&wire.rest().await, 408, "slow_caller");
    assert_serves(&mut front).await;
}

async fn slow_body(head: &str, pieces: &str) {
    let mut front = Front::start(|limits| limits.body_read_timeout = SHORT);
    let mut wire = Wire::open(front.address).await;
    let start = Instant::now();
    let drip = async {
        wire.send(head).await;
        while wire.send(pieces).await && start.elapsed() < 4 * SHORT {
            sleep(Duration::from_millis(20)).await;
        }
        wire.rest().await
    };
    let response = tokio::time::timeout(PATIENCE, drip).await.expect("the front closes");
    assert_refused(&response, 408, "slow_caller");
    assert!(start.elapsed() >= SHORT);
    front.assert_nothing_ran();
    assert_serves(&mut front).await;
}

const CHUNKED: &str = "POST /v1/search HTTP/1.1\r\nhost: vm\r\ntransfer-encoding: chunked\r\n\r\n";
const LENGTH: &str = "POST /v1/search HTTP/1.1\r\nhost: vm\r\ncontent-length: 2000\r\n\r\n";

async fn slow_engine() {
    let mut front = Front::start(|limits| {
        limits.header_read_timeout = SHORT;
        limits.body_read_timeout = SHORT;
        limits.idle_timeout = SHORT;
    });
    let sent = tokio::spawn(front.post("/v1/search", SEARCH).send());
    let ask = front.ask().await;
    sleep(3 * SHORT).await;
    reply(ask, done());
    assert_eq!(sent.await.unwrap().unwrap().status(), 500);
}

async fn idle() {
    let front = Front::start(|limits| limits.idle_timeout = SHORT);
    let mut silent = Wire::open(front.address).await;
    let mut used = Wire::open(front.address).await;
    let start = Instant::now();
    used.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(used.next().await.starts_with("HTTP/1.1 200"));
    assert_eq!(silent.rest().await, "");
    assert_eq!(used.rest().await, "");
    assert!(start.elapsed() >= SHORT);
}

async fn many_connections() {
    let mut front = Front::start(|limits| limits.open_connections = 2);
    let mut first = Wire::open(front.address).await;
    first.send(&post("/v1/search", SEARCH)).await;
    let ask = front.ask().await;
    let mut second = Wire::open(front.address).await;
    second.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert!(second.next().await.starts_with("HTTP/1.1 200"));
    let mut third = Wire::open(front.address).await;
    third.send("GET /livez HTTP/1.1\r\nhost: vm\r\n\r\n").await;
    assert_refused(&third.rest().await, 503, "too_many_open");
    reply(ask, done());
    assert!(first.next().await.starts_with("HTTP/1.1 500"));
    drop(second);
    drop(first);
    // Its place is free as soon as the front has seen the end.
    for _ in 0..100 {
        let mut next = Wire::open(front.address).await;
        next.send("GET /livez HTTP/1.1\r\nhost: vm\r\nconnection: close\r\n\r\n").await;
        if next.rest().await.starts_with("HTTP/1.1 200") {
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("no place became free");
}

async fn unread_response() {
    let mut front = Front::start(|limits| limits.idle_timeout = SHORT);
    let mut wire = Wire::open(front.address).await;
    wire.send(
        &post("/v1/operations", r#"{"profile":"a","operation":"o","subject":1,"detail":"x"}"#)
            .replace(
                "host: vm",
                "host: vm\r\nidempotency-key: 0190163d-8694-739b-aea5-966c26f8ad91",
            ),
    )
    .await;
    let result = "x".repeat(32 << 20);
    reply(front.ask().await, Body::Done { result: result.into(), replayed: false, revision: 1 });
    // Nothing is read, so that the response does not fit the buffers.
    sleep(4 * SHORT).await;
    front.signals.shutdown.send_replace(true);
    let ended = tokio::time::timeout(PATIENCE, front.task).await;
    ended.expect("the connection is given up").unwrap().unwrap();
    drop(wire);
}

async fn http2() {
    let front = Front::start(|_| {});
    let mut wire = Wire::open(front.address).await;
    wire.send("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").await;
    let response = wire.rest().await;
    assert_refused(&response, 400, "malformed");
    assert!(response.contains("HTTP/1.1"), "{response}");
}

/// A caller that waits for the front before it sends the body.
async fn expected_body(length: usize) -> String {
    let mut front = Front::start(|limits| limits.body_limit_bytes = 64 * 1024);
    let mut wire = Wire::open(front.address).await;
    wire.send(&format!(
        "POST /v1/search HTTP/1.1\r\nhost: vm\r\nexpect: 100-continue\r\n\
         content-length: {length}\r\n\r\n"
    ))
    .await;
    let first = wire.next().await;
    if first.starts_with("HTTP/1.1 100") {
        wire.send(&format!("{SEARCH}{}", " ".repeat(length - SEARCH.len()))).await;
        reply(front.ask().await, done());
        return wire.next().await;
    }
    front.assert_nothing_ran();
    first
}

async fn half_closed() {
    let mut front = Front::start(|_| {});
    let mut wire = Wire::open(front.address).await;
    wire.send("POST /v1/search HTTP/1.1\r\nhost: vm\r\ncontent-length: 100\r\n\r\n{").await;
    wire.0.shutdown().await.unwrap();
    wire.rest().await;
    front.assert_nothing_ran();
    assert_serves(&mut front).await;
}

cases! {
    async:
    a_large_body_with_a_length => large_with_length().await;
    a_very_large_body_with_a_length => very_large_with_length().await;
    a_large_body_without_a_length => large_without_length().await;
    an_endless_body => endless_body().await;
    the_largest_allowed_body => largest().await;
    a_large_head => large_head().await;
    an_endless_head => endless_head().await;
    a_large_second_head => large_second_head().await;
    a_body_beyond_the_limit_of_heads => body_beyond_head_limit().await;
    a_slow_head => slow_head().await;
    a_dripping_head => dripping_head().await;
    a_slow_second_head => slow_second_head().await;
    a_stopped_body => slow_body(LENGTH, "").await;
    a_dripping_body => slow_body(LENGTH, "x").await;
    a_dripping_chunked_body => slow_body(CHUNKED, "1\r\nx\r\n").await;
    a_slow_thread_is_no_slow_caller => slow_engine().await;
    an_idle_connection => idle().await;
    too_many_connections => many_connections().await;
    a_response_that_is_not_taken => unread_response().await;
    http2_is_refused => http2().await;
    an_expected_body => assert!(expected_body(60 * 1024).await.starts_with("HTTP/1.1 500"));
    a_large_body_is_refused_before_it_is_sent => {
        assert_refused(&expected_body(65 * 1024).await, 413, "too_large");
    };
    a_cut_body => half_closed().await;
}
