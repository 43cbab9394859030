//! Reads HTTP/1.1 messages strictly, so that malformed ones are found.

use std::io;

use tokio::{io::AsyncReadExt, net::TcpStream};

/// A request or a response with its whole body.
#[derive(Clone, Debug)]
pub struct Message {
    pub start_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header; `name` must be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the second word of the start line: the path of a request or the status
    /// code of a response.
    pub fn second_word(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }
}

fn invalid(detail: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, detail)
}

/// Reads one message. Returns `None` if the connection ends before the first byte, and
/// an error of the kind `InvalidData` if the message is malformed or truncated. Bytes
/// after the message stay in `buffer`.
pub async fn read(socket: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let end = loop {
        if let Some(at) = buffer.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            break at;
        }
        if socket.read_buf(buffer).await? == 0 {
            let is_between_messages = buffer.is_empty();
            return if is_between_messages {
                Ok(None)
            } else {
                Err(invalid("connection closed within the head"))
            };
        }
    };
    let head =
        String::from_utf8(buffer[..end].to_vec()).map_err(|_| invalid("head is not UTF-8"))?;
    buffer.drain(..end + 4);
    let mut lines = head.split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers: Vec<(String, String)> =
        headers.map(|(k, v)| (k.to_ascii_lowercase(), v.trim().to_owned())).collect();
    let mut message = Message { start_line, headers, body: Vec::new() };
    let length = message.header("content-length").map_or(Ok(0), str::parse::<usize>);
    let length = length.map_err(|_| invalid("content-length is not a number"))?;
    while buffer.len() < length {
        if socket.read_buf(buffer).await? == 0 {
            return Err(invalid("connection closed within the body"));
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}
