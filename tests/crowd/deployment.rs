//! The deployment that the relays of the cases run in.

use std::time::Duration;

use serde_json::Value;
use tokio::time::sleep;

use crate::{
    caller,
    entry::config,
    harness::{Harness, Relay},
    process,
    standin::{entries::CONFIG, target::Behaviour},
};

/// How long the callers of a crowd wait for their answers.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// The time after which a change of the configuration is in force.
const CHANGE_TIME: Duration = Duration::from_secs(1);

/// The time limits on callers. They are long, so that nothing is over by itself before the
/// case ends.
pub const LONG_TIME: Duration = Duration::from_secs(600);

/// Starts a deployment whose routes wait for [`PATIENCE`], take bodies of up to `max_body`
/// bytes and have [`LONG_TIME`] for what callers send.
pub async fn start(max_body: usize) -> Harness {
    let harness = Harness::start().await;
    let mut config = config(9);
    config["limits"]["max_body_bytes"] = max_body.into();
    for limit in ["header_timeout_ms", "idle_timeout_ms"] {
        config["limits"][limit] = Value::from(LONG_TIME.as_millis() as u64);
    }
    for route in config["routes"].as_array_mut().unwrap() {
        route["timeout_ms"] = Value::from(PATIENCE.as_millis() as u64);
    }
    harness.store.put(CONFIG, &config).await;
    harness
}

/// Sets how the targets of a service behave.
pub fn set_behaviour(harness: &Harness, service: &str, behaviour: Behaviour) {
    for (_, target) in harness.targets.iter().filter(|(id, _)| id.starts_with(service)) {
        target.set_behaviour(behaviour);
    }
}

/// Waits until a relay that has just become ready has read the configuration.
pub async fn relay(harness: &Harness, name: &str, cores: f64) -> Relay {
    let relay = harness.relay(name, cores).await;
    sleep(CHANGE_TIME).await;
    relay
}

/// Gives the process time to do with a crowd what it will do.
pub async fn settle() {
    sleep(Duration::from_secs(2)).await;
}

/// Asserts that a relay lives, is sound and serves an ordinary caller.
pub async fn assert_serves(relay: &Relay) {
    let request = caller::head("GET", "/search/1", Duration::from_secs(20), 0);
    let status = caller::status(relay.callers, request.as_bytes()).await;
    process::assert_sound(relay.process());
    assert_eq!(status, 200, "an ordinary request is served");
}
