//! The receiving side: accepts connections and takes frames from their streams.

use std::{io, net, sync::Arc, time::Duration};

use bytes::Bytes;
use h2::{
    Reason, RecvStream,
    server::{Connection, SendResponse},
};
use http::{HeaderMap, Request, Response, StatusCode};
use laburnum_core::{
    memory::{Party, Port, Purpose},
    relay::{Answer, Hop},
    view::Lane,
};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::Sender,
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    Body, Frame, Limits,
    codec::Decoder,
    hello::{self, Hello},
    key::Digest,
    ping,
};
use crate::memory::{Account, Ledger};

/// The pause after a connection could not be accepted, which happens when the
/// process has no more file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The largest header list of the request that opens a stream, in bytes.
const MAX_HEADER_BYTES: u32 = 8 * 1024;

/// What a connection takes beside its messages, in bytes.
const CONNECTION_BYTES: usize = 32 << 10;

/// The rules by which a listener accepts streams.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The lane that listens. A stream for another lane is refused.
    pub own: Lane,
    /// The digests of the keys that are accepted: one, or two while the key is
    /// being replaced.
    pub keys: Vec<Digest>,
    pub limits: Limits,
    /// Counts what the process holds for others.
    pub ledger: Ledger,
}

/// Accepts connections and hands their frames to `sink`, until the future is
/// dropped, which aborts the connections.
///
/// A full `sink` holds back the senders, whose queues are bounded.
pub async fn listen(
    listener: net::TcpListener,
    admission: Admission,
    sink: Sender<Frame>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let admission = Arc::new(admission);
    let port = Port { party: Party::Vm, thread: admission.own.thread };
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((tcp, _)) => {
                    let max = admission.limits.connections;
                    // A connection for which there is no room is closed; its VM dials again.
                    if let Ok(account) = admission.ledger.open(port, max, CONNECTION_BYTES) {
                        let serving = serve(tcp, Arc::clone(&admission), sink.clone(), account);
                        connections.spawn(serving);
                    }
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(tcp: TcpStream, admission: Arc<Admission>, sink: Sender<Frame>, _account: Account) {
    // Without `TCP_NODELAY` the connection is slower but correct.
    let _ = tcp.set_nodelay(true);
    let handshake = handshake(tcp, &admission.limits);
    let Ok(Ok(mut connection)) = timeout(admission.limits.connect_timeout, handshake).await else {
        return;
    };
    let silent = ping::watch(connection.ping_pong(), admission.limits);
    tokio::pin!(silent);
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    streams.spawn(serve_stream(
                        request,
                        respond,
                        Arc::clone(&admission),
                        sink.clone(),
                    ));
                }
                Some(Err(_)) | None => return,
            },
            _ = &mut silent => return,
            Some(_) = streams.join_next() => {}
        }
    }
}

async fn handshake(
    tcp: TcpStream,
    limits: &Limits,
) -> Result<Connection<TcpStream, Bytes>, h2::Error> {
    h2::server::Builder::new()
        .max_concurrent_streams(1)
        .max_header_list_size(MAX_HEADER_BYTES)
        .initial_window_size(limits.window_bytes)
        .initial_connection_window_size(limits.window_bytes)
        .data_frame_budget(limits.queue_bytes)
        .handshake(tcp)
        .await
}

/// Checks one stream, then receives its frames or refuses it.
async fn serve_stream(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    admission: Arc<Admission>,
    sink: Sender<Frame>,
) {
    let (head, body) = request.into_parts();
    let hello = match check(&head.headers, &admission) {
        Ok(hello) => hello,
        Err(status) => return refuse(&mut respond, status),
    };
    let Ok(mut response) = respond.send_response(Response::new(()), false) else {
        return;
    };
    match receive(body, hello, &admission, sink).await {
        // The end of the response tells the sender that all frames were taken.
        Ok(()) => drop(response.send_data(Bytes::new(), true)),
        Err(reason) => response.send_reset(reason),
    }
}

fn check(headers: &HeaderMap, admission: &Admission) -> Result<Hello, StatusCode> {
    let key = hello::key(headers).unwrap_or_default();
    // Every key is compared, so that the time does not reveal which one
    // matched.
    let matching = admission.keys.iter().filter(|known| known.matches(key)).count();
    if matching == 0 {
        return Err(StatusCode::UNAUTHORIZED);
    }
    let hello = Hello::try_from(headers).map_err(|_| StatusCode::BAD_REQUEST)?;
    if hello.to != admission.own {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
    Ok(hello)
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // Dropping the request resets the stream once the response is sent. If the
    // response cannot be sent, the sender has gone.
    let _ = respond.send_response(response, true);
}

/// Hands the frames of a stream to the sink, in their order. Fails with the
/// reason for a reset of the stream.
async fn receive(
    mut body: RecvStream,
    hello: Hello,
    admission: &Admission,
    sink: Sender<Frame>,
) -> Result<(), Reason> {
    let ledger = &admission.ledger;
    let mut decoder = Decoder::new(admission.limits.frame_bytes);
    let mut hold = ledger.hold(Purpose::Answer);
    while let Some(data) = body.data().await {
        let data = data.map_err(|error| error.reason().unwrap_or(Reason::CANCEL))?;
        hold.grow_to(decoder.len() + data.len()).map_err(|_| Reason::ENHANCE_YOUR_CALM)?;
        decoder.push(&data);
        while let Some(mut body) = decoder.next_body().map_err(|_| Reason::ENHANCE_YOUR_CALM)? {
            let has_room = hold_body(ledger, &mut body);
            let (from, incarnation) = (hello.from.clone(), hello.incarnation);
            let frame = Frame { from, incarnation, body, has_room };
            sink.send(frame).await.map_err(|_| Reason::CANCEL)?;
        }
        if decoder.is_empty() {
            hold = ledger.hold(Purpose::Answer);
        }
        body.flow_control().release_capacity(data.len()).map_err(|_| Reason::CANCEL)?;
    }
    if decoder.is_empty() { Ok(()) } else { Err(Reason::PROTOCOL_ERROR) }
}

/// Counts the body of the request or answer that a message carries, until it is dropped. If
/// there is no room for it, empties it and returns false.
fn hold_body(ledger: &Ledger, message: &mut Body) -> bool {
    let Body::Relay(hop) = message else { return true };
    let (purpose, bytes) = match &mut **hop {
        Hop::Request { caller_request, .. } => (Purpose::Request, &mut caller_request.message.body),
        Hop::Answer { answer: Answer::Forwarded(reply), .. } => (Purpose::Answer, &mut reply.body),
        _ => return true,
    };
    let mut hold = ledger.hold(purpose);
    let held = std::mem::take(bytes);
    let has_room = hold.grow_to(held.len()).is_ok();
    if has_room {
        *bytes = hold.keep(held);
    }
    has_room
}
