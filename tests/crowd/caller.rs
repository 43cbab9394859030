//! Callers that do not behave, each with a connection of its own.

use std::{net::SocketAddr, time::Duration};

use laburnum_platform::header::{ATTEMPT_ID, DEADLINE_MS};
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    task::JoinHandle,
    time::{sleep, timeout},
};

use crate::standin::entries::HOST;

/// The receive buffer of a caller, in bytes.
const RECEIVE_BUFFER_BYTES: u32 = 4096;

/// The pause between two bytes of a slow caller.
const BYTE_PAUSE: Duration = Duration::from_millis(100);

/// The time within which an ordinary caller is answered. It is long, as the machine may be
/// busy; a process that hangs does not answer at all.
const ANSWER_LIMIT: Duration = Duration::from_secs(30);

/// Connects a caller that takes little at a time.
pub async fn connect(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
    socket.connect(address).await.unwrap()
}

/// Connects and sends some bytes. The process may refuse the caller meanwhile, which is
/// allowed.
pub async fn send(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut socket = connect(address).await;
    let _ = socket.write_all(bytes).await;
    socket
}

/// Lets the test itself open as many connections as the system allows.
pub fn raise_descriptor_limit() {
    let limit = getrlimit(Resource::Nofile);
    setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, ..limit }).unwrap();
}

/// Connects a number of callers, each of which sends the same bytes, at the same time.
pub async fn crowd(address: SocketAddr, count: usize, bytes: &[u8]) -> Vec<TcpStream> {
    let sending: Vec<JoinHandle<TcpStream>> = (0..count)
        .map(|_| {
            let bytes = bytes.to_vec();
            tokio::spawn(async move { send(address, &bytes).await })
        })
        .collect();
    let mut callers = Vec::new();
    for task in sending {
        callers.push(task.await.unwrap());
    }
    callers
}

/// Reads a byte now and then from each caller, until the process closes its connection or
/// the case ends.
pub fn read_slowly(callers: Vec<TcpStream>) {
    for mut caller in callers {
        tokio::spawn(async move {
            while caller.read_u8().await.is_ok() {
                sleep(BYTE_PAUSE).await;
            }
        });
    }
}

/// Sends a byte now and then from each caller, until the process closes its connection or
/// the case ends.
pub fn send_slowly(callers: Vec<TcpStream>) {
    for mut caller in callers {
        tokio::spawn(async move {
            while caller.write_all(b"x").await.is_ok() {
                sleep(BYTE_PAUSE).await;
            }
        });
    }
}

/// Returns the head of a request to a relay whose caller waits for `deadline`.
pub fn head(method: &str, path: &str, deadline: Duration, body: usize) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n{ATTEMPT_ID}: crowd\r\n{DEADLINE_MS}: {}\r\n\
         Content-Length: {body}\r\n\r\n",
        deadline.as_millis()
    )
}

/// Returns the head of a request without more than HTTP requires.
pub fn plain_head(method: &str, path: &str, body: usize) -> String {
    format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nContent-Length: {body}\r\n\r\n")
}

/// Sends a request as an ordinary caller, reads its answer and returns the status.
pub async fn status(address: SocketAddr, request: &[u8]) -> u16 {
    let answer = timeout(ANSWER_LIMIT, exchange(address, request)).await;
    answer.expect("an ordinary caller is answered").0
}

/// Sends a request as an ordinary caller and returns the status and the size of the body.
pub async fn exchange(address: SocketAddr, request: &[u8]) -> (u16, usize) {
    let answer = read(address, request).await;
    let head = head_length(&answer).expect("an answer has a head");
    let status = String::from_utf8_lossy(&answer[9..12]).parse().unwrap();
    (status, answer.len() - head)
}

/// Sends a request and returns its answer with the head.
pub async fn read(address: SocketAddr, request: &[u8]) -> Vec<u8> {
    let mut socket = TcpStream::connect(address).await.unwrap();
    let (mut reader, mut writer) = socket.split();
    let mut answer = Vec::new();
    let reading = async {
        let mut piece = vec![0; 64 << 10];
        while !is_complete(&answer) {
            match reader.read(&mut piece).await {
                Ok(0) | Err(_) => break,
                Ok(count) => answer.extend_from_slice(&piece[..count]),
            }
        }
    };
    // A caller that is refused early need not send the rest.
    let (_, ()) = tokio::join!(writer.write_all(request), reading);
    answer
}

fn head_length(answer: &[u8]) -> Option<usize> {
    answer.windows(4).take(16 << 10).position(|window| window == b"\r\n\r\n").map(|end| end + 4)
}

fn is_complete(answer: &[u8]) -> bool {
    let Some(head) = head_length(answer) else { return false };
    let text = String::from_utf8_lossy(&answer[..head]).to_ascii_lowercase();
    let mut fields = text.lines().filter_map(|line| line.strip_prefix("content-length:"));
    let length = fields.next().and_then(|length| length.trim().parse::<usize>().ok());
    length.is_some_and(|length| answer.len() - head >= length)
}
