//! Streams between VMs over loopback.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use laburnum_core::{
    border::Peers,
    id::{Leg, Origin},
    message::{Message, Outcome, Reply},
    name::Name,
    view::Lane,
};
use laburnumworks::{
    memory::Ledger,
    wire::{Admission, Body, Dialer, Digest, Frame, Key, Limits, Lost, listen},
};
use tokio::{
    io::{AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    sync::mpsc::{self, Receiver, UnboundedReceiver},
    task::JoinHandle,
    time::timeout,
};

use crate::harness::{self, QUIET_PERIOD};

/// The time within which an expected frame, loss or end must come.
const EVENT_TIMEOUT: Duration = Duration::from_secs(10);

/// A message of about `length` bytes.
fn large_message(length: usize) -> Message {
    Message::Replies(vec![Reply {
        leg: Leg { origin: Origin(1), sequence: 1 },
        outcome: Outcome::Done { result: "0".repeat(length).into() },
        attempts: 1,
        backlog: Duration::ZERO,
    }])
}

/// The size of a body of which a few fill the queues.
const LARGE_BODY_BYTES: usize = 64 * 1024;

fn key() -> Key {
    Key::try_from("the-key-of-this-deployment").expect("the key is valid")
}

fn lane(vm: &str) -> Lane {
    Lane { vm: Name::try_from(vm).expect("the name is valid"), thread: 0 }
}

fn limits() -> Limits {
    Limits {
        frame_bytes: 1024 * 1024,
        queue_frames: 10_000,
        queue_bytes: 1024 * 1024,
        window_bytes: 64 * 1024,
        write_timeout: Duration::from_millis(500),
        ping_interval: Duration::from_millis(50),
        ping_timeout: Duration::from_millis(200),
        backoff_min: Duration::from_millis(100),
        backoff_max: Duration::from_millis(400),
        ..Limits::default()
    }
}

/// A listener of lane `b` with the frames that it received.
struct Inbound {
    address: SocketAddr,
    frames: Receiver<Frame>,
    task: JoinHandle<std::io::Result<()>>,
}

/// The rules of the listener of the lane "b".
fn admission(keys: Vec<Digest>, limits: Limits) -> Admission {
    Admission { own: lane("b"), keys, limits, ledger: Ledger::default() }
}

impl Inbound {
    /// Starts a listener whose channel holds `capacity` frames; while it is full,
    /// the senders are held back.
    fn start(limits: Limits, capacity: usize) -> Inbound {
        Inbound::start_on(harness::listener(), limits, capacity)
    }

    fn start_on(listener: std::net::TcpListener, limits: Limits, capacity: usize) -> Inbound {
        let address = listener.local_addr().expect("the listener is bound");
        let admission = admission(vec![key().digest()], limits);
        let (sink, frames) = mpsc::channel(capacity);
        Inbound { address, frames, task: tokio::spawn(listen(listener, admission, sink)) }
    }

    async fn next(&mut self) -> Frame {
        let frame =
            timeout(EVENT_TIMEOUT, self.frames.recv()).await.expect("a frame comes in time");
        frame.expect("the listener is running")
    }
}

/// A dialer of lane `a` that knows the address of lane `b`, with its losses.
struct Outbound {
    dialer: Dialer,
    losses: UnboundedReceiver<Lost>,
}

impl Outbound {
    fn start(limits: Limits, key: Key, address: SocketAddr) -> Outbound {
        let (sender, losses) = mpsc::unbounded_channel();
        let mut dialer = Dialer::new(lane("a"), 7, key, limits, sender);
        dialer.update(BTreeMap::from([(lane("b"), address)]));
        Outbound { dialer, losses }
    }

    fn send(&mut self, number: u64) {
        self.dialer.send(&lane("b"), message(number));
    }

    fn send_large(&mut self, length: usize) {
        self.dialer.send(&lane("b"), large_message(length));
    }

    /// Waits for a loss and returns its detail.
    async fn loss_detail(&mut self) -> String {
        let lost = timeout(EVENT_TIMEOUT, self.losses.recv()).await.expect("a loss comes in time");
        let lost = lost.expect("the dialer is running");
        assert_eq!(lost.to, lane("b"));
        lost.detail
    }

    /// Asserts that no loss is reported within [`QUIET_PERIOD`].
    async fn assert_quiet(&mut self) {
        if let Ok(lost) = timeout(QUIET_PERIOD, self.losses.recv()).await {
            panic!("unexpected {lost:?}");
        }
    }
}

fn message(number: u64) -> Message {
    Message::Cancels(vec![Leg { origin: Origin(1), sequence: number }])
}

/// A dialer and the listener to which it sends.
fn pair(limits: Limits, capacity: usize) -> (Outbound, Inbound) {
    let inbound = Inbound::start(limits, capacity);
    (Outbound::start(limits, key(), inbound.address), inbound)
}

async fn frame_order() {
    let (mut outbound, mut inbound) = pair(limits(), 4);
    for number in 0..2_000 {
        outbound.send(number);
    }
    for number in 0..2_000 {
        let frame = inbound.next().await;
        assert_eq!((frame.from, frame.incarnation), (lane("a"), 7));
        assert_eq!(frame.body, Body::Traffic(message(number)));
    }
    outbound.assert_quiet().await;
}

/// Sends small frames, each by itself, to a receiver that reads none until all
/// are sent.
async fn small_frames() {
    let (mut outbound, mut inbound) = pair(limits(), 1);
    for number in 0..1_000 {
        outbound.send(number);
        tokio::task::yield_now().await;
    }
    for number in 0..1_000 {
        assert_eq!(inbound.next().await.body, Body::Traffic(message(number)));
    }
    outbound.assert_quiet().await;
}

async fn large_frame_at_the_sender() {
    let (mut outbound, mut inbound) = pair(limits(), 4);
    outbound.send_large(limits().frame_bytes + 1);
    assert!(outbound.loss_detail().await.contains("longer than"));
    outbound.send(1);
    assert_eq!(inbound.next().await.body, Body::Traffic(message(1)));
}

async fn large_frame_at_the_receiver() {
    let mut inbound = Inbound::start(Limits { frame_bytes: 1_000, ..limits() }, 4);
    let mut outbound = Outbound::start(limits(), key(), inbound.address);
    outbound.send_large(1_001);
    outbound.loss_detail().await;
    assert!(inbound.frames.try_recv().is_err());
}

async fn wrong_key() {
    let mut inbound = Inbound::start(limits(), 4);
    let other = Key::try_from("the-key-of-another-deployment").expect("the key is valid");
    let mut outbound = Outbound::start(limits(), other, inbound.address);
    outbound.send(1);
    let detail = outbound.loss_detail().await;
    assert!(detail.contains("401"), "{detail}");
    assert!(inbound.frames.try_recv().is_err());
}

async fn two_keys() {
    let listener = harness::listener();
    let address = listener.local_addr().expect("the listener is bound");
    let new = Key::try_from("the-next-key-of-this-deployment").expect("the key is valid");
    let keys = vec![key().digest(), new.digest()];
    let (sink, mut frames) = mpsc::channel(4);
    tokio::spawn(listen(listener, admission(keys, limits()), sink));
    for key in [key(), new] {
        let mut outbound = Outbound::start(limits(), key, address);
        outbound.send(1);
        let frame = timeout(EVENT_TIMEOUT, frames.recv()).await.expect("a frame comes in time");
        assert!(frame.is_some());
    }
}

async fn wrong_lane() {
    let mut inbound = Inbound::start(limits(), 4);
    let mut outbound = Outbound::start(limits(), key(), inbound.address);
    outbound.dialer.update(BTreeMap::from([(lane("c"), inbound.address)]));
    outbound.dialer.send(&lane("c"), message(1));
    let lost = timeout(EVENT_TIMEOUT, outbound.losses.recv()).await.expect("a loss comes in time");
    let lost = lost.expect("the dialer is running");
    assert!(lost.detail.contains("421"), "{lost:?}");
    assert!(inbound.frames.try_recv().is_err());
}

async fn unknown_lane() {
    let (mut outbound, _inbound) = pair(limits(), 4);
    outbound.dialer.update(BTreeMap::new());
    outbound.send(1);
    assert!(outbound.loss_detail().await.contains("not known"));
}

/// Forwards one connection to `address`. After a message on the returned channel
/// it forwards nothing and keeps both connections open.
async fn proxy(address: SocketAddr) -> (SocketAddr, mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let own = listener.local_addr().expect("the listener is bound");
    let (silence, mut silence_requested) = mpsc::channel(1);
    tokio::spawn(async move {
        let (mut client, _) = listener.accept().await.expect("the dialer connects");
        let mut server = TcpStream::connect(address).await.expect("the receiver listens");
        tokio::select! {
            _ = copy_bidirectional(&mut client, &mut server) => {}
            _ = silence_requested.recv() => {}
        }
        std::future::pending::<()>().await;
    });
    (own, silence)
}

async fn silent_peer() {
    let mut inbound = Inbound::start(limits(), 4);
    let (address, silence) = proxy(inbound.address).await;
    let mut outbound = Outbound::start(limits(), key(), address);
    outbound.send(1);
    inbound.next().await;
    outbound.assert_quiet().await;
    silence.send(()).await.expect("the proxy is running");
    let since = Instant::now();
    let detail = outbound.loss_detail().await;
    assert!(detail.contains("ping"), "{detail}");
    let bound = limits().ping_interval + limits().ping_timeout;
    assert!(since.elapsed() < bound * 3, "{:?}", since.elapsed());
}

async fn peer_that_never_answers() {
    let listener = harness::listener();
    let address = listener.local_addr().expect("the listener is bound");
    let mut outbound = Outbound::start(limits(), key(), address);
    let since = Instant::now();
    outbound.send(1);
    outbound.loss_detail().await;
    assert!(since.elapsed() < limits().ping_timeout * 3, "{:?}", since.elapsed());
}

async fn peer_restart() {
    let (mut outbound, mut inbound) = pair(limits(), 4);
    let address = inbound.address;
    outbound.send(1);
    inbound.next().await;
    inbound.task.abort();
    outbound.loss_detail().await;
    outbound.send(2);
    assert!(outbound.loss_detail().await.contains("pause before the next connection"));
    tokio::time::sleep(limits().backoff_min).await;
    let listener = std::net::TcpListener::bind(address).expect("the port is free again");
    let mut inbound = Inbound::start_on(listener, limits(), 4);
    outbound.send(3);
    assert_eq!(inbound.next().await.body, Body::Traffic(message(3)));
    outbound.assert_quiet().await;
}

async fn dial_on_demand() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let mut outbound = Outbound::start(limits(), key(), address);
    assert!(timeout(QUIET_PERIOD, listener.accept()).await.is_err(), "nothing is to be sent");
    outbound.send(1);
    drop(timeout(EVENT_TIMEOUT, listener.accept()).await.expect("the dialer connects"));
    outbound.loss_detail().await;
    assert!(timeout(QUIET_PERIOD * 3, listener.accept()).await.is_err(), "nothing is to be sent");
}

async fn full_queue() {
    let (mut outbound, inbound) = pair(limits(), 1);
    let frames = limits().queue_bytes / LARGE_BODY_BYTES * 2;
    for _ in 0..frames {
        outbound.send_large(LARGE_BODY_BYTES);
    }
    assert!(outbound.loss_detail().await.contains("full"));
    assert!(inbound.frames.len() <= 1);
}

async fn peer_that_takes_nothing() {
    let (mut outbound, inbound) = pair(limits(), 1);
    for _ in 0..limits().queue_bytes / LARGE_BODY_BYTES / 2 {
        outbound.send_large(LARGE_BODY_BYTES);
    }
    let since = Instant::now();
    let detail = outbound.loss_detail().await;
    assert!(detail.contains("accepted no bytes in time"), "{detail}");
    assert!(since.elapsed() < limits().write_timeout * 3, "{:?}", since.elapsed());
    assert_eq!(inbound.frames.len(), 1);
}

async fn slow_receiver() {
    let (mut outbound, mut inbound) = pair(limits(), 1);
    let frames = limits().queue_bytes / LARGE_BODY_BYTES / 2;
    for _ in 0..frames {
        outbound.send_large(LARGE_BODY_BYTES);
    }
    for _ in 0..frames {
        tokio::time::sleep(Duration::from_millis(20)).await;
        inbound.next().await;
    }
    outbound.assert_quiet().await;
}

async fn close() {
    let (mut outbound, mut inbound) = pair(limits(), 1);
    for number in 0..200 {
        outbound.send(number);
    }
    let closing = tokio::spawn(outbound.dialer.close());
    for number in 0..200 {
        assert_eq!(inbound.next().await.body, Body::Traffic(message(number)));
    }
    timeout(EVENT_TIMEOUT, closing)
        .await
        .expect("the task ends in time")
        .expect("the task does not panic");
    assert!(outbound.losses.try_recv().is_err());
}

/// Serves one connection, reads each stream to its end and returns how the
/// connection ended.
async fn end_of_connection(listener: TcpListener) -> Result<(), h2::Error> {
    let (tcp, _) = listener.accept().await.expect("the dialer connects");
    let mut connection = h2::server::handshake(tcp).await?;
    while let Some(request) = connection.accept().await {
        let (request, mut respond) = request?;
        tokio::spawn(async move {
            let mut answer = respond.send_response(http::Response::new(()), false)?;
            let mut body = request.into_body();
            while let Some(data) = body.data().await {
                body.flow_control().release_capacity(data?.len())?;
            }
            answer.send_data(bytes::Bytes::new(), true)
        });
    }
    Ok(())
}

async fn close_is_clean() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("the listener is bound");
    let ending = tokio::spawn(end_of_connection(listener));
    let mut outbound = Outbound::start(limits(), key(), address);
    outbound.send(1);
    outbound.dialer.close().await;
    assert!(outbound.losses.try_recv().is_err());
    let end = timeout(EVENT_TIMEOUT, ending).await.expect("the task ends in time");
    end.expect("the task does not panic").expect("the connection ends without an error");
}

/// An HTTP/2 PING frame without the ACK flag, which the peer must answer.
const PING_FRAME: [u8; 17] = [0, 0, 8, 6, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];

/// Forwards one connection from `front` to `upstream`. Once the dialling side has
/// ended its half, it is sent two more frames, each followed by a pause in which a
/// reset would arrive.
async fn late_frames(front: TcpListener, upstream: SocketAddr) -> std::io::Result<()> {
    let (client, _) = front.accept().await?;
    let server = TcpStream::connect(upstream).await?;
    let (mut client_read, mut client_write) = client.into_split();
    let (mut server_read, mut server_write) = server.into_split();
    let responses = tokio::spawn(async move {
        tokio::io::copy(&mut server_read, &mut client_write).await.map(|_| client_write)
    });
    tokio::io::copy(&mut client_read, &mut server_write).await?;
    server_write.shutdown().await?;
    let mut client_write = responses.await.expect("the task does not panic")?;
    for _ in 0..2 {
        client_write.write_all(&PING_FRAME).await?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    client_write.shutdown().await
}

async fn close_with_late_frames() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let front = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let upstream = listener.local_addr().expect("the listener is bound");
    let address = front.local_addr().expect("the listener is bound");
    let ending = tokio::spawn(end_of_connection(listener));
    let late = tokio::spawn(late_frames(front, upstream));
    let mut outbound = Outbound::start(limits(), key(), address);
    outbound.send(1);
    outbound.dialer.close().await;
    assert!(outbound.losses.try_recv().is_err());
    let late = timeout(EVENT_TIMEOUT, late).await.expect("the task ends in time");
    late.expect("the task does not panic").expect("the late frames meet no reset");
    let end = timeout(EVENT_TIMEOUT, ending).await.expect("the task ends in time");
    end.expect("the task does not panic").expect("the connection ends without an error");
}

async fn moved_lane() {
    let (mut outbound, mut old) = pair(limits(), 4);
    let mut new = Inbound::start(limits(), 4);
    outbound.send(1);
    outbound.dialer.update(BTreeMap::from([(lane("b"), new.address)]));
    outbound.send(2);
    assert_eq!(old.next().await.body, Body::Traffic(message(1)));
    assert_eq!(new.next().await.body, Body::Traffic(message(2)));
    outbound.assert_quiet().await;
}

async fn other_protocol() {
    let (mut outbound, mut inbound) = pair(limits(), 4);
    let mut tcp = TcpStream::connect(inbound.address).await.expect("the listener accepts");
    tcp.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("the listener takes bytes");
    outbound.send(1);
    assert_eq!(inbound.next().await.body, Body::Traffic(message(1)));
}

async fn too_many_connections() {
    let limits = Limits { connections: 1, ..limits() };
    let (mut first, mut inbound) = pair(limits, 4);
    first.send(1);
    inbound.next().await;
    let mut second = Outbound::start(limits, key(), inbound.address);
    second.send(2);
    second.loss_detail().await;
    first.send(3);
    assert_eq!(inbound.next().await.body, Body::Traffic(message(3)));
}

cases! {
    frames_keep_their_order => frame_order();
    small_frames_do_not_cost_the_connection => small_frames();
    a_large_frame_is_refused_by_the_sender => large_frame_at_the_sender();
    a_large_frame_is_refused_by_the_receiver => large_frame_at_the_receiver();
    a_wrong_key_is_refused => wrong_key();
    two_keys_are_accepted_while_one_is_replaced => two_keys();
    a_stream_for_another_lane_is_refused => wrong_lane();
    a_frame_for_an_unknown_lane_is_lost => unknown_lane();
    a_peer_that_becomes_silent_is_found_within_the_limit => silent_peer();
    a_peer_that_never_answers_is_found_within_the_limit => peer_that_never_answers();
    a_peer_that_restarts_is_dialled_again_after_the_pause => peer_restart();
    a_peer_is_dialled_only_to_send => dial_on_demand();
    a_full_queue_closes_the_connection => full_queue();
    a_peer_that_takes_nothing_is_disconnected_within_the_limit => peer_that_takes_nothing();
    a_slow_receiver_delays_the_sender_and_loses_nothing => slow_receiver();
    a_close_sends_what_is_queued => close();
    a_close_ends_the_connection_without_an_error => close_is_clean();
    a_close_takes_what_the_peer_still_sends => close_with_late_frames();
    a_lane_that_moves_gets_what_was_queued_at_its_old_address => moved_lane();
    bytes_of_another_protocol_affect_no_other_connection => other_protocol();
    a_connection_over_the_limit_is_refused => too_many_connections();
}
