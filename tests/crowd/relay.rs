//! Crowds of callers of a relay.

use std::time::Duration;

use crate::{
    alone::alone,
    caller::{self, crowd, head, read_slowly, send_slowly},
    deployment::{self, PATIENCE, assert_serves, set_behaviour, settle},
    standin::target::Behaviour,
};

/// The size of a long answer, in bytes.
const LONG_ANSWER: usize = 8 << 20;

/// The size of the longest body that the configuration of a case allows, in bytes.
const LONG_BODY: usize = 4 << 20;

/// The number of callers in a crowd.
const CROWD: usize = 48;

fn long_answers(size: usize) -> Behaviour {
    Behaviour { body_bytes: size, ..Behaviour::default() }
}

async fn slow_readers() {
    let harness = deployment::start(LONG_BODY).await;
    let relay = deployment::relay(&harness, "vm-1", 1.0).await;
    set_behaviour(&harness, "desk", long_answers(LONG_ANSWER));
    let request = head("POST", "/desk/1", PATIENCE, 0);
    read_slowly(crowd(relay.callers, CROWD, request.as_bytes()).await);
    settle().await;
    assert_serves(&relay).await;
}

async fn callers_that_never_read() {
    let harness = deployment::start(LONG_BODY).await;
    let relay = deployment::relay(&harness, "vm-1", 1.0).await;
    set_behaviour(&harness, "desk", long_answers(LONG_ANSWER));
    let request = head("POST", "/desk/1", PATIENCE, 0);
    let _callers = crowd(relay.callers, CROWD, request.as_bytes()).await;
    settle().await;
    assert_serves(&relay).await;
}

async fn pipelined_requests() {
    let harness = deployment::start(LONG_BODY).await;
    let relay = deployment::relay(&harness, "vm-1", 1.0).await;
    set_behaviour(&harness, "desk", long_answers(LONG_BODY));
    let requests = head("POST", "/desk/1", PATIENCE, 0).repeat(100);
    read_slowly(crowd(relay.callers, CROWD, requests.as_bytes()).await);
    settle().await;
    assert_serves(&relay).await;
}

async fn bodies_without_their_end() {
    let harness = deployment::start(LONG_BODY).await;
    let relay = deployment::relay(&harness, "vm-1", 1.0).await;
    let mut request = head("POST", "/desk/1", PATIENCE, LONG_BODY).into_bytes();
    request.resize(request.len() + LONG_BODY - 4096, b'x');
    send_slowly(crowd(relay.callers, CROWD, &request).await);
    settle().await;
    assert_serves(&relay).await;
}

async fn bodies_of_requests_that_wait() {
    let harness = deployment::start(LONG_BODY).await;
    let relay = deployment::relay(&harness, "vm-1", 1.0).await;
    let slow = Behaviour { run_time: Duration::from_secs(10), ..Behaviour::default() };
    set_behaviour(&harness, "desk", slow);
    let mut request = head("POST", "/desk/1", PATIENCE, LONG_BODY).into_bytes();
    request.resize(request.len() + LONG_BODY, b'x');
    let _callers = crowd(relay.callers, CROWD, &request).await;
    settle().await;
    assert_serves(&relay).await;
}

async fn long_replies_of_shards() {
    let harness = deployment::start(LONG_BODY).await;
    let relay = deployment::relay(&harness, "vm-1", 1.0).await;
    for service in ["one", "two", "three"] {
        set_behaviour(&harness, service, long_answers(LONG_ANSWER));
    }
    let request = head("GET", "/search/1", PATIENCE, 0);
    let _callers = crowd(relay.callers, CROWD, request.as_bytes()).await;
    settle().await;
    for service in ["one", "two", "three"] {
        set_behaviour(&harness, service, Behaviour::default());
    }
    settle().await;
    assert_serves(&relay).await;
}

async fn largest_request_and_long_answer() {
    let harness = deployment::start(LONG_BODY).await;
    let relay = deployment::relay(&harness, "vm-1", 1.0).await;
    set_behaviour(&harness, "desk", long_answers(2 * LONG_ANSWER));
    let mut request = head("POST", "/desk/1", PATIENCE, LONG_BODY).into_bytes();
    request.resize(request.len() + LONG_BODY, b'x');
    let answer = caller::exchange(relay.callers, &request).await;
    assert_eq!(answer, (200, 2 * LONG_ANSWER));
    assert_serves(&relay).await;
}

cases! {
    slow_readers_of_long_answers => alone(slow_readers);
    callers_that_never_read_their_long_answers => alone(callers_that_never_read);
    slow_readers_that_pipeline => alone(pipelined_requests);
    long_bodies_that_stop_before_their_end => alone(bodies_without_their_end);
    long_bodies_of_requests_that_wait => alone(bodies_of_requests_that_wait);
    long_replies_of_many_shards => alone(long_replies_of_shards);
    the_largest_request_and_a_long_answer_in_calm => alone(largest_request_and_long_answer);
}
