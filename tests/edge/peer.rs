//! A target whose frames the cases write themselves.

use std::net::SocketAddr;

use laburnum_core::target::Event;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

use crate::{
    frames::{
        ACK, DATA, END_HEADERS, END_STREAM, HEADERS, PREFACE_BYTES, SETTINGS, STATUS_200, frame,
        read_frame,
    },
    harness::{Caller, REQUEST_TIMEOUT, Target},
};

/// Reads the status of a sound target, as the body of an answer.
pub async fn read_status() -> Vec<u8> {
    let target = Target::start(|_| {});
    let mut caller = Caller::new();
    caller.dial(target.address, REQUEST_TIMEOUT);
    match caller.event().await {
        Event::Opened { status, .. } => serde_json::to_vec(&status).unwrap(),
        event => panic!("not opened: {event:?}"),
    }
}

/// The listener of a target.
pub struct Listener(TcpListener);

/// A connection to a target, whose status has been read.
pub struct Peer {
    socket: TcpStream,
}

impl Listener {
    pub async fn bind() -> (Listener, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        (Listener(listener), address)
    }

    /// Accepts a connection.
    pub async fn accept_socket(&self) -> TcpStream {
        self.0.accept().await.unwrap().0
    }

    /// Accepts a connection and answers the request for the status.
    pub async fn accept(&self, status: &[u8]) -> Peer {
        let mut socket = self.accept_socket().await;
        socket.read_exact(&mut [0; PREFACE_BYTES]).await.unwrap();
        let mut peer = Peer { socket };
        peer.send(&frame(SETTINGS, 0, 0, &[])).await;
        let stream = peer.request().await;
        peer.answer(stream, status).await;
        peer
    }
}

impl Peer {
    pub async fn send(&mut self, bytes: &[u8]) {
        assert!(self.try_send(bytes).await, "the connection is open");
    }

    /// Sends bytes; returns false if the connection is closed.
    pub async fn try_send(&mut self, bytes: &[u8]) -> bool {
        self.socket.write_all(bytes).await.is_ok()
    }

    /// Waits for a request and returns its stream.
    pub async fn request(&mut self) -> u32 {
        self.wait(HEADERS).await
    }

    /// Waits for a frame of this type and returns its stream.
    pub async fn wait(&mut self, wanted: u8) -> u32 {
        loop {
            let (kind, flags, stream) = read_frame(&mut self.socket).await.unwrap();
            if kind == SETTINGS && flags & ACK == 0 {
                self.send(&frame(SETTINGS, ACK, 0, &[])).await;
            }
            if kind == wanted {
                return stream;
            }
        }
    }

    /// Begins an answer.
    pub async fn begin(&mut self, stream: u32) {
        self.send(&frame(HEADERS, END_HEADERS, stream, STATUS_200)).await;
    }

    /// Sends an answer with a short body.
    pub async fn answer(&mut self, stream: u32, body: &[u8]) {
        self.begin(stream).await;
        self.send(&frame(DATA, END_STREAM, stream, body)).await;
    }
}
