//! Tests of the return of the platform's stand-in from an earlier copy.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use laburnum_core::store::{Call, LeaseId, Position, Reply, Version};
use laburnum_platform::store::shape::{
    CHANGE_PATH, ERA, KEEP_PATH, KEY_PATH, LEASE_PATH, RANGE_PATH, WATCH_PATH,
};
use reqwest::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::timeout,
};

use crate::service::{CALL_LIMIT, Service, TestClient, get, is_lost, is_refused, swap, watch};

/// A time that does not elapse within a case.
const LONG_MS: u64 = 20_000;

/// How long a case waits for an answer that must not come.
const SILENCE: Duration = Duration::from_millis(300);

impl Service {
    async fn take_copy(&self) {
        assert_eq!(self.put("/v1/copy", json!(null)).await, StatusCode::NO_CONTENT);
    }

    /// Lets the store return from the copy at once.
    async fn restore(&self, open: &str) {
        let status = self.put("/v1/restore", json!({ "open": open })).await;
        assert_eq!(status, StatusCode::NO_CONTENT);
    }
}

/// A request to the store over HTTP.
struct Raw {
    method: Method,
    path: String,
    body: Value,
}

impl Raw {
    fn get(path: String) -> Raw {
        Raw { method: Method::GET, path, body: Value::Null }
    }

    fn post(path: String, body: Value) -> Raw {
        Raw { method: Method::POST, path, body }
    }
}

/// Returns requests with the statuses that they get from a store without keys.
fn requests_of_every_kind() -> Vec<(Raw, u16)> {
    let unmet = json!({ "expect_rev": [{ "key": "a", "revision": 7 }], "remove": ["a"] });
    let met = json!({
        "expect_rev": [{ "key": "b", "revision": 0 }], "puts": [{ "key": "b", "value": "" }],
    });
    vec![
        (Raw::get(format!("{KEY_PATH}?key=a")), 404),
        (Raw::get(format!("{RANGE_PATH}?prefix=a")), 200),
        (Raw::get(format!("{RANGE_PATH}?prefix=a&stale_ok=1")), 200),
        (Raw::get(format!("{WATCH_PATH}?prefix=a&after=0&watch_timeout_ms=1")), 200),
        (Raw::get(format!("{WATCH_PATH}?prefix=a&after=99&watch_timeout_ms=1")), 410),
        (Raw::get(WATCH_PATH.to_owned()), 400),
        (Raw::post(CHANGE_PATH.to_owned(), unmet), 412),
        (Raw::post(CHANGE_PATH.to_owned(), met), 200),
        (Raw::post(CHANGE_PATH.to_owned(), json!("no change")), 400),
        (Raw::get(CHANGE_PATH.to_owned()), 405),
        (Raw::post(LEASE_PATH.to_owned(), json!({ "ttl_ms": LONG_MS })), 200),
        (Raw::post(format!("{KEEP_PATH}99"), Value::Null), 404),
    ]
}

/// Sends a request and returns the status and the era of the response.
async fn send(address: SocketAddr, raw: Raw) -> (u16, String) {
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let url = format!("http://{address}{}", raw.path);
    let response = client.request(raw.method, url).json(&raw.body).send().await.unwrap();
    let era = response.headers().get(ERA).expect("the response states the era");
    (response.status().as_u16(), era.to_str().unwrap().to_owned())
}

async fn assert_eras(service: &Service, expected: &str) {
    for (raw, expected_status) in requests_of_every_kind() {
        let path = raw.path.clone();
        let (status, era) = send(service.address, raw).await;
        assert_eq!((status, &*era), (expected_status, expected), "{path}");
    }
}

/// Writes a request that reads a key to an open connection.
async fn write_read(stream: &mut TcpStream) {
    let request = format!("GET {KEY_PATH}?key=a HTTP/1.1\r\nhost: store\r\n\r\n");
    stream.write_all(request.as_bytes()).await.unwrap();
}

/// Reads a key over an open connection and returns the response, or none if no response
/// comes.
async fn read_over(stream: &mut TcpStream) -> Option<String> {
    write_read(stream).await;
    let mut bytes = [0; 4096];
    let length = timeout(SILENCE, stream.read(&mut bytes)).await.ok()?.unwrap();
    Some(String::from_utf8(bytes[..length].to_vec()).unwrap())
}

/// Returns the reply to a watch that is open during a return.
async fn reply_to_open_watch(open: &str) -> Reply {
    let service = Service::start();
    let mut client = service.client("vm-1");
    service.take_copy().await;
    client.start(watch("a", 0, SILENCE.as_millis() as u64));
    while !service.call_counts().await.contains_key("watch") {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    service.restore(open).await;
    client.next().await.1
}

async fn grant(client: &mut TestClient) -> LeaseId {
    match client.call(Call::Grant { ttl: Duration::from_millis(LONG_MS) }).await {
        Reply::Leased { lease } => lease,
        other => panic!("{other:?}"),
    }
}

async fn write_under(client: &mut TestClient, key: &str, lease: LeaseId) {
    let call = Call::Swap { key: key.to_owned(), expect: None, value: vec![1], lease: Some(lease) };
    assert!(matches!(client.call(call).await, Reply::Swapped { .. }));
}

cases! { async:
    every_answer_states_the_era_which_rises_with_each_return => {
        let service = Service::start();
        service.take_copy().await;
        assert_eras(&service, "1").await;
        service.restore("outdated").await;
        assert_eras(&service, "2").await;
        service.restore("outdated").await;
        assert_eras(&service, "3").await;
    };
    a_refusal_states_the_era => {
        let service = Service::start();
        for _ in 0..2 {
            service.take_copy().await;
            service.restore("cut").await;
        }
        service.set_faults(json!({ "down": "refuse" })).await;
        for (raw, _) in requests_of_every_kind() {
            assert_eq!(send(service.address, raw).await.1, "3");
        }
    };
    what_was_written_since_the_copy_is_gone_and_its_numbers_are_given_out_again => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        let kept = client.write("kept", None, b"1").await;
        let removed = client.write("removed", None, b"1").await;
        service.take_copy().await;
        client.write("kept", Some(kept), b"2").await;
        client.call(Call::Remove { key: "removed".to_owned(), expect: removed }).await;
        let lost = client.write("lost", None, b"1").await;
        assert_eq!(lost, Version(Position::new(1, 5)));
        service.restore("outdated").await;
        assert_eq!(client.read("kept").await.unwrap().value, b"1");
        let found = client.read("removed").await.unwrap().version;
        assert_eq!(found, Version(Position::new(2, removed.0.change)));
        assert_eq!(client.call(get("lost")).await, Reply::Value { entry: None, position: Position::new(2, 2) });
        assert_eq!(client.write("other", None, b"1").await, Version(Position::new(2, 3)));
    };
    the_copy_is_of_the_time_when_it_was_taken_last => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        for value in [b"1", b"2"] {
            service.put("/v1/entry?key=a", json!(null)).await;
            service.take_copy().await;
            client.write("b", None, value).await;
            service.restore("outdated").await;
            assert_eq!(client.read("b").await, None);
        }
        assert_eq!(client.read("a").await.unwrap().version, Version(Position::new(3, 2)));
    };
    leases_granted_since_the_copy_are_gone_with_their_keys => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        let kept = grant(&mut client).await;
        write_under(&mut client, "kept", kept).await;
        service.take_copy().await;
        let lost = grant(&mut client).await;
        write_under(&mut client, "lost", lost).await;
        service.restore("outdated").await;
        assert_eq!(client.call(Call::Keep { lease: lost }).await, Reply::Lapsed);
        assert_eq!(client.read("lost").await, None);
        assert_eq!(client.call(Call::Keep { lease: kept }).await, Reply::Leased { lease: kept });
        assert!(client.read("kept").await.is_some());
    };
    a_watch_from_a_change_that_the_store_does_not_have_is_outdated => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        let version = client.write("a", None, b"1").await;
        let reply = client.call(watch("a", version.0.change + 1, LONG_MS)).await;
        assert_eq!(reply, Reply::Outdated);
    };
    a_watch_from_a_change_that_was_lost_is_outdated => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.take_copy().await;
        let lost = client.write("a", None, b"1").await;
        service.restore("outdated").await;
        assert_eq!(client.call(watch("a", lost.0.change, LONG_MS)).await, Reply::Outdated);
        let reply = client.call(watch("a", 0, 1)).await;
        assert_eq!(reply, Reply::Changed { entries: vec![], removed: vec![], position: Position::new(2, 0) });
    };
    an_open_watch_is_cut => {
        let reply = reply_to_open_watch("cut").await;
        assert!(is_refused(&reply), "{reply:?}");
    };
    an_open_watch_is_never_answered => {
        let since = Instant::now();
        let reply = reply_to_open_watch("hang").await;
        assert!(is_refused(&reply) && since.elapsed() >= SILENCE + CALL_LIMIT, "{reply:?}");
    };
    an_open_watch_is_answered_that_its_history_is_gone => {
        assert_eq!(reply_to_open_watch("outdated").await, Reply::Outdated);
    };
    an_open_connection_goes_silent_and_a_new_one_is_served => {
        let service = Service::start();
        let mut open = TcpStream::connect(service.address).await.unwrap();
        let mut unused = TcpStream::connect(service.address).await.unwrap();
        assert!(read_over(&mut open).await.unwrap().contains("404"));
        service.take_copy().await;
        service.restore("hang").await;
        assert_eq!(read_over(&mut open).await, None);
        assert_eq!(read_over(&mut unused).await, None);
        let mut new = TcpStream::connect(service.address).await.unwrap();
        assert!(read_over(&mut new).await.unwrap().contains("404"));
        service.restore("outdated").await;
        assert_eq!(read_over(&mut unused).await, None);
        assert!(read_over(&mut new).await.unwrap().contains("404"));
    };
    an_open_connection_is_closed_at_its_next_call => {
        let service = Service::start();
        let mut open = TcpStream::connect(service.address).await.unwrap();
        assert!(read_over(&mut open).await.unwrap().contains("404"));
        service.take_copy().await;
        service.restore("cut").await;
        write_read(&mut open).await;
        let mut rest = Vec::new();
        timeout(SILENCE, open.read_to_end(&mut rest)).await.unwrap().unwrap();
        assert!(!String::from_utf8(rest).unwrap().contains("404"));
    };
    a_connection_opened_while_the_store_is_away_goes_silent_too => {
        let service = Service::start();
        service.take_copy().await;
        let returned = service.put("/v1/restore", json!({ "open": "hang", "away_ms": 200 }));
        let opened = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            let mut early = TcpStream::connect(service.address).await.unwrap();
            (read_over(&mut early).await, read_over(&mut early).await)
        };
        let (status, answers) = tokio::join!(returned, opened);
        assert_eq!((status, answers), (StatusCode::NO_CONTENT, (None, None)));
    };
    calls_fail_until_the_return => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.take_copy().await;
        let since = Instant::now();
        let returned = service.put("/v1/restore", json!({ "open": "outdated", "away_ms": 200 }));
        let call = async {
            tokio::time::sleep(Duration::from_millis(50)).await;
            client.call(swap("a", None, b"1")).await
        };
        let (status, reply) = tokio::join!(returned, call);
        assert!(status == StatusCode::NO_CONTENT && is_refused(&reply), "{reply:?}");
        assert!(since.elapsed() >= Duration::from_millis(200));
        client.write("a", None, b"1").await;
    };
    a_delayed_write_is_lost_in_a_return => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.take_copy().await;
        service.set_faults(json!({ "delay_ms": 100 })).await;
        client.start(swap("a", None, b"1"));
        while !service.call_counts().await.contains_key("swap") {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        service.restore("hang").await;
        let (_, reply) = client.next().await;
        assert!(is_lost(&reply), "{reply:?}");
        assert_eq!(client.read("a").await, None);
    };
    a_return_without_a_copy_is_refused => {
        let service = Service::start();
        let status = service.put("/v1/restore", json!({ "open": "cut" })).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eras(&service, "1").await;
    };
    a_return_that_ends_connections_in_another_way_is_refused => {
        let service = Service::start();
        service.take_copy().await;
        let status = service.put("/v1/restore", json!({ "open": "reset" })).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    };
}
