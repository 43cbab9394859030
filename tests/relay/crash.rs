//! Tests of requests that crash the targets that run them, sent to several VMs.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    entry::config_with_service,
    harness::{Harness, Relay},
    standin::entries::{self, CONFIG},
};

/// How long a target is down after a crash.
const DOWN_TIME: Duration = Duration::from_secs(1);

/// The service whose targets crash.
const SERVICE: &str = "crasher";

/// Runs a target that crashes at each request: all its connections are closed, and it
/// refuses new ones for [`DOWN_TIME`]. It counts its crashes in `crashes`.
async fn run_target(address: SocketAddr, crashes: Arc<AtomicU64>) {
    loop {
        let listener = TcpListener::bind(address).await.unwrap();
        wait_for_request(listener).await;
        crashes.fetch_add(1, Ordering::Relaxed);
        sleep(DOWN_TIME).await;
    }
}

/// Returns when a connection brings a request, and closes all connections then.
async fn wait_for_request(listener: TcpListener) {
    let mut readers = tokio::task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let (connection, _) = accepted.unwrap();
                readers.spawn(read_head(connection));
            }
            Some(Ok(true)) = readers.join_next() => return,
        }
    }
}

/// Returns whether a request came, or false at the end of the connection.
async fn read_head(mut connection: TcpStream) -> bool {
    matches!(connection.read(&mut [0; 16]).await, Ok(1..))
}

/// Starts `count` targets that crash at each request and sends the operation to them.
/// Returns the number of their crashes.
async fn start_targets(harness: &Harness, count: usize) -> Arc<AtomicU64> {
    let crashes = Arc::new(AtomicU64::new(0));
    for number in 0..count {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        tokio::spawn(run_target(address, Arc::clone(&crashes)));
        let entry = entries::target(SERVICE, address, 2, false);
        harness.store.put(&entries::target_key(&format!("{SERVICE}-{number}")), &entry).await;
    }
    harness.store.put(CONFIG, &config_with_service(9, SERVICE)).await;
    crashes
}

/// Starts relays and waits until they know all targets.
async fn start_relays(harness: &Harness, count: usize) -> Vec<Relay> {
    let mut relays = Vec::new();
    for number in 0..count {
        relays.push(harness.relay(&format!("vm-{number}"), 1.0).await);
    }
    sleep(Duration::from_secs(3)).await;
    relays
}

/// Sends the request that crashes targets through each relay in turn.
async fn send_through(harness: &Harness, relays: &[Relay]) {
    for relay in relays {
        let response = harness.operate(relay).await;
        assert!(!response.status().is_success());
        sleep(Duration::from_millis(700)).await;
    }
}

cases! {
    async:
    // Guards against a request that crashes targets once through each VM, because no VM
    // knows what the request did at the others (review/5).
    a_request_that_crashes_targets_is_stopped_at_all_vms => {
        let harness = Harness::start().await;
        let crashes = start_targets(&harness, 4).await;
        let relays = start_relays(&harness, 6).await;
        send_through(&harness, &relays).await;
        send_through(&harness, &relays).await;
        let crashes = crashes.load(Ordering::Relaxed);
        assert!((2..=3).contains(&crashes), "{crashes} crashes");
    };
    // Guards against a request that crashes targets again because the store has lost what
    // the first VM wrote about it. Its two targets crash so shortly after each other that
    // the other VMs know of the quarantine only from the store.
    a_request_that_crashes_targets_stays_stopped_when_the_store_returns_from_a_copy => {
        let harness = Harness::start().await;
        let crashes = start_targets(&harness, 4).await;
        let mut idempotent = config_with_service(10, SERVICE);
        idempotent["routes"][1]["kind"] = "idempotent".into();
        harness.store.put(CONFIG, &idempotent).await;
        let relays = start_relays(&harness, 4).await;
        harness.store.take_copy().await;
        send_through(&harness, &relays).await;
        assert_eq!(crashes.load(Ordering::Relaxed), 2);
        harness.store.restore("cut", Duration::from_millis(300)).await;
        sleep(Duration::from_secs(3)).await;
        send_through(&harness, &relays).await;
        let crashes = crashes.load(Ordering::Relaxed);
        assert!((2..=3).contains(&crashes), "{crashes} crashes");
    };
}
