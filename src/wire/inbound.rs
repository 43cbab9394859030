//! The receiving side: a listener and its connections.

use std::{io, net, sync::Arc, time::Duration};

use bytes::Bytes;
use h2::{
    Reason, RecvStream,
    server::{Connection, SendResponse},
};
use http::{HeaderMap, Request, Response, StatusCode};
use laburnum_core::view::Lane;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::mpsc::Sender,
    task::JoinSet,
    time::{sleep, timeout},
};

use super::{
    Frame, Limits,
    codec::Decoder,
    hello::{self, Hello},
    key::Digest,
    ping,
};

/// The pause after a connection could not be accepted, which happens when the
/// process has no more file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// The longest head of a stream, in bytes.
const MAX_HEAD: u32 = 8 * 1024;

/// Which streams a listener takes.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The lane that listens.
    pub own: Lane,
    /// The digests of the keys that are accepted: one, or two while the key is
    /// being replaced.
    pub keys: Vec<Digest>,
    /// The bounds.
    pub limits: Limits,
}

/// Receives frames until the future is dropped, which cuts its connections.
///
/// A full `sink` holds back the senders, whose queues are bounded.
pub async fn listen(
    listener: net::TcpListener,
    guard: Admission,
    sink: Sender<Frame>,
) -> io::Result<()> {
    listener.set_nonblocking(true)?;
    let listener = TcpListener::from_std(listener)?;
    let guard = Arc::new(guard);
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((tcp, _)) if connections.len() < guard.limits.connections => {
                    connections.spawn(serve(tcp, Arc::clone(&guard), sink.clone()));
                }
                Ok(_) => {}
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(tcp: TcpStream, guard: Arc<Admission>, sink: Sender<Frame>) {
    // Without it the sender is slower but not wrong.
    let _ = tcp.set_nodelay(true);
    let handshake = handshake(tcp, &guard.limits);
    let Ok(Ok(mut connection)) = timeout(guard.limits.connect_timeout, handshake).await else {
        return;
    };
    let silent = ping::watch(connection.ping_pong(), guard.limits);
    tokio::pin!(silent);
    let mut streams = JoinSet::new();
    loop {
        tokio::select! {
            accepted = connection.accept() => match accepted {
                Some(Ok((request, respond))) => {
                    streams.spawn(take(request, respond, Arc::clone(&guard), sink.clone()));
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
        .max_header_list_size(MAX_HEAD)
        .initial_window_size(limits.window_bytes)
        .initial_connection_window_size(limits.window_bytes)
        .data_frame_budget(limits.queue_bytes)
        .handshake(tcp)
        .await
}

/// Takes one stream or refuses it.
async fn take(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    guard: Arc<Admission>,
    sink: Sender<Frame>,
) {
    let (head, body) = request.into_parts();
    let hello = match check(&head.headers, &guard) {
        Ok(hello) => hello,
        Err(status) => return refuse(&mut respond, status),
    };
    let Ok(mut answer) = respond.send_response(Response::new(()), false) else {
        return;
    };
    match receive(body, hello, guard.limits.frame_bytes, sink).await {
        // The end of the answer tells the sender that all was taken.
        Ok(()) => drop(answer.send_data(Bytes::new(), true)),
        Err(reason) => answer.send_reset(reason),
    }
}

fn check(headers: &HeaderMap, guard: &Admission) -> Result<Hello, StatusCode> {
    let shown = hello::shown_key(headers).unwrap_or_default();
    // Every key is compared, so that the time does not tell which one matched.
    let matching = guard.keys.iter().filter(|key| key.matches(shown)).count();
    if matching == 0 {
        return Err(StatusCode::UNAUTHORIZED);
    }
    let hello = Hello::try_from(headers).map_err(|_| StatusCode::BAD_REQUEST)?;
    if hello.to != guard.own {
        return Err(StatusCode::MISDIRECTED_REQUEST);
    }
    Ok(hello)
}

fn refuse(respond: &mut SendResponse<Bytes>, status: StatusCode) {
    let mut response = Response::new(());
    *response.status_mut() = status;
    // Dropping the request resets the stream once the response is sent; the
    // sender has gone if it cannot be.
    let _ = respond.send_response(response, true);
}

/// Hands the frames of a stream to the sink, in their order.
async fn receive(
    mut body: RecvStream,
    hello: Hello,
    limit: usize,
    sink: Sender<Frame>,
) -> Result<(), Reason> {
    let mut decoder = Decoder::new(limit);
    while let Some(data) = body.data().await {
        let data = data.map_err(|error| error.reason().unwrap_or(Reason::CANCEL))?;
        decoder.push(&data);
        while let Some(body) = decoder.next_body().map_err(|_| Reason::ENHANCE_YOUR_CALM)? {
            let frame = Frame { from: hello.from.clone(), incarnation: hello.incarnation, body };
            sink.send(frame).await.map_err(|_| Reason::CANCEL)?;
        }
        body.flow_control().release_capacity(data.len()).map_err(|_| Reason::CANCEL)?;
    }
    if decoder.is_empty() { Ok(()) } else { Err(Reason::PROTOCOL_ERROR) }
}
