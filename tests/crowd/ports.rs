//! Callers that hold every connection of a port, and ordinary ones that come after them.

use std::{net::SocketAddr, time::Duration};

use laburnum_platform::caller::READY_PATH;

use crate::{
    alone::alone,
    caller::{self, crowd, head, plain_head, read_slowly, send_slowly},
    deployment::{self, PATIENCE, assert_serves, set_behaviour, settle},
    harness::{Harness, Relay},
    process,
    standin::target::Behaviour,
};

/// The number of connections that the settings of a case allow callers, and the number
/// that the ports for probes and metrics take.
const CONNECTIONS: usize = 16;

/// The number of connections that a crowd opens.
const CROWD: usize = 3 * CONNECTIONS;

const BODY: usize = 100_000;

/// Starts a relay that takes few connections of callers.
async fn start() -> (Harness, Relay) {
    let harness = deployment::start(4 << 20).await;
    let mut relay = harness.relay("vm-1", 1.0).await;
    relay.change_settings(|text| {
        format!("{text}[callers]\nopen_connections = {CONNECTIONS}\nbody_read_ms = 600000\n")
    });
    relay.terminate();
    harness.restart(&mut relay).await;
    settle().await;
    (harness, relay)
}

async fn idle() {
    let (_harness, relay) = start().await;
    let _callers = crowd(relay.callers, CROWD, b"").await;
    settle().await;
    assert_serves(&relay).await;
}

async fn slow_heads() {
    let (_harness, relay) = start().await;
    let callers = crowd(relay.callers, CROWD, b"GET /search/1 HTTP/1.1\r\nFiller: ").await;
    send_slowly(callers);
    settle().await;
    assert_serves(&relay).await;
}

async fn slow_bodies() {
    let (_harness, relay) = start().await;
    let request = head("POST", "/desk/1", PATIENCE, BODY);
    send_slowly(crowd(relay.callers, CROWD, request.as_bytes()).await);
    settle().await;
    assert_serves(&relay).await;
}

async fn slow_readers() {
    let (harness, relay) = start().await;
    let long = Behaviour { body_bytes: 8 << 20, ..Behaviour::default() };
    set_behaviour(&harness, "desk", long);
    let request = head("POST", "/desk/1", PATIENCE, 0);
    read_slowly(crowd(relay.callers, CROWD, request.as_bytes()).await);
    settle().await;
    assert_serves(&relay).await;
}

/// Holds every connection of a port that serves `path`, and asserts that it is served all
/// the same.
async fn hold(relay: &Relay, port: SocketAddr, path: &str) {
    let _idle = crowd(port, CROWD, b"").await;
    let begun = format!("GET {path} HTTP/1.1\r\nFiller: ");
    send_slowly(crowd(port, CROWD, begun.as_bytes()).await);
    settle().await;
    let request = plain_head("GET", path, 0);
    let status = caller::status(port, request.as_bytes()).await;
    process::assert_sound(relay.process());
    assert_eq!(status, 200, "{path} is served");
}

async fn probes() {
    let (_harness, relay) = start().await;
    hold(&relay, relay.ready, READY_PATH).await;
}

async fn metrics() {
    let (_harness, relay) = start().await;
    hold(&relay, relay.metrics, "/metrics").await;
}

/// Metrics whose collectors do not read them.
async fn unread_metrics() {
    let (_harness, relay) = start().await;
    let requests = plain_head("GET", "/metrics", 0).repeat(200);
    read_slowly(crowd(relay.metrics, CROWD, requests.as_bytes()).await);
    settle().await;
    let request = plain_head("GET", "/metrics", 0);
    let status = caller::status(relay.metrics, request.as_bytes()).await;
    process::assert_sound(relay.process());
    assert_eq!(status, 200, "metrics are served");
}

/// More connections than the process has descriptors.
async fn descriptors() {
    let harness = deployment::start(4 << 20).await;
    let mut relay = harness.relay("vm-1", 1.0).await;
    relay.limit_descriptors(200);
    relay.terminate();
    harness.restart(&mut relay).await;
    settle().await;
    let _callers = crowd(relay.callers, 300, b"").await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_serves(&relay).await;
}

cases! {
    idle_connections_take_no_other_callers_place => alone(idle);
    slow_heads_take_no_other_callers_place => alone(slow_heads);
    slow_bodies_take_no_other_callers_place => alone(slow_bodies);
    slow_readers_take_no_other_callers_place => alone(slow_readers);
    the_port_for_probes_serves_beside_a_crowd => alone(probes);
    the_port_for_metrics_serves_beside_a_crowd => alone(metrics);
    metrics_that_are_not_read => alone(unread_metrics);
    a_crowd_leaves_descriptors_for_targets => alone(descriptors);
}
