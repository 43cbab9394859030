//! Tests that the limits on callers are those of the configuration in force.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use laburnum_platform::header::{ATTEMPT_ID, DEADLINE_MS};
use serde_json::Value;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

use crate::{
    entry::config,
    harness::{Harness, Relay},
    standin::entries::{CONFIG, HOST},
};

/// The time within which a change of the configuration is in force.
const CHANGE_TIME: Duration = Duration::from_millis(1000);

/// Writes a configuration with one limit changed and waits until it is in force.
async fn change_limit(harness: &Harness, version: u64, field: &str, value: u64) {
    let mut config = config(version);
    config["limits"][field] = Value::from(value);
    harness.store.put(CONFIG, &config).await;
    sleep(CHANGE_TIME).await;
}

/// Sends the bytes of a request on a new connection and returns the status.
async fn status(relay: &Relay, request: &str) -> u16 {
    let mut socket = TcpStream::connect(relay.callers).await.unwrap();
    socket.write_all(request.as_bytes()).await.unwrap();
    let mut head = [0; 12];
    timeout(Duration::from_secs(5), socket.read_exact(&mut head)).await.unwrap().unwrap();
    String::from_utf8_lossy(&head[9..]).parse().unwrap()
}

/// Returns the bytes of an operation with a body of `body` bytes.
fn operation(headers: &str, body: usize) -> String {
    format!(
        "POST /desk/1 HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: c1\r\n{DEADLINE_MS}: 1000\r\n\
         Content-Length: {body}\r\n{headers}\r\n{}",
        "x".repeat(body)
    )
}

/// Returns the time after which an idle connection is closed, if that is within
/// `limit`.
async fn idle_time(address: SocketAddr, limit: Duration) -> Option<Duration> {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let since = Instant::now();
    let closed = timeout(limit, socket.read(&mut [0; 64])).await;
    closed.is_ok().then(|| since.elapsed())
}

cases! {
    async:
    the_limit_on_bodies_changes_with_the_configuration => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        assert_eq!(status(&relay, &operation("", 200)).await, 200);
        change_limit(&harness, 9, "max_body_bytes", 100).await;
        assert_eq!(status(&relay, &operation("", 100)).await, 200);
        assert_eq!(status(&relay, &operation("", 101)).await, 413);
        change_limit(&harness, 10, "max_body_bytes", 200).await;
        assert_eq!(status(&relay, &operation("", 200)).await, 200);
        assert_eq!(harness.runs("desk"), 3);
    };
    a_body_over_the_default_size_is_taken_if_the_configuration_allows_it => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        change_limit(&harness, 9, "max_body_bytes", 20 << 20).await;
        assert_eq!(status(&relay, &operation("", 18 << 20)).await, 200);
    };
    the_limit_on_heads_changes_with_the_configuration => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        let long = format!("X-Long: {}\r\n", "x".repeat(2000));
        assert_eq!(status(&relay, &operation(&long, 0)).await, 200);
        change_limit(&harness, 9, "max_header_bytes", 1024).await;
        assert_eq!(status(&relay, &operation("", 0)).await, 200);
        assert_eq!(status(&relay, &operation(&long, 0)).await, 413);
    };
    an_idle_connection_is_closed_at_the_limit_of_the_configuration => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        change_limit(&harness, 9, "idle_timeout_ms", 700).await;
        let closed = idle_time(relay.callers, Duration::from_secs(3)).await.expect("the connection was not closed");
        assert!(closed >= Duration::from_millis(650), "{closed:?}");
    };
    the_time_for_a_body_changes_with_the_settings => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        relay.reload(|text| format!("{text}[callers]\nbody_read_ms = 300\n"));
        relay.logged(107).await;
        let since = Instant::now();
        let mut cut = operation("", 100);
        cut.truncate(cut.len() - 50);
        assert_eq!(status(&relay, &cut).await, 408);
        assert!(since.elapsed() < Duration::from_secs(2), "{:?}", since.elapsed());
    };
    settings_that_cannot_be_read_change_nothing => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        relay.reload(|text| text.replace("ratio = 0.2", "ratio = \"much\""));
        let line = relay.logged(108).await;
        assert!(line.contains("retry.ratio"), "{line}");
        assert_eq!(harness.search(&relay).await.status(), 200);
    };
    a_head_that_does_not_arrive_is_answered_at_the_limit_of_the_configuration => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        change_limit(&harness, 9, "header_timeout_ms", 500).await;
        let since = Instant::now();
        assert_eq!(status(&relay, "GET /search/1 HTTP/1.1\r\n").await, 408);
        let waited = since.elapsed();
        assert!(waited >= Duration::from_millis(450) && waited < Duration::from_secs(3), "{waited:?}");
    };
}
