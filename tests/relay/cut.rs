//! Tests of targets that close in the middle of their replies.

use std::{net::SocketAddr, time::Duration};

use serde_json::json;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    entry::config,
    harness::Harness,
    standin::entries::{self, CONFIG},
};

const SERVICE: &str = "cutter";

/// The parts of a reply, of which a target sends the first few.
const PARTS: [&str; 6] = [
    "HTTP/1.1 200",
    " OK\r\n",
    "Server-Seal: s\r\n",
    "Attempt-Id: c1\r\nConte",
    "nt-Length: 2\r\n",
    "\r\no",
];

/// Starts a target that answers each request with the first `count` parts and closes the
/// connection.
async fn start_target(count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (connection, _) = listener.accept().await.unwrap();
            tokio::spawn(answer(connection, PARTS[..count].concat()));
        }
    });
    address
}

async fn answer(mut connection: TcpStream, text: String) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        match connection.read_u8().await {
            Ok(byte) => head.push(byte),
            Err(_) => return,
        }
    }
    connection.write_all(text.as_bytes()).await.unwrap();
}

cases! {
    async:
    // Guards against a 200 with an empty or short body that is framed as whole, after a target
    // stopped in the middle of its reply.
    a_reply_that_is_cut_anywhere_is_no_success => {
        let harness = Harness::start().await;
        for count in 1..=PARTS.len() {
            let entry = entries::target(SERVICE, start_target(count).await, 2, false);
            harness.store.put(&entries::target_key(&format!("cutter-{count}")), &entry).await;
        }
        let mut cut = config(9);
        let service = json!({"name": SERVICE, "health_path": "/health", "max_conns": 50});
        cut["backends"].as_array_mut().unwrap().push(service);
        cut["routes"][1]["backend"] = SERVICE.into();
        harness.store.put(CONFIG, &cut).await;
        let relay = harness.relay("vm-1", 1.0).await;
        sleep(Duration::from_secs(1)).await;
        // Each request reaches another target, as one that closed is not used for a while.
        for _ in 0..PARTS.len() {
            assert_eq!(harness.operate(&relay).await.status(), 502);
        }
    };
}
