//! A connection to a peer that closes early or sends malformed or additional
//! bytes.

#[macro_use]
#[path = "../../../tests/common/case.rs"]
mod case;

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{HeaderValue, Request, header};
use http_body_util::Full;
use laburnum_http::{Channel, CompleteResponse, Failure, Limits};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

const LIMITS: Limits =
    Limits { connect: Duration::from_millis(500), silence: Duration::from_secs(1), body: 1000 };

/// What the peer does with one request on its only connection.
#[derive(Clone, Copy, Debug)]
enum Action {
    /// Sends these bytes.
    Send(&'static str),
    /// Sends these bytes and closes the connection.
    Close(&'static str),
    /// Sends these bytes and resets the connection.
    Reset(&'static str),
    /// Closes the connection before it reads a request.
    CloseUnread,
}

/// Starts a peer that accepts one connection and performs an action for each
/// request.
async fn peer(actions: Vec<Action>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        for action in actions {
            if !perform(&mut socket, action).await {
                return;
            }
        }
        // Keeps the connection open until the test ends.
        sleep(Duration::from_secs(60)).await;
    });
    address
}

/// Performs an action; returns false when the connection must be closed.
async fn perform(socket: &mut TcpStream, action: Action) -> bool {
    if matches!(action, Action::CloseUnread) {
        return false;
    }
    read_head(socket).await;
    let (Action::Send(text) | Action::Close(text) | Action::Reset(text)) = action else {
        return false;
    };
    socket.write_all(text.as_bytes()).await.unwrap();
    if matches!(action, Action::Reset(_)) {
        sleep(Duration::from_millis(20)).await;
        socket2::SockRef::from(&*socket).set_linger(Some(Duration::ZERO)).unwrap();
    }
    matches!(action, Action::Send(_))
}

async fn read_head(socket: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(socket.read_u8().await.unwrap());
    }
}

fn request() -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::default());
    request.headers_mut().insert(header::HOST, HeaderValue::from_static("peer"));
    request
}

async fn open(actions: Vec<Action>) -> Channel {
    Channel::open(peer(actions).await, LIMITS).await.unwrap()
}

/// Acts as a peer that answers before it reads the body of the request. It
/// continues to read after a pause and returns the bytes after the head.
async fn respond_early(listener: TcpListener) -> Vec<u8> {
    let (mut socket, _) = listener.accept().await.unwrap();
    read_head(&mut socket).await;
    socket.write_all(OK_RESPONSE.as_bytes()).await.unwrap();
    sleep(Duration::from_millis(100)).await;
    let mut rest = Vec::new();
    // A connection that is closed in the middle of a body may be reset.
    let _ = socket.read_to_end(&mut rest).await;
    rest
}

/// Returns the outcome of one request to a peer that performs `action`.
async fn exchange_once(action: Action) -> Result<CompleteResponse, Failure> {
    open(vec![action]).await.exchange(request()).await
}

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

cases! {
    async:
    a_whole_response_leaves_the_connection_usable => {
        let mut channel = open(vec![Action::Send(OK_RESPONSE), Action::Send(OK_RESPONSE)]).await;
        for _ in 0..2 {
            let complete = channel.exchange(request()).await.unwrap();
            assert_eq!(&complete.response.body()[..], b"ok");
            assert!(complete.reusable);
        }
    };
    chunks_are_joined => {
        let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\no\r\n1\r\nk\r\n0\r\n\r\n";
        assert_eq!(&exchange_once(Action::Send(text)).await.unwrap().response.body()[..], b"ok");
    };
    a_head_as_long_as_callers_may_send_is_read => {
        let (filler, body) = ("f".repeat(16 << 10), "b".repeat(LIMITS.body));
        let text = format!(
            "HTTP/1.1 200 OK\r\nFiller: {filler}\r\nContent-Length: {}\r\n\r\n{body}",
            LIMITS.body
        );
        let complete = exchange_once(Action::Send(text.leak())).await.unwrap();
        assert_eq!(complete.response.body().len(), LIMITS.body);
    };
    a_cut_body_is_no_response => {
        let cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
        let failure = exchange_once(Action::Close(cut)).await.unwrap_err();
        assert!(failure.sent, "{failure}");
    };
    a_cut_chunk_is_no_response => {
        let cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok";
        assert!(exchange_once(Action::Close(cut)).await.unwrap_err().sent);
    };
    missing_last_chunk_is_no_response => {
        let cut = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n";
        assert!(exchange_once(Action::Close(cut)).await.unwrap_err().sent);
    };
    a_cut_head_is_no_response => {
        assert!(exchange_once(Action::Close("HTTP/1.1 200 OK\r\nConte")).await.unwrap_err().sent);
    };
    // Guards against a success with a short body after a peer closed in the middle of a head.
    a_response_that_is_cut_anywhere_is_no_response => {
        let framings = [
            "Content-Length: 2\r\n\r\nok",
            "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
            "Connection: close\r\nContent-Length: 2\r\n\r\nok",
        ];
        let heads = [
            "HTTP/1.1 200 OK\r\nDigest: s\r\n",
            "HTTP/1.0 200 OK\r\nDigest: s\r\n",
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n",
        ];
        for (head, framing) in heads.iter().flat_map(|head| framings.map(|f| (head, f))) {
            let whole: &'static str = Box::leak(format!("{head}{framing}").into());
            for end in 0..whole.len() {
                let outcome = exchange_once(Action::Close(&whole[..end])).await;
                assert!(outcome.is_err_and(|failure| failure.sent), "{:?}", &whole[..end]);
            }
        }
    };
    a_head_that_is_cut_before_a_body_without_length_is_no_response => {
        let head = "HTTP/1.1 200 OK\r\nDigest: s\r\n\r\n";
        for end in 0..head.len() {
            let outcome = exchange_once(Action::Close(&head[..end])).await;
            assert!(outcome.is_err_and(|failure| failure.sent), "{:?}", &head[..end]);
        }
    };
    bytes_of_no_protocol_are_no_response => {
        assert!(exchange_once(Action::Send("garbage garbage\r\n\r\n")).await.unwrap_err().sent);
    };
    a_body_without_length_ends_with_its_connection => {
        let complete = exchange_once(Action::Close("HTTP/1.1 200 OK\r\n\r\nok")).await.unwrap();
        assert_eq!(&complete.response.body()[..], b"ok");
        assert!(!complete.reusable);
    };
    a_body_without_length_that_is_reset_is_no_response => {
        let failure = exchange_once(Action::Reset("HTTP/1.1 200 OK\r\n\r\nok")).await.unwrap_err();
        assert!(failure.sent, "{failure}");
    };
    a_reset_before_the_response_may_have_run => {
        assert!(exchange_once(Action::Reset("")).await.unwrap_err().sent);
    };
    an_early_response_ends_the_use_of_its_connection => {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let peer = tokio::spawn(respond_early(listener));
        let mut channel = Channel::open(address, LIMITS).await.unwrap();
        let long = request().map(|_| Full::new(Bytes::from(vec![b'x'; 8 << 20])));
        let complete = channel.exchange(long).await.unwrap();
        assert_eq!(&complete.response.body()[..], b"ok");
        assert!(!complete.reusable, "the rest of the body still waits");
        drop(channel);
        assert!(peer.await.unwrap().iter().all(|byte| *byte == b'x'));
    };
    a_response_after_a_long_body_leaves_the_connection_usable => {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            let (mut socket, _) = listener.accept().await.unwrap();
            for _ in 0..2 {
                read_head(&mut socket).await;
                socket.read_exact(&mut vec![0; 8 << 20]).await.unwrap();
                socket.write_all(OK_RESPONSE.as_bytes()).await.unwrap();
            }
            sleep(Duration::from_secs(60)).await;
        });
        let mut channel = Channel::open(address, LIMITS).await.unwrap();
        for _ in 0..2 {
            let long = request().map(|_| Full::new(Bytes::from(vec![b'x'; 8 << 20])));
            assert!(channel.exchange(long).await.unwrap().reusable);
        }
    };
    a_peer_that_ends_under_a_request_is_gone => {
        for action in
            [Action::Reset(""), Action::Close(""), Action::Close("HTTP/1.1 200 OK\r\nConte")]
        {
            let failure = exchange_once(action).await.unwrap_err();
            assert!(failure.sent && failure.gone, "{action:?}: {failure}");
        }
        let cut = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok";
        assert!(exchange_once(Action::Close(cut)).await.unwrap_err().gone);
    };
    a_peer_that_refuses_a_connection_is_gone => {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let failure = Channel::open(address, LIMITS).await.err().unwrap();
        assert!(failure.gone && !failure.sent, "{failure}");
    };
    a_peer_that_closes_between_requests_is_not_gone => {
        let mut channel = open(vec![Action::CloseUnread]).await;
        sleep(Duration::from_millis(50)).await;
        let failure = channel.exchange(request()).await.unwrap_err();
        assert!(!failure.gone && !failure.sent, "{failure}");
    };
    a_peer_that_sends_no_protocol_is_not_gone => {
        let failure = exchange_once(Action::Send("garbage garbage\r\n\r\n")).await.unwrap_err();
        assert!(!failure.gone, "{failure}");
    };
    a_connection_that_is_to_close_is_not_used_again => {
        let text = "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok";
        assert!(!exchange_once(Action::Send(text)).await.unwrap().reusable);
    };
    a_body_that_is_announced_too_long_ends_before_it_comes => {
        let head = "HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n";
        let failure = exchange_once(Action::Send(head)).await.unwrap_err();
        assert!(failure.sent && !failure.gone, "{failure:?}");
    };
    a_long_body_of_small_chunks_is_read => {
        let chunks = "1\r\nb\r\n".repeat(LIMITS.body);
        let text =
            format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
        let complete = exchange_once(Action::Send(text.leak())).await.unwrap();
        assert_eq!(complete.response.body().len(), LIMITS.body);
    };
    a_connection_that_carried_a_long_body_is_used_again => {
        let body = "x".repeat(LIMITS.body);
        let text =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", LIMITS.body);
        let complete = exchange_once(Action::Send(text.leak())).await.unwrap();
        assert!(complete.reusable);
        assert_eq!(complete.response.body().len(), LIMITS.body);
    };
    // An idle connection would keep the buffer of the head.
    a_connection_that_carried_a_long_head_is_not_used_again => {
        let value = "x".repeat(9 << 10);
        let text = format!("HTTP/1.1 200 OK\r\nA: {value}\r\nContent-Length: 2\r\n\r\nok");
        assert!(!exchange_once(Action::Send(text.leak())).await.unwrap().reusable);
    };
    a_connection_that_carried_a_long_reason_is_not_used_again => {
        let reason = "x".repeat(20 << 10);
        let text = format!("HTTP/1.1 200 {reason}\r\nContent-Length: 2\r\n\r\nok");
        assert!(!exchange_once(Action::Send(text.leak())).await.unwrap().reusable);
    };
    a_connection_that_carried_a_long_interim_response_is_not_used_again => {
        let value = "x".repeat(20 << 10);
        let text = format!(
            "HTTP/1.1 103 Early Hints\r\nA: {value}\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        );
        assert!(!exchange_once(Action::Send(text.leak())).await.unwrap().reusable);
    };
    a_connection_that_carried_a_head_of_many_fields_is_not_used_again => {
        let fields: String = (0..90).map(|i| format!("A{i:02}: {}\r\n", "x".repeat(87))).collect();
        let text = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 2\r\n\r\nok");
        assert!(text.len() > 8300, "{}", text.len());
        assert!(!exchange_once(Action::Send(text.leak())).await.unwrap().reusable);
    };
    too_long_a_body_is_no_response => {
        let text = "HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n";
        let text: &'static str = Box::leak(format!("{text}{}", "x".repeat(2000)).into());
        assert!(exchange_once(Action::Send(text)).await.unwrap_err().sent);
    };
    a_second_response_is_never_the_next_one => {
        let doubled = Box::leak(format!("{OK_RESPONSE}{}", OK_RESPONSE.replace("ok", "no")).into());
        let mut channel = open(vec![Action::Send(doubled), Action::Send(OK_RESPONSE)]).await;
        assert_eq!(&channel.exchange(request()).await.unwrap().response.body()[..], b"ok");
        let next = channel.exchange(request()).await;
        assert!(next.is_err(), "{next:?}");
    };
    a_second_response_ends_an_idle_connection => {
        let doubled = Box::leak(format!("{OK_RESPONSE}{OK_RESPONSE}").into());
        let mut channel = open(vec![Action::Send(doubled)]).await;
        channel.exchange(request()).await.unwrap();
        let end = tokio::time::timeout(Duration::from_secs(1), channel.closed()).await;
        assert!(end.is_ok());
    };
    an_idle_connection_tells_that_its_peer_closed_it => {
        let mut channel = open(vec![Action::Close(OK_RESPONSE)]).await;
        channel.exchange(request()).await.unwrap();
        assert!(tokio::time::timeout(Duration::from_secs(1), channel.closed()).await.is_ok());
        assert!(!channel.exchange(request()).await.unwrap_err().sent);
    };
    a_peer_that_closes_at_once_got_nothing => {
        let mut channel = open(vec![Action::CloseUnread]).await;
        sleep(Duration::from_millis(50)).await;
        assert!(!channel.exchange(request()).await.unwrap_err().sent);
    };
    a_port_without_a_listener_got_nothing => {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let failure = Channel::open(address, LIMITS).await.err().unwrap();
        assert!(!failure.sent);
    };
}
