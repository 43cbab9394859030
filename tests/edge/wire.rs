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
use laburnumworks::wire::{Admission, Body, Dialer, Frame, Key, Limits, Lost, listen};
use tokio::{
    io::{AsyncWriteExt, copy_bidirectional},
    net::{TcpListener, TcpStream},
    sync::mpsc::{self, Receiver, UnboundedReceiver},
    task::JoinHandle,
    time::timeout,
};

use crate::bed::{self, QUIET};

/// The time after which a case gives up on an event.
const PATIENCE: Duration = Duration::from_secs(10);

/// A message of about this many bytes.
fn bulk(length: usize) -> Message {
    Message::Replies(vec![Reply {
        leg: Leg { origin: Origin(1), sequence: 1 },
        outcome: Outcome::Done { result: "0".repeat(length).into() },
        attempts: 1,
        backlog: Duration::ZERO,
    }])
}

/// The size of a body that fills queues soon, in bytes.
const LARGE: usize = 64 * 1024;

fn key() -> Key {
    Key::try_from("the-key-of-this-deployment").expect("it is a key")
}

fn lane(vm: &str) -> Lane {
    Lane { vm: Name::try_from(vm).expect("it is a name"), thread: 0 }
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

/// A receiver whose sink holds `room` frames.
struct Receiving {
    address: SocketAddr,
    frames: Receiver<Frame>,
    task: JoinHandle<std::io::Result<()>>,
}

impl Receiving {
    fn start(limits: Limits, room: usize) -> Receiving {
        Receiving::start_on(bed::listener(), limits, room)
    }

    fn start_on(listener: std::net::TcpListener, limits: Limits, room: usize) -> Receiving {
        let address = listener.local_addr().expect("it is bound");
        let admission = Admission { own: lane("b"), keys: vec![key().digest()], limits };
        let (sink, frames) = mpsc::channel(room);
        Receiving { address, frames, task: tokio::spawn(listen(listener, admission, sink)) }
    }

    async fn next(&mut self) -> Frame {
        let frame = timeout(PATIENCE, self.frames.recv()).await.expect("a frame comes in time");
        frame.expect("the listener lives")
    }
}

/// A dialer of lane `a` that knows lane `b`.
struct Sending {
    dialer: Dialer,
    losses: UnboundedReceiver<Lost>,
}

impl Sending {
    fn start(limits: Limits, key: Key, address: SocketAddr) -> Sending {
        let (sender, losses) = mpsc::unbounded_channel();
        let mut dialer = Dialer::new(lane("a"), 7, key, limits, sender);
        dialer.update(BTreeMap::from([(lane("b"), address)]));
        Sending { dialer, losses }
    }

    fn send(&mut self, number: u64) {
        self.dialer.send(&lane("b"), message(number));
    }

    fn send_large(&mut self, length: usize) {
        self.dialer.send(&lane("b"), bulk(length));
    }

    async fn lost(&mut self) -> String {
        let lost = timeout(PATIENCE, self.losses.recv()).await.expect("a loss comes in time");
        let lost = lost.expect("the dialer lives");
        assert_eq!(lost.to, lane("b"));
        lost.detail
    }

    async fn quiet(&mut self) {
        if let Ok(lost) = timeout(QUIET, self.losses.recv()).await {
            panic!("unexpected {lost:?}");
        }
    }
}

fn message(number: u64) -> Message {
    Message::Cancels(vec![Leg { origin: Origin(1), sequence: number }])
}

fn pair(limits: Limits, room: usize) -> (Sending, Receiving) {
    let receiving = Receiving::start(limits, room);
    (Sending::start(limits, key(), receiving.address), receiving)
}

async fn order() {
    let (mut sending, mut receiving) = pair(limits(), 4);
    for number in 0..2_000 {
        sending.send(number);
    }
    for number in 0..2_000 {
        let frame = receiving.next().await;
        assert_eq!((frame.from, frame.incarnation), (lane("a"), 7));
        assert_eq!(frame.body, Body::Traffic(message(number)));
    }
    sending.quiet().await;
}

/// Sends small frames apart from one another to a receiver that takes none
/// until all are sent.
async fn small_frames() {
    let (mut sending, mut receiving) = pair(limits(), 1);
    for number in 0..1_000 {
        sending.send(number);
        tokio::task::yield_now().await;
    }
    for number in 0..1_000 {
        assert_eq!(receiving.next().await.body, Body::Traffic(message(number)));
    }
    sending.quiet().await;
}

async fn large_frame_at_the_sender() {
    let (mut sending, mut receiving) = pair(limits(), 4);
    sending.send_large(limits().frame_bytes + 1);
    assert!(sending.lost().await.contains("longer than"));
    sending.send(1);
    assert_eq!(receiving.next().await.body, Body::Traffic(message(1)));
}

async fn large_frame_at_the_receiver() {
    let mut receiving = Receiving::start(Limits { frame_bytes: 1_000, ..limits() }, 4);
    let mut sending = Sending::start(limits(), key(), receiving.address);
    sending.send_large(1_001);
    sending.lost().await;
    assert!(receiving.frames.try_recv().is_err());
}

async fn wrong_key() {
    let mut receiving = Receiving::start(limits(), 4);
    let other = Key::try_from("the-key-of-another-deployment").expect("it is a key");
    let mut sending = Sending::start(limits(), other, receiving.address);
    sending.send(1);
    let detail = sending.lost().await;
    assert!(detail.contains("401"), "{detail}");
    assert!(receiving.frames.try_recv().is_err());
}

async fn two_keys() {
    let listener = bed::listener();
    let address = listener.local_addr().expect("it is bound");
    let new = Key::try_from("the-next-key-of-this-deployment").expect("it is a key");
    let keys = vec![key().digest(), new.digest()];
    let (sink, mut frames) = mpsc::channel(4);
    tokio::spawn(listen(listener, Admission { own: lane("b"), keys, limits: limits() }, sink));
    for key in [key(), new] {
        let mut sending = Sending::start(limits(), key, address);
        sending.send(1);
        let frame = timeout(PATIENCE, frames.recv()).await.expect("it comes in time");
        assert!(frame.is_some());
    }
}

async fn misdirected() {
    let mut receiving = Receiving::start(limits(), 4);
    let mut sending = Sending::start(limits(), key(), receiving.address);
    sending.dialer.update(BTreeMap::from([(lane("c"), receiving.address)]));
    sending.dialer.send(&lane("c"), message(1));
    let lost = timeout(PATIENCE, sending.losses.recv()).await.expect("it comes in time");
    let lost = lost.expect("the dialer lives");
    assert!(lost.detail.contains("421"), "{lost:?}");
    assert!(receiving.frames.try_recv().is_err());
}

async fn unknown_lane() {
    let (mut sending, _receiving) = pair(limits(), 4);
    sending.dialer.update(BTreeMap::new());
    sending.send(1);
    assert!(sending.lost().await.contains("not known"));
}

/// Passes bytes to `address` until it is told to be silent; then it holds both
/// connections open and passes nothing.
async fn proxy(address: SocketAddr) -> (SocketAddr, mpsc::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let own = listener.local_addr().expect("it is bound");
    let (silence, mut silenced) = mpsc::channel(1);
    tokio::spawn(async move {
        let (mut near, _) = listener.accept().await.expect("it is dialled");
        let mut far = TcpStream::connect(address).await.expect("the receiver listens");
        tokio::select! {
            _ = copy_bidirectional(&mut near, &mut far) => {}
            _ = silenced.recv() => {}
        }
        std::future::pending::<()>().await;
    });
    (own, silence)
}

async fn silent_peer() {
    let mut receiving = Receiving::start(limits(), 4);
    let (address, silence) = proxy(receiving.address).await;
    let mut sending = Sending::start(limits(), key(), address);
    sending.send(1);
    receiving.next().await;
    sending.quiet().await;
    silence.send(()).await.expect("the proxy lives");
    let since = Instant::now();
    let detail = sending.lost().await;
    assert!(detail.contains("ping"), "{detail}");
    let bound = limits().ping_interval + limits().ping_timeout;
    assert!(since.elapsed() < bound * 3, "{:?}", since.elapsed());
}

async fn peer_that_never_answers() {
    let listener = bed::listener();
    let address = listener.local_addr().expect("it is bound");
    let mut sending = Sending::start(limits(), key(), address);
    let since = Instant::now();
    sending.send(1);
    sending.lost().await;
    assert!(since.elapsed() < limits().ping_timeout * 3, "{:?}", since.elapsed());
}

async fn restart() {
    let (mut sending, mut receiving) = pair(limits(), 4);
    let address = receiving.address;
    sending.send(1);
    receiving.next().await;
    receiving.task.abort();
    sending.lost().await;
    sending.send(2);
    assert!(sending.lost().await.contains("a moment ago"));
    tokio::time::sleep(limits().backoff_min).await;
    let listener = std::net::TcpListener::bind(address).expect("the port is free again");
    let mut receiving = Receiving::start_on(listener, limits(), 4);
    sending.send(3);
    assert_eq!(receiving.next().await.body, Body::Traffic(message(3)));
    sending.quiet().await;
}

async fn no_dial_without_need() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    let mut sending = Sending::start(limits(), key(), address);
    assert!(timeout(QUIET, listener.accept()).await.is_err(), "nothing is to be sent");
    sending.send(1);
    drop(timeout(PATIENCE, listener.accept()).await.expect("it is dialled"));
    sending.lost().await;
    assert!(timeout(QUIET * 3, listener.accept()).await.is_err(), "nothing is to be sent");
}

async fn full_queue() {
    let (mut sending, receiving) = pair(limits(), 1);
    let frames = limits().queue_bytes / LARGE * 2;
    for _ in 0..frames {
        sending.send_large(LARGE);
    }
    assert!(sending.lost().await.contains("full"));
    assert!(receiving.frames.len() <= 1);
}

async fn peer_that_takes_nothing() {
    let (mut sending, receiving) = pair(limits(), 1);
    for _ in 0..limits().queue_bytes / LARGE / 2 {
        sending.send_large(LARGE);
    }
    let since = Instant::now();
    let detail = sending.lost().await;
    assert!(detail.contains("takes no bytes"), "{detail}");
    assert!(since.elapsed() < limits().write_timeout * 3, "{:?}", since.elapsed());
    assert_eq!(receiving.frames.len(), 1);
}

async fn slow_receiver() {
    let (mut sending, mut receiving) = pair(limits(), 1);
    let frames = limits().queue_bytes / LARGE / 2;
    for _ in 0..frames {
        sending.send_large(LARGE);
    }
    for _ in 0..frames {
        tokio::time::sleep(Duration::from_millis(20)).await;
        receiving.next().await;
    }
    sending.quiet().await;
}

async fn close() {
    let (mut sending, mut receiving) = pair(limits(), 1);
    for number in 0..200 {
        sending.send(number);
    }
    let closing = tokio::spawn(sending.dialer.close());
    for number in 0..200 {
        assert_eq!(receiving.next().await.body, Body::Traffic(message(number)));
    }
    timeout(PATIENCE, closing).await.expect("it ends in time").expect("it does not panic");
    assert!(sending.losses.try_recv().is_err());
}

/// Takes one stream, reads it to its end and reports how the connection ended.
async fn end_of_connection(listener: TcpListener) -> Result<(), h2::Error> {
    let (tcp, _) = listener.accept().await.expect("it is dialled");
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
    let address = listener.local_addr().expect("it is bound");
    let ending = tokio::spawn(end_of_connection(listener));
    let mut sending = Sending::start(limits(), key(), address);
    sending.send(1);
    sending.dialer.close().await;
    assert!(sending.losses.try_recv().is_err());
    let end = timeout(PATIENCE, ending).await.expect("it ends in time");
    end.expect("it does not panic").expect("the connection ends without an error");
}

/// A PING of HTTP/2, which asks for an answer.
const PING_FRAME: [u8; 17] = [0, 0, 8, 6, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0];

/// Stands before a listener; once the dialling side has ended, it sends two
/// frames more, with a pause that lets a reset arrive.
async fn late_frames(front: TcpListener, behind: SocketAddr) -> std::io::Result<()> {
    let (near, _) = front.accept().await?;
    let far = TcpStream::connect(behind).await?;
    let (mut near_read, mut near_write) = near.into_split();
    let (mut far_read, mut far_write) = far.into_split();
    let back = tokio::spawn(async move {
        tokio::io::copy(&mut far_read, &mut near_write).await.map(|_| near_write)
    });
    tokio::io::copy(&mut near_read, &mut far_write).await?;
    far_write.shutdown().await?;
    let mut near_write = back.await.expect("it does not panic")?;
    for _ in 0..2 {
        near_write.write_all(&PING_FRAME).await?;
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    near_write.shutdown().await
}

async fn close_with_late_frames() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let front = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let behind = listener.local_addr().expect("it is bound");
    let address = front.local_addr().expect("it is bound");
    let ending = tokio::spawn(end_of_connection(listener));
    let late = tokio::spawn(late_frames(front, behind));
    let mut sending = Sending::start(limits(), key(), address);
    sending.send(1);
    sending.dialer.close().await;
    assert!(sending.losses.try_recv().is_err());
    let late = timeout(PATIENCE, late).await.expect("it ends in time");
    late.expect("it does not panic").expect("the late frames meet no reset");
    let end = timeout(PATIENCE, ending).await.expect("it ends in time");
    end.expect("it does not panic").expect("the connection ends without an error");
}

async fn moved_lane() {
    let (mut sending, mut old) = pair(limits(), 4);
    let mut new = Receiving::start(limits(), 4);
    sending.send(1);
    sending.dialer.update(BTreeMap::from([(lane("b"), new.address)]));
    sending.send(2);
    assert_eq!(old.next().await.body, Body::Traffic(message(1)));
    assert_eq!(new.next().await.body, Body::Traffic(message(2)));
    sending.quiet().await;
}

async fn noise() {
    let (mut sending, mut receiving) = pair(limits(), 4);
    let mut tcp = TcpStream::connect(receiving.address).await.expect("it listens");
    tcp.write_all(b"GET / HTTP/1.1\r\n\r\n").await.expect("it takes bytes");
    sending.send(1);
    assert_eq!(receiving.next().await.body, Body::Traffic(message(1)));
}

async fn too_many_connections() {
    let limits = Limits { connections: 1, ..limits() };
    let (mut first, mut receiving) = pair(limits, 4);
    first.send(1);
    receiving.next().await;
    let mut second = Sending::start(limits, key(), receiving.address);
    second.send(2);
    second.lost().await;
    first.send(3);
    assert_eq!(receiving.next().await.body, Body::Traffic(message(3)));
}

cases! {
    frames_keep_their_order => order();
    small_frames_do_not_cost_the_connection => small_frames();
    a_large_frame_is_refused_by_the_sender => large_frame_at_the_sender();
    a_large_frame_is_refused_by_the_receiver => large_frame_at_the_receiver();
    a_wrong_key_is_refused => wrong_key();
    two_keys_are_accepted_while_one_is_replaced => two_keys();
    a_stream_for_another_lane_is_refused => misdirected();
    a_frame_for_an_unknown_lane_is_lost => unknown_lane();
    a_peer_that_becomes_silent_is_found_within_the_limit => silent_peer();
    a_peer_that_never_answers_is_found_within_the_limit => peer_that_never_answers();
    a_peer_that_restarts_is_dialled_again_after_the_pause => restart();
    a_peer_is_dialled_only_to_send => no_dial_without_need();
    a_full_queue_condemns_the_connection => full_queue();
    a_peer_that_takes_nothing_is_condemned_within_the_limit => peer_that_takes_nothing();
    a_slow_receiver_holds_back_and_loses_nothing => slow_receiver();
    a_close_sends_what_is_queued => close();
    a_close_ends_the_connection_without_an_error => close_is_clean();
    a_close_takes_what_the_peer_still_sends => close_with_late_frames();
    a_lane_that_moves_gets_what_was_queued_at_its_old_address => moved_lane();
    noise_harms_no_other_connection => noise();
    a_connection_over_the_limit_is_refused => too_many_connections();
}
