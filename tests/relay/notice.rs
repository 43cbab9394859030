//! Tests of what a relay does when targets say that they leave, ask for a pause or send
//! bytes without end.

use std::{net::SocketAddr, time::Duration};

use laburnum_platform::header as names;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::{
    harness::{Harness, Relay},
    standin::{
        entries::{self, target_key},
        target::Behaviour,
    },
};

/// The event of a connection that was lost.
const CONNECTION_LOST: u16 = 302;

/// Sends searches for a time and asserts that all of them are complete.
async fn search_for(harness: &Harness, relay: &Relay, count: usize) {
    for _ in 0..count {
        let response = harness.search(relay).await;
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()[names::MISSING], "0");
        sleep(Duration::from_millis(30)).await;
    }
}

/// Starts a target that answers every request with `start` and then with `rest` until its
/// peer closes the connection.
async fn start_flooding(start: &'static str, rest: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(flood(socket, start, rest.clone()));
        }
    });
    address
}

async fn flood(mut socket: TcpStream, start: &'static str, rest: String) {
    let mut request = [0; 64];
    if socket.read(&mut request).await.is_ok_and(|length| length > 0)
        && socket.write_all(start.as_bytes()).await.is_ok()
    {
        while socket.write_all(rest.as_bytes()).await.is_ok() {}
    }
}

/// Asserts that searches are complete beside a target that floods its connections.
async fn assert_served_beside(start: &'static str, rest: &str) {
    let harness = Harness::start().await;
    let relay = harness.relay("vm-1", 1.0).await;
    search_for(&harness, &relay, 10).await;
    let address = start_flooding(start, rest.repeat(1000)).await;
    let entry = entries::target("one", address, 2, false);
    harness.store.put(&target_key("one-flood"), &entry).await;
    sleep(Duration::from_millis(2500)).await;
    // The other targets turn slow, so that the new one is tried.
    for id in ["one-1", "one-2"] {
        let run_time = Duration::from_millis(40);
        harness.targets[id].set_behaviour(Behaviour { run_time, ..Behaviour::default() });
    }
    search_for(&harness, &relay, 40).await;
    let line = relay.logged(CONNECTION_LOST).await;
    assert!(line.contains("one-flood"), "{line}");
}

cases! {
    async:
    a_target_that_says_it_is_leaving_is_left_alone => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        search_for(&harness, &relay, 10).await;
        let target = &harness.targets["one-1"];
        target.set_behaviour(Behaviour { is_leaving: true, ..Behaviour::default() });
        harness.targets["one-2"].set_behaviour(Behaviour { refuses: true, ..Behaviour::default() });
        search_for(&harness, &relay, 1).await;
        harness.targets["one-2"].set_behaviour(Behaviour::default());
        sleep(Duration::from_millis(300)).await;
        let before = target.arrivals();
        search_for(&harness, &relay, 60).await;
        assert_eq!(target.arrivals(), before);
    };
    a_target_that_asks_for_a_pause_gets_it => {
        let harness = Harness::start().await;
        let relay = harness.relay("vm-1", 1.0).await;
        search_for(&harness, &relay, 10).await;
        let target = &harness.targets["one-1"];
        target.set_behaviour(Behaviour { refuses: true, retry_after: Some("2.5"), ..Behaviour::default() });
        let mut before = target.arrivals();
        while target.arrivals() == before {
            search_for(&harness, &relay, 1).await;
        }
        sleep(Duration::from_millis(100)).await;
        before = target.arrivals();
        let other = harness.targets["one-2"].clone();
        other.set_behaviour(Behaviour { run_time: Duration::from_millis(30), ..Behaviour::default() });
        search_for(&harness, &relay, 20).await;
        assert_eq!(target.arrivals(), before);
    };
    a_target_whose_head_has_no_end => {
        assert_served_beside("HTTP/1.1 200 OK\r\n", "a: b\r\n").await;
    };
    a_target_whose_interim_responses_have_no_end => {
        assert_served_beside("", "HTTP/1.1 100 Continue\r\n\r\n").await;
    };
    a_target_whose_body_has_no_end => {
        let start = "HTTP/1.1 200 OK\r\nserver-seal: x\r\ntransfer-encoding: chunked\r\n\r\n";
        let chunk = format!("400\r\n{}\r\n", "b".repeat(1024));
        assert_served_beside(start, &chunk).await;
    };
}
