//! The client of targets against targets that send frames without end, and against sound
//! ones that look like them for a moment.

use std::{net::SocketAddr, time::Duration};

use laburnum_core::{
    id,
    target::{Command, Event, Outcome},
};
use laburnumworks::target::body::Done;
use tokio::time::{Instant, sleep};

use crate::{
    flood::Tally,
    frames::{DATA, Kind, Moment, PING, Target, frame},
    harness::{Caller, REQUEST_TIMEOUT, operation, search},
    peer::{Listener, read_status},
};

/// The time in which a connection that floods must be closed.
const CLOSE_TIME: Duration = Duration::from_secs(10);

/// The most bytes that a target may get rid of on a connection: what the buffers of the
/// sockets hold, and 4 MiB that are read.
const MAX_SENT_BYTES: usize = (8 << 20) + (4 << 20);

/// The pings that a sound target may send at once.
const PINGS: usize = 100;

/// The length of a long reply in [`small_pieces`], in bytes.
const REPLY_BYTES: usize = 300_000;

/// The pieces of a reply that are under way in [`cancelled_reply`]. They are fewer bytes than
/// the window of a connection has at first.
const LATE_PIECES: usize = 200;

/// The length of the pieces of a reply in [`cancelled_reply`], in bytes.
const PIECE_BYTES: usize = 260;

const RST_STREAM: u8 = 3;

async fn open(caller: &mut Caller, address: SocketAddr) -> id::Connection {
    let connection = caller.dial(address, REQUEST_TIMEOUT);
    match caller.event().await {
        Event::Opened { .. } => connection,
        event => panic!("not opened: {event:?}"),
    }
}

/// Asserts that a flood ends the connection, which is reported as lost at its next use.
async fn assert_bounded(moment: Moment, kind: Kind) {
    let tally = Tally::default();
    let status = read_status().await.into();
    let address = Target { kind, moment, status, tally: tally.clone() }.start().await;
    let mut caller = Caller::new();
    let connection = caller.dial(address, REQUEST_TIMEOUT);
    if matches!(moment, Moment::Request) {
        caller.send(connection, search(""));
    }
    let end = Instant::now() + CLOSE_TIME;
    while tally.begun() == 0 || tally.open() > 0 {
        assert!(Instant::now() < end, "the connection is open: {kind:?}");
        sleep(Duration::from_millis(10)).await;
    }
    assert!(tally.most_bytes() <= MAX_SENT_BYTES, "{} bytes", tally.most_bytes());
    caller.send(connection, search(""));
    while !matches!(caller.event().await, Event::Closed { .. }) {}
    assert_eq!(tally.begun(), 1, "the connection is not opened again");
}

/// A sound reply that comes in many small frames.
async fn small_pieces() {
    let status = read_status().await;
    let (listener, address) = Listener::bind().await;
    let target = tokio::spawn(async move {
        let socket = listener.accept_socket().await;
        let mut connection = h2::server::handshake(socket).await.unwrap();
        while let Some(request) = connection.accept().await {
            let (request, mut respond) = request.unwrap();
            let mut body = respond.send_response(http::Response::default(), false).unwrap();
            let text =
                if request.method() == http::Method::GET { &status[..] } else { &long()[..] };
            for piece in text.chunks(10) {
                body.send_data(piece.to_vec().into(), false).unwrap();
            }
            body.send_data(bytes::Bytes::new(), true).unwrap();
        }
    });
    let mut caller = Caller::new();
    let connection = open(&mut caller, address).await;
    match caller.outcome(connection, operation("a")).await {
        Outcome::Done { result } => assert_eq!(result.len(), REPLY_BYTES),
        outcome => panic!("{outcome:?}"),
    }
    target.abort();
}

/// Returns the body of a long reply to an operation.
fn long() -> Vec<u8> {
    done(&"x".repeat(REPLY_BYTES))
}

fn done(result: &str) -> Vec<u8> {
    serde_json::to_vec(&Done { attempt: None, result: result.into(), status: None }).unwrap()
}

/// A target that sends pings at once and answers then.
async fn pings_and_answer() {
    let status = read_status().await;
    let (listener, address) = Listener::bind().await;
    tokio::spawn(async move {
        let mut peer = listener.accept(&status).await;
        peer.send(&frame(PING, 0, 0, &[0; 8]).repeat(PINGS)).await;
        let stream = peer.request().await;
        peer.answer(stream, &done("a")).await;
        peer.request().await;
    });
    let mut caller = Caller::new();
    let connection = open(&mut caller, address).await;
    let outcome = caller.outcome(connection, operation("a")).await;
    assert_eq!(outcome, Outcome::Done { result: "a".into() });
    caller.assert_quiet().await;
}

/// A target whose reply is under way, as far as the window allows, when it is cancelled.
async fn cancelled_reply() {
    let status = read_status().await;
    let (listener, address) = Listener::bind().await;
    tokio::spawn(async move {
        let mut peer = listener.accept(&status).await;
        let stream = peer.request().await;
        peer.wait(RST_STREAM).await;
        peer.begin(stream).await;
        let piece = frame(DATA, 0, stream, &[b' '; PIECE_BYTES]);
        peer.send(&piece.repeat(LATE_PIECES)).await;
        let stream = peer.request().await;
        peer.answer(stream, &done("a")).await;
        peer.request().await;
    });
    let mut caller = Caller::new();
    let connection = open(&mut caller, address).await;
    let attempt = caller.send(connection, operation("late"));
    caller.assert_quiet().await;
    caller.command(Command::Cancel { connection, attempt });
    caller.assert_quiet().await;
    let outcome = caller.outcome(connection, operation("a")).await;
    assert_eq!(outcome, Outcome::Done { result: "a".into() });
}

/// A target that floods while a request waits for its answer.
async fn flood_before_an_answer() {
    let status = read_status().await;
    let (listener, address) = Listener::bind().await;
    tokio::spawn(async move {
        let mut peer = listener.accept(&status).await;
        peer.request().await;
        let pings = frame(PING, 0, 0, &[0; 8]).repeat(PINGS);
        while peer.try_send(&pings).await {}
    });
    let mut caller = Caller::new();
    let connection = open(&mut caller, address).await;
    caller.send(connection, operation("a"));
    // The request may have run, so that it is not reported as unsent.
    assert!(matches!(caller.event().await, Event::Closed { .. }));
    caller.assert_quiet().await;
}

/// Small pieces of data between which more frames come than belong to them.
async fn pieces_among_pings() {
    let status = read_status().await;
    let (listener, address) = Listener::bind().await;
    tokio::spawn(async move {
        let mut peer = listener.accept(&status).await;
        let stream = peer.request().await;
        peer.begin(stream).await;
        let piece = [frame(DATA, 0, stream, b" "), frame(PING, 0, 0, &[0; 8]).repeat(PINGS)];
        while peer.try_send(&piece.concat()).await {}
    });
    let mut caller = Caller::new();
    let connection = open(&mut caller, address).await;
    caller.send(connection, operation("a"));
    assert!(matches!(caller.event().await, Event::Closed { .. }));
}

cases! {
    text_in_place_of_frames => assert_bounded(Moment::Handshake, Kind::Text);
    a_frame_that_is_too_long => assert_bounded(Moment::Handshake, Kind::LongFrame);
    settings_in_place_of_a_status => assert_bounded(Moment::Handshake, Kind::Settings);
    interim_responses_before_a_status => assert_bounded(Moment::Status, Kind::Interim);
    a_head_of_a_status_that_goes_on => assert_bounded(Moment::Status, Kind::Continuations);
    data_of_a_status_beyond_the_window => assert_bounded(Moment::Status, Kind::Data);
    a_status_of_empty_frames => assert_bounded(Moment::Status, Kind::EmptyData);
    interim_responses_before_a_reply => assert_bounded(Moment::Request, Kind::Interim);
    a_head_of_a_reply_that_goes_on => assert_bounded(Moment::Request, Kind::Continuations);
    data_beyond_the_window => assert_bounded(Moment::Request, Kind::Data);
    a_reply_of_empty_frames => assert_bounded(Moment::Request, Kind::EmptyData);
    a_reply_of_padding => assert_bounded(Moment::Request, Kind::Padding);
    trailers_that_end_nothing => assert_bounded(Moment::Request, Kind::Trailers);
    promises => assert_bounded(Moment::Request, Kind::Promises);
    data_of_no_request => assert_bounded(Moment::Idle, Kind::StrayData);
    pings => assert_bounded(Moment::Idle, Kind::Pings);
    unknown_frames => assert_bounded(Moment::Idle, Kind::UnknownFrames);
    updates_of_windows => assert_bounded(Moment::Idle, Kind::WindowUpdates);
    settings => assert_bounded(Moment::Idle, Kind::Settings);
    pings_before_an_answer => flood_before_an_answer();
    pings_among_pieces_of_an_answer => pieces_among_pings();
    a_long_reply_in_small_frames_passes => small_pieces();
    some_pings_before_an_answer_pass => pings_and_answer();
    a_cancelled_reply_under_way_does_not_end_the_connection => cancelled_reply();
}
