//! Tests of the client of the platform's service with each fault of the stand-in.

use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener},
    thread,
    time::{Duration, Instant},
};

use laburnum_core::{
    store::{Call, Reply},
    view::State,
};
use laburnum_platform::store::MAX_OPEN_CALLS;
use reqwest::StatusCode;
use serde_json::json;

use crate::service::{CALL_LIMIT, Service, TestClient, get, is_lost, is_refused, swap, vm, watch};

/// A time that does not elapse within a case.
const LONG_MS: u64 = 20_000;

cases! { async:
    a_write_whose_answer_is_cut_is_lost_and_in_effect => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "lose_after": 1 })).await;
        let reply = client.call(swap("a", None, b"1")).await;
        assert!(is_lost(&reply), "{reply:?}");
        assert_eq!(client.read("a").await.unwrap().value, b"1");
        client.write("b", None, b"the next answer arrives").await;
    };
    a_write_whose_answer_never_comes_is_lost_and_in_effect => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "lose_after": 1, "lose_by": "hang" })).await;
        let reply = client.call(swap("a", None, b"1")).await;
        assert!(is_lost(&reply), "{reply:?}");
        assert_eq!(client.read("a").await.unwrap().value, b"1");
    };
    a_removal_whose_answer_is_cut_is_lost_and_in_effect => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        let version = client.write("a", None, b"1").await;
        service.set_faults(json!({ "lose_after": 1 })).await;
        let reply = client.call(Call::Remove { key: "a".to_owned(), expect: version }).await;
        assert!(is_lost(&reply), "{reply:?}");
        assert_eq!(client.read("a").await, None);
    };
    a_conflict_uses_up_no_lost_answer => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        client.write("a", None, b"1").await;
        service.set_faults(json!({ "lose_after": 1 })).await;
        let reply = client.call(swap("a", None, b"2")).await;
        assert!(matches!(reply, Reply::Conflict { .. }), "{reply:?}");
        let reply = client.call(swap("b", None, b"2")).await;
        assert!(is_lost(&reply), "{reply:?}");
    };
    a_write_that_is_cut_before_its_effect_is_lost => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "lose_before": 1 })).await;
        let reply = client.call(swap("a", None, b"1")).await;
        assert!(is_lost(&reply), "{reply:?}");
        assert_eq!(client.read("a").await, None);
    };
    only_writes_of_the_prefix_are_lost => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "lose_after": 1, "lose_prefix": "claims/" })).await;
        client.write("profiles", None, b"1").await;
        let reply = client.call(swap("claims/1", None, b"1")).await;
        assert!(is_lost(&reply), "{reply:?}");
    };
    a_service_that_refuses_had_no_effect => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "down": "refuse" })).await;
        for call in calls_of_every_kind() {
            let reply = client.call(call).await;
            assert!(is_refused(&reply), "{reply:?}");
        }
        service.set_faults(json!({})).await;
        assert_eq!(client.read("a").await, None);
    };
    a_service_that_cuts_loses_writes_and_refuses_reads => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "down": "cut" })).await;
        for call in calls_of_every_kind() {
            let is_write = is_write(&call);
            let reply = client.call(call).await;
            assert!(if is_write { is_lost(&reply) } else { is_refused(&reply) }, "{reply:?}");
        }
    };
    a_service_that_hangs_is_given_up_within_the_limit => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "down": "hang" })).await;
        for call in [get("a"), swap("a", None, b"1")] {
            let is_write = is_write(&call);
            let start = Instant::now();
            let reply = client.call(call).await;
            assert!(if is_write { is_lost(&reply) } else { is_refused(&reply) }, "{reply:?}");
            assert!(start.elapsed() >= CALL_LIMIT && start.elapsed() < 5 * CALL_LIMIT);
        }
        service.set_faults(json!({})).await;
        assert_eq!(client.read("a").await, None);
    };
    nothing_of_a_write_to_a_closed_port_took_effect => {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let mut client = TestClient::new(address, "vm-1");
        let reply = client.call(swap("a", None, b"1")).await;
        assert!(is_refused(&reply), "{reply:?}");
    };
    a_write_slower_than_the_limit_is_lost_and_takes_effect_later => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "delay_ms": 700 })).await;
        let reply = client.call(swap("a", None, b"late")).await;
        assert!(is_lost(&reply), "{reply:?}");
        service.set_faults(json!({})).await;
        let reply = client.call(watch("a", 0, LONG_MS)).await;
        let Reply::Changed { entries, .. } = reply else { panic!("{reply:?}") };
        assert_eq!(entries[0].value, b"late");
    };
    a_slow_call_within_the_limit_is_answered => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "delay_ms": 50 })).await;
        let start = Instant::now();
        client.write("a", None, b"1").await;
        assert!(start.elapsed() >= Duration::from_millis(50));
    };
    a_waiting_watch_is_refused_when_the_service_goes_down => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        client.start(watch("a", 0, LONG_MS));
        wait_until_counted(&service, "watch").await;
        service.set_faults(json!({ "down": "cut" })).await;
        let (_, reply) = client.next().await;
        assert!(is_refused(&reply), "{reply:?}");
    };
    one_vm_is_cut_off_and_another_is_served => {
        let service = Service::start();
        let (mut cut, mut served) = (service.client("vm-1"), service.client("vm-2"));
        cut.start(watch("a", 0, LONG_MS));
        wait_until_counted(&service, "watch").await;
        service.set_faults(json!({ "vms": { "vm-1": "cut" } })).await;
        let (_, reply) = cut.next().await;
        assert!(is_refused(&reply), "{reply:?}");
        let reply = cut.call(swap("a", None, b"1")).await;
        assert!(is_lost(&reply), "{reply:?}");
        served.write("a", None, b"2").await;
        service.set_faults(json!({})).await;
        assert_eq!(cut.read("a").await.unwrap().value, b"2");
    };
    writes_beyond_the_rate_are_refused_and_reads_are_not => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "writes_per_second": 1 })).await;
        client.write("a", None, b"1").await;
        let reply = client.call(swap("b", None, b"1")).await;
        assert!(is_refused(&reply), "{reply:?}");
        assert_eq!(client.read("b").await, None);
    };
    a_change_of_the_list_is_seen_after_the_lag => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        service.set_faults(json!({ "list_lag_ms": 60_000 })).await;
        let live = serde_json::to_value(vm("vm-1", State::Live)).unwrap();
        service.put("/v1/list/vms/vm-1", live).await;
        assert_eq!(client.vms().await, []);
        service.set_faults(json!({ "list_lag_ms": 0 })).await;
        assert_eq!(client.vms().await, [("vm-1".to_owned(), State::Live)]);
    };
    calls_beyond_the_open_limit_are_refused_at_once => {
        let service = Service::start();
        let mut client = service.client("vm-1");
        for _ in 0..MAX_OPEN_CALLS {
            client.start(watch("a", 0, LONG_MS));
        }
        let last = client.start(get("a"));
        let (id, reply) = client.next().await;
        assert!(id == last && is_refused(&reply), "{id:?} {reply:?}");
    };
    an_answer_that_cannot_be_read_is_a_lost_write => {
        let address = respond_with(b"HTTP/1.1 200 OK\r\ncontent-length: 3\r\n\r\n???", 1);
        let reply = TestClient::new(address, "vm-1").call(swap("a", None, b"1")).await;
        assert!(is_lost(&reply), "{reply:?}");
    };
    a_cut_answer_is_a_lost_write => {
        let address = respond_with(b"HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\n{\"swap", 1);
        let reply = TestClient::new(address, "vm-1").call(swap("a", None, b"1")).await;
        assert!(is_lost(&reply), "{reply:?}");
    };
    an_error_without_a_refusal_is_a_lost_write => {
        for status in [400, 403, 500, 502, 504] {
            let head = format!("HTTP/1.1 {status} Busy\r\ncontent-length: 4\r\n\r\nbusy");
            let address = respond_with(head.as_bytes(), 1);
            let reply = TestClient::new(address, "vm-1").call(swap("a", None, b"1")).await;
            assert!(is_lost(&reply), "{status}: {reply:?}");
        }
    };
    a_refusal_needs_no_readable_body => {
        for status in [429, 503] {
            let head = format!("HTTP/1.1 {status} Busy\r\ncontent-length: 4\r\n\r\nbusy");
            let address = respond_with(head.as_bytes(), 1);
            let reply = TestClient::new(address, "vm-1").call(swap("a", None, b"1")).await;
            assert!(is_refused(&reply), "{status}: {reply:?}");
        }
    };
    an_answer_without_end_is_given_up => {
        let chunk = [b"10000\r\n".as_slice(), &[b'x'; 0x10000], b"\r\n"].concat();
        let head = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
        let address = respond_in_parts(head.to_vec(), chunk, 1000);
        let reply = TestClient::new(address, "vm-1").call(swap("a", None, b"1")).await;
        let Reply::Lost { detail } = reply else { panic!("{reply:?}") };
        assert!(detail.contains("longer than"), "{detail}");
    };
    connections_that_went_silent_cost_one_call_and_not_one_each => {
        const CONNECTIONS: usize = 4;
        let mut client = TestClient::new(respond_once_per_connection(CONNECTIONS), "vm-1");
        for _ in 0..CONNECTIONS {
            client.start(get("a"));
        }
        for _ in 0..CONNECTIONS {
            let (_, reply) = client.next().await;
            assert!(matches!(reply, Reply::Value { .. }), "{reply:?}");
        }
        let reply = client.call(get("a")).await;
        assert!(is_refused(&reply), "{reply:?}");
        let reply = client.call(get("a")).await;
        assert!(matches!(reply, Reply::Value { .. }), "{reply:?}");
    };
    a_fault_that_does_not_exist_is_refused => {
        let service = Service::start();
        let status = service.put("/v1/faults", json!({ "explode": true })).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    };
    a_loss_that_is_answered_is_refused => {
        let service = Service::start();
        let status = service.put("/v1/faults", json!({ "lose_by": "refuse" })).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    };
    a_rate_of_nothing_is_refused => {
        let service = Service::start();
        let status = service.put("/v1/faults", json!({ "reads_per_second": 0 })).await;
        assert_eq!(status, StatusCode::BAD_REQUEST);
    };
}

fn calls_of_every_kind() -> Vec<Call> {
    vec![
        get("a"),
        Call::Scan { prefix: "a".to_owned() },
        swap("a", None, b"1"),
        Call::Remove { key: "a".to_owned(), expect: Default::default() },
        Call::Grant { ttl: Duration::from_secs(1) },
        Call::Keep { lease: laburnum_core::store::LeaseId(1) },
        watch("a", 0, 10),
        Call::List,
    ]
}

fn is_write(call: &Call) -> bool {
    !matches!(call, Call::Get { .. } | Call::Scan { .. } | Call::Watch { .. } | Call::List)
}

/// Waits until the stand-in has received a call of this kind.
async fn wait_until_counted(service: &Service, kind: &str) {
    while !service.call_counts().await.contains_key(kind) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Starts a service that sends one response and closes the connection.
fn respond_with(head: &[u8], part_count: usize) -> SocketAddr {
    respond_in_parts(head.to_vec(), Vec::new(), part_count)
}

/// Starts a service that answers only the first call on each connection. It sends
/// no response before `min_connections` connections are open.
fn respond_once_per_connection(min_connections: usize) -> SocketAddr {
    const RESPONSE_BODY: &str = "{\"key\":\"a\",\"value\":\"\",\"revision\":1,\"at_rev\":1}";
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let mut open = Vec::new();
        for stream in listener.incoming() {
            open.push(stream.unwrap());
            if open.len() < min_connections {
                continue;
            }
            let first = if open.len() == min_connections { 0 } else { open.len() - 1 };
            for stream in &mut open[first..] {
                let length = RESPONSE_BODY.len();
                let _ = stream.read(&mut [0; 4096]);
                let _ = write!(
                    stream,
                    "HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{RESPONSE_BODY}"
                );
            }
        }
    });
    address
}

fn respond_in_parts(head: Vec<u8>, part: Vec<u8>, part_count: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().unwrap();
        let mut request = [0; 4096];
        let _ = stream.read(&mut request);
        let _ = stream.write_all(&head);
        for _ in 0..part_count {
            if stream.write_all(&part).is_err() {
                return;
            }
        }
    });
    address
}
