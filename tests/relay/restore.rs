//! Tests of relays whose store returns from an older copy. See
//! `docs/incidents/older-copy.md`.

use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::fleet::{Fleet, VERSIONS};

/// The version in the copy.
const COPIED: u64 = VERSIONS[0];
/// The version that the store loses.
const LOST: u64 = VERSIONS[1];
/// The version that is written after the return.
const NEW: u64 = VERSIONS[2];
/// The version after [`NEW`].
const NEWEST: u64 = VERSIONS[3];

/// How often all targets write their entries between the copy and the return, so that the
/// numbers of these changes lie well above those of the copy.
const LOST_ROUNDS: usize = 12;

/// How long the store is away before it returns.
const AWAY: Duration = Duration::from_millis(300);

/// How long the store is left alone until every relay watches it.
const QUIET: Duration = Duration::from_millis(1500);

/// The window of the retry budget, of which each relay takes a share by the number of
/// registered relays.
const RETRY_WINDOW: Duration = Duration::from_secs(10);

/// The interval between reads of an entry that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Some relays; enough for each to have a neighbour that has heard of a change before it.
const SOME: usize = 5;

/// The relays of the incident.
const ALL: usize = 15;

/// The key of an entry that no relay reads.
const UNREAD_KEY: &str = "op/notes";

/// Starts relays and makes all of them serve a version that the store's copy lacks.
async fn start(count: usize) -> Fleet {
    let fleet = Fleet::start(count).await;
    fleet.configure(COPIED).await;
    fleet.wait_served(COPIED).await;
    sleep(QUIET).await;
    fleet.harness.store.take_copy().await;
    for _ in 0..LOST_ROUNDS {
        fleet.harness.register_targets().await;
    }
    fleet.configure(LOST).await;
    fleet.wait_served(LOST).await;
    sleep(QUIET).await;
    fleet
}

/// Lets the store return, after which the operator and the targets write again what it
/// lost.
async fn restore(fleet: &Fleet, open: &str) {
    fleet.harness.store.restore(open, AWAY).await;
    fleet.harness.register_targets().await;
    fleet.configure(LOST).await;
}

/// Asserts that a version which is written right after the return is in force at all
/// relays in time.
async fn assert_in_force_after_return(count: usize, open: &str) {
    let fleet = start(count).await;
    restore(&fleet, open).await;
    let acknowledged = fleet.configure(NEW).await;
    fleet.assert_in_force(NEW, acknowledged).await;
}

/// Writes an entry that no relay reads until the last change has a number.
async fn write_up_to(fleet: &Fleet, change: u64) {
    while fleet.harness.store.change().await < change {
        fleet.harness.store.put(UNREAD_KEY, &json!("note")).await;
    }
}

cases! {
    async:
    connections_end => {
        assert_in_force_after_return(SOME, "cut").await;
    };
    watches_are_answered_that_their_history_is_gone => {
        assert_in_force_after_return(SOME, "outdated").await;
    };
    connections_go_silent => {
        assert_in_force_after_return(SOME, "hang").await;
    };
    connections_go_silent_at_all_relays_of_the_incident => {
        assert_in_force_after_return(ALL, "hang").await;
    };
    nothing_is_lost_and_connections_go_silent => {
        let fleet = start(SOME).await;
        fleet.harness.store.take_copy().await;
        fleet.harness.store.restore("hang", AWAY).await;
        let acknowledged = fleet.configure(NEW).await;
        fleet.assert_in_force(NEW, acknowledged).await;
    };
    the_store_returns_twice_in_a_row => {
        let fleet = start(SOME).await;
        restore(&fleet, "hang").await;
        fleet.configure(NEW).await;
        restore(&fleet, "hang").await;
        fleet.configure(NEW).await;
        let acknowledged = fleet.configure(NEWEST).await;
        fleet.assert_in_force(NEWEST, acknowledged).await;
    };
    the_new_version_has_the_number_of_the_last_change_before => {
        let fleet = start(SOME).await;
        let last = fleet.harness.store.change().await;
        restore(&fleet, "hang").await;
        write_up_to(&fleet, last - 1).await;
        let acknowledged = fleet.configure(NEW).await;
        fleet.assert_in_force(NEW, acknowledged).await;
    };
    numbers_are_given_out_again_beyond_the_last_change_before => {
        let fleet = start(SOME).await;
        let last = fleet.harness.store.change().await;
        restore(&fleet, "hang").await;
        let acknowledged = fleet.configure(NEW).await;
        write_up_to(&fleet, last + 10).await;
        fleet.assert_in_force(NEW, acknowledged).await;
    };
    a_relay_is_paused_through_the_return => {
        let fleet = start(SOME).await;
        fleet.relays[0].pause();
        restore(&fleet, "hang").await;
        let acknowledged = fleet.configure(NEW).await;
        sleep(Duration::from_secs(1)).await;
        fleet.relays[0].resume();
        fleet.assert_in_force(NEW, acknowledged).await;
    };
    a_relay_starts_in_the_new_era => {
        let mut fleet = start(SOME).await;
        restore(&fleet, "hang").await;
        let acknowledged = fleet.configure(NEW).await;
        fleet.add().await;
        fleet.assert_in_force(NEW, acknowledged).await;
        let acknowledged = fleet.configure(NEWEST).await;
        fleet.assert_in_force(NEWEST, acknowledged).await;
    };
    a_relay_that_registered_after_the_copy_registers_again => {
        let mut fleet = start(SOME).await;
        fleet.add().await;
        let key = format!("vms/{}", fleet.relays[SOME].name());
        while !fleet.harness.store.has(&key).await {
            sleep(POLL_INTERVAL).await;
        }
        sleep(QUIET).await;
        restore(&fleet, "hang").await;
        let acknowledged = fleet.configure(NEW).await;
        fleet.assert_in_force(NEW, acknowledged).await;
        while !fleet.harness.store.has(&key).await {
            assert!(acknowledged.elapsed() < RETRY_WINDOW, "{key} is not written again");
            sleep(POLL_INTERVAL).await;
        }
    };
    answers_are_lost_after_the_return => {
        let fleet = start(SOME).await;
        restore(&fleet, "cut").await;
        fleet.harness.store.set_faults(&json!({ "down": "hang" })).await;
        let acknowledged = fleet.configure(NEW).await;
        sleep(Duration::from_millis(500)).await;
        fleet.harness.store.set_faults(&json!({})).await;
        fleet.assert_in_force(NEW, acknowledged).await;
    };
}
