//! HTTP/1.1 messages as bytes, read strictly.

use std::io;

use tokio::{io::AsyncReadExt, net::TcpStream};

/// A message with a whole body.
#[derive(Clone, Debug)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line.
    pub fn second(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

fn invalid(detail: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail)
}

/// Reads one message; none means that the connection ended before its first
/// byte. Bytes that follow it stay in `buffer`.
pub async fn read(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        if socket.read_buf(buffer).await? == 0 {
            let is_between = buffer.is_empty();
            return if is_between { Ok(None) } else { Err(invalid("cut in the head")) };
        }
    };
    let head = String::from_utf8(buffer[..end].to_vec()).map_err(|_| invalid("head is no text"))?;
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers: Vec<(String, String)> =
        headers.map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned())).collect();
    let mut message = Message { first, headers, body: Vec::new() };
    let length = message.header("content-length").map_or(Ok(0), str::parse::<usize>);
    let length = length.map_err(|_| invalid("length is no number"))?;
    while buffer.len() < length {
        if socket.read_buf(buffer).await? == 0 {
            return Err(invalid("cut in the body"));
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}
