//! A peer that sends bytes without end, which are no response.

#[macro_use]
#[path = "../../../tests/common/case.rs"]
mod case;

use std::{
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use laburnum_http::{Channel, Failure, Limits};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::timeout,
};

const MAX_BODY_BYTES: usize = 100_000;

const LIMITS: Limits = Limits {
    connect: Duration::from_millis(500),
    silence: Duration::from_secs(1),
    body: MAX_BODY_BYTES,
};

/// The time in which the channel must fail by itself.
const TIME_LIMIT: Duration = Duration::from_secs(10);

/// The most bytes that the peer may get rid of: twice the limit of a body and a tenth of a
/// megabyte for a head, and what the buffers of the sockets hold.
const MAX_SENT_BYTES: usize = 2 * MAX_BODY_BYTES + 100_000 + (8 << 20);

/// Sends a request to a peer that answers with `start` and then with `rest` without end,
/// and returns how the exchange failed.
async fn flood(start: &'static str, rest: &str) -> Failure {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&sent);
    let rest = rest.repeat(4096 / rest.len() + 1);
    let peer = tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        let mut head = [0; 16];
        socket.read_exact(&mut head).await.unwrap();
        socket.write_all(start.as_bytes()).await.unwrap();
        while socket.write_all(rest.as_bytes()).await.is_ok() {
            counter.fetch_add(rest.len(), Ordering::Relaxed);
        }
    });
    let mut channel = Channel::open(address, LIMITS).await.unwrap();
    let mut request = Request::new(Full::<Bytes>::default());
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("peer"));
    let outcome = timeout(TIME_LIMIT, channel.exchange(request)).await;
    let failure = outcome.expect("the channel fails by itself").unwrap_err();
    drop(channel);
    timeout(TIME_LIMIT, peer).await.expect("the connection is closed").unwrap();
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent <= MAX_SENT_BYTES, "{sent} bytes");
    failure
}

/// Asserts that the request counts as one that may have run.
async fn assert_bounded(start: &'static str, rest: &str) {
    let failure = flood(start, rest).await;
    assert!(failure.sent, "{failure:?}");
}

cases! {
    async:
    bytes_that_are_no_head => assert_bounded("", "\u{1}").await;
    empty_lines_before_a_head => assert_bounded("", "\r\n").await;
    a_status_line => assert_bounded("HTTP/1.1 200 ", "a").await;
    headers => assert_bounded("HTTP/1.1 200 OK\r\n", "a: b\r\n").await;
    one_header => assert_bounded("HTTP/1.1 200 OK\r\na: ", "b").await;
    interim_responses => assert_bounded("", "HTTP/1.1 100 Continue\r\n\r\n").await;
    a_body_with_a_length => {
        assert_bounded("HTTP/1.1 200 OK\r\ncontent-length: 99999999999\r\n\r\n", "b").await;
    };
    a_body_until_the_close => assert_bounded("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n", "b").await;
    chunks => {
        assert_bounded("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "1\r\nb\r\n").await;
    };
    a_chunk_size => {
        assert_bounded("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0").await;
    };
    a_chunk_extension => {
        assert_bounded("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;", "a").await;
    };
    trailers => {
        assert_bounded("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n", "a: b\r\n").await;
    };
}
