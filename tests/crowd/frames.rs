//! Targets of an entry VM, which speak HTTP/2 and send frames without end.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::sleep,
};

use crate::flood::{self, Pace, Tally};

/// The length of the text with which a client begins a connection, in bytes.
pub const PREFACE_BYTES: usize = 24;

/// The length of the header of a frame, in bytes.
const HEADER_BYTES: usize = 9;

/// The payload of a long frame, in bytes: the most that a client allows without saying so.
const LONG_BYTES: usize = 16 << 10;

/// The time after an answer at which an idle connection is flooded.
const IDLE_PAUSE: Duration = Duration::from_millis(200);

pub const DATA: u8 = 0;
pub const HEADERS: u8 = 1;
pub const SETTINGS: u8 = 4;
const PUSH_PROMISE: u8 = 5;
pub const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;
const UNKNOWN: u8 = 0xfe;

pub const END_STREAM: u8 = 1;
pub const ACK: u8 = 1;
pub const END_HEADERS: u8 = 4;

/// The status 200 as a header block.
pub const STATUS_200: &[u8] = &[0x88];

/// The status 103 as a header block.
const STATUS_103: &[u8] = &[0x08, 3, b'1', b'0', b'3'];

/// When a flood begins.
#[derive(Clone, Copy, Debug)]
pub enum Moment {
    /// In place of all else.
    Handshake,
    /// In place of the answer to the first request, which reads the status.
    Status,
    /// In place of the answer to the second request.
    Request,
    /// After the answer to the first request.
    Idle,
}

/// What a target sends without end.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Bytes of another protocol.
    Text,
    /// One frame that is longer than any may be.
    LongFrame,
    Settings,
    Pings,
    UnknownFrames,
    WindowUpdates,
    /// Promises of answers for which nobody asked.
    Promises,
    /// A head that goes on.
    Continuations,
    /// Interim responses.
    Interim,
    /// A body that goes on without regard to what the client has room for.
    Data,
    /// A body of frames without data.
    EmptyData,
    /// A body of frames that are only padding.
    Padding,
    /// Trailers that end nothing.
    Trailers,
    /// Data of a request that there never was.
    StrayData,
}

/// A target that floods.
#[derive(Clone, Debug)]
pub struct Target {
    pub kind: Kind,
    pub moment: Moment,
    /// The body of the answer to the request for its status.
    pub status: Arc<[u8]>,
    pub tally: Tally,
}

impl Target {
    /// Starts the target, until the runtime ends.
    pub async fn start(self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        tokio::spawn(async move {
            loop {
                let (socket, _) = listener.accept().await.unwrap();
                tokio::spawn(self.clone().serve(socket));
            }
        });
        address
    }

    async fn serve(self, mut socket: TcpStream) {
        // A connection that ends before its flood is none that the case is about.
        if let Some(stream) = self.prepare(&mut socket).await {
            self.flood(socket, stream).await;
        }
    }

    /// Answers until the flood begins, and returns the stream of the last request.
    async fn prepare(&self, socket: &mut TcpStream) -> Option<u32> {
        let mut preface = [0; PREFACE_BYTES];
        socket.read_exact(&mut preface).await.ok()?;
        if matches!(self.moment, Moment::Handshake) {
            return Some(1);
        }
        socket.write_all(&frame(SETTINGS, 0, 0, &[])).await.ok()?;
        loop {
            let (kind, flags, stream) = read_frame(socket).await?;
            if kind == SETTINGS && flags & ACK == 0 {
                socket.write_all(&frame(SETTINGS, ACK, 0, &[])).await.ok()?;
            }
            if kind != HEADERS {
                continue;
            }
            if stream > 1 || matches!(self.moment, Moment::Status) {
                return Some(stream);
            }
            let answer = [
                frame(HEADERS, END_HEADERS, stream, STATUS_200),
                frame(DATA, END_STREAM, stream, &self.status),
            ];
            socket.write_all(&answer.concat()).await.ok()?;
            if matches!(self.moment, Moment::Idle) {
                sleep(IDLE_PAUSE).await;
                return Some(stream);
            }
        }
    }

    async fn flood(&self, mut socket: TcpStream, stream: u32) {
        let (first, piece) = self.kind.frames(stream);
        if socket.write_all(&first).await.is_ok() {
            flood::run(&mut socket, &piece, Pace::Fast, &self.tally).await;
        }
    }
}

impl Kind {
    /// Returns what comes first on a stream, and what follows without end.
    fn frames(self, stream: u32) -> (Vec<u8>, Vec<u8>) {
        let head = frame(HEADERS, END_HEADERS, stream, STATUS_200);
        let long = vec![b'x'; LONG_BYTES];
        match self {
            Kind::Text => (Vec::new(), b"HTTP/1.1 200 OK\r\n".to_vec()),
            Kind::LongFrame => (vec![0xff, 0xff, 0xff, DATA, 0, 0, 0, 0, 1], long),
            Kind::Settings => (Vec::new(), frame(SETTINGS, 0, 0, &[0, 4, 0, 1, 0, 0])),
            Kind::Pings => (Vec::new(), frame(PING, 0, 0, &[0; 8])),
            Kind::UnknownFrames => (Vec::new(), frame(UNKNOWN, 0, 0, &long)),
            Kind::WindowUpdates => (Vec::new(), frame(WINDOW_UPDATE, 0, 0, &[0, 0, 0, 1])),
            Kind::Promises => {
                let promise = [&[0, 0, 0, 2], STATUS_200].concat();
                (Vec::new(), frame(PUSH_PROMISE, END_HEADERS, stream, &promise))
            }
            Kind::Continuations => {
                let begun = frame(HEADERS, 0, stream, STATUS_200);
                (begun, frame(CONTINUATION, 0, stream, &long_header()))
            }
            Kind::Interim => {
                let block = [STATUS_103, &long_header()].concat();
                (Vec::new(), frame(HEADERS, END_HEADERS, stream, &block))
            }
            Kind::Data => (head, frame(DATA, 0, stream, &long)),
            Kind::EmptyData => (head, frame(DATA, 0, stream, &[])),
            Kind::Padding => (head, frame(DATA, 8, stream, &[2, 0, 0])),
            Kind::Trailers => (head, frame(HEADERS, END_HEADERS, stream, &long_header())),
            Kind::StrayData => (Vec::new(), frame(DATA, 0, stream + 2, &long)),
        }
    }
}

/// Returns a header of 8 KiB, so written that the client does not keep it for later heads.
fn long_header() -> Vec<u8> {
    const VALUE_BYTES: usize = 8 << 10;
    // The length of the value in the encoding of RFC 7541, 5.1.
    let rest = VALUE_BYTES - 127;
    let length = [0x7f, 0x80 | (rest & 0x7f) as u8, (rest >> 7) as u8];
    let mut header = vec![0x00, 1, b'a'];
    header.extend_from_slice(&length);
    header.resize(header.len() + VALUE_BYTES, b'b');
    header
}

/// Returns a frame.
pub fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut frame = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    frame.extend_from_slice(&[kind, flags]);
    frame.extend_from_slice(&stream.to_be_bytes());
    frame.extend_from_slice(payload);
    frame
}

/// Reads a frame and returns its type, its flags and its stream.
pub async fn read_frame(socket: &mut TcpStream) -> Option<(u8, u8, u32)> {
    let mut header = [0; HEADER_BYTES];
    socket.read_exact(&mut header).await.ok()?;
    let [l0, l1, l2, kind, flags, s0, s1, s2, s3] = header;
    let mut payload = vec![0; u32::from_be_bytes([0, l0, l1, l2]) as usize];
    socket.read_exact(&mut payload).await.ok()?;
    Some((kind, flags, u32::from_be_bytes([s0, s1, s2, s3])))
}
