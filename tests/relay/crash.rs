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
    harness::Harness,
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

cases! {
    async:
    // Guards against a request that crashes targets once through each VM, because no VM
    // knows what the request did at the others (review/5).
    a_request_that_crashes_targets_is_stopped_at_all_vms => {
        let harness = Harness::start().await;
        let crashes = start_targets(&harness, 4).await;
        let mut relays = Vec::new();
        for number in 0..6 {
            relays.push(harness.relay(&format!("vm-{number}"), 1.0).await);
        }
        sleep(Duration::from_secs(3)).await;
        for relay in relays.iter().chain(&relays) {
            let response = harness.operate(relay).await;
            assert!(!response.status().is_success());
            sleep(Duration::from_millis(700)).await;
        }
        let crashes = crashes.load(Ordering::Relaxed);
        assert!((2..=3).contains(&crashes), "{crashes} crashes");
    };
}
