//! Tests of relays whose store loses the answers to all watches.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::{
    entry::config_with_added_route,
    harness::Harness,
    standin::entries::{self, CONFIG, target_key},
};

/// The time after the end of an outage within which every relay must know what it missed.
const CATCH_UP_LIMIT: Duration = Duration::from_secs(2);

/// Makes the store silent for a time, with a new route and a target that leaves meanwhile.
async fn assert_nothing_is_missed(outage: Duration) {
    let harness = Harness::start().await;
    let mut relays = Vec::new();
    for name in ["vm-1", "vm-2", "vm-3"] {
        relays.push(harness.relay(name, 1.0).await);
    }
    sleep(Duration::from_secs(3)).await;
    harness.store.set_faults(&json!({ "down": "hang" })).await;
    harness.store.put(CONFIG, &config_with_added_route(9)).await;
    let address = "127.0.0.1:9".parse().unwrap();
    let leaving = entries::target("one", address, 2, true);
    harness.store.put(&target_key("one-1"), &leaving).await;
    sleep(outage).await;
    harness.store.set_faults(&json!({})).await;
    sleep(CATCH_UP_LIMIT).await;
    let before = harness.targets["one-1"].arrivals();
    for relay in &relays {
        let response = harness.send(relay, reqwest::Method::GET, "/added/1").await;
        assert_eq!(response.status(), 200);
    }
    assert_eq!(harness.targets["one-1"].arrivals(), before);
}

cases! {
    async:
    a_short_silence_of_the_store_hides_no_change => {
        assert_nothing_is_missed(Duration::from_millis(400)).await;
    };
    a_long_silence_of_the_store_hides_no_change => {
        assert_nothing_is_missed(Duration::from_millis(4500)).await;
    };
}
