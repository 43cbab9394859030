//! Crowds whose requests a small VM hands to a larger one.

use std::time::Duration;

use crate::{
    alone::alone,
    caller::{self, crowd, head, read_slowly},
    deployment::{self, PATIENCE, assert_serves, set_behaviour, settle},
    process,
    standin::target::Behaviour,
};

/// The size of a long body and a long answer that fit into one message between VMs, in
/// bytes.
const LONG: usize = 3 << 20;

const CROWD: usize = 64;

async fn slow_readers() {
    let harness = deployment::start(LONG).await;
    let large = deployment::relay(&harness, "large", 1.0).await;
    let small = deployment::relay(&harness, "small", 0.1).await;
    set_behaviour(&harness, "desk", Behaviour { body_bytes: LONG, ..Behaviour::default() });
    let request = head("POST", "/desk/1", PATIENCE, 0);
    read_slowly(crowd(small.callers, CROWD, request.as_bytes()).await);
    settle().await;
    process::assert_sound(large.process());
    assert_serves(&small).await;
}

/// Bodies that a VM takes that knows no configuration.
async fn waiting_requests() {
    const BODY: usize = 1 << 20;
    const CROWD: usize = 160;
    let harness = deployment::start(BODY).await;
    let large = deployment::relay(&harness, "large", 1.0).await;
    let small = deployment::relay(&harness, "small", 0.1).await;
    let slow = Behaviour { run_time: Duration::from_secs(10), ..Behaviour::default() };
    set_behaviour(&harness, "desk", slow);
    let mut request = head("POST", "/desk/1", PATIENCE, BODY).into_bytes();
    request.resize(request.len() + BODY, b'x');
    let _callers = crowd(small.callers, CROWD, &request).await;
    settle().await;
    process::assert_sound(large.process());
    assert_serves(&small).await;
}

async fn long_answer() {
    const LONGER: usize = 8 << 20;
    let harness = deployment::start(LONG).await;
    let _large = deployment::relay(&harness, "large", 1.0).await;
    let small = deployment::relay(&harness, "small", 0.1).await;
    set_behaviour(&harness, "desk", Behaviour { body_bytes: LONGER, ..Behaviour::default() });
    let request = head("POST", "/desk/1", Duration::from_secs(8), 0);
    let answer = caller::exchange(small.callers, request.as_bytes()).await;
    assert_eq!(answer, (200, LONGER));
    assert_serves(&small).await;
}

async fn long_body() {
    const LONGER: usize = 6 << 20;
    let harness = deployment::start(LONGER).await;
    let _large = deployment::relay(&harness, "large", 1.0).await;
    let small = deployment::relay(&harness, "small", 0.1).await;
    let mut request = head("POST", "/desk/1", PATIENCE, LONGER).into_bytes();
    request.resize(request.len() + LONGER, b'x');
    assert_eq!(caller::exchange(small.callers, &request).await.0, 200);
    assert_serves(&small).await;
}

cases! {
    slow_readers_at_a_small_vm => alone(slow_readers);
    long_bodies_that_a_larger_vm_holds => alone(waiting_requests);
    an_answer_longer_than_a_message_between_vms => alone(long_answer);
    a_body_longer_than_a_message_between_vms => alone(long_body);
}
