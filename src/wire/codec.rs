//! Frames on a stream: a length of four bytes, then a body in bincode.

use std::fmt;

use bincode::config::{self, Config};
use bytes::{Buf, Bytes, BytesMut};

use super::Body;

/// The size of the length before each body, in bytes.
const HEAD: usize = 4;

/// The most bytes that decoding one body may allocate at a time.
const MAX_ALLOCATION: usize = 64 * 1024 * 1024;

/// Why a frame was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body is longer than the limit.
    TooLong { length: usize, limit: usize },
    /// The body is not a message.
    Body { detail: String },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLong { length, limit } => {
                write!(f, "frame of {length} bytes is longer than {limit} bytes")
            }
            Error::Body { detail } => write!(f, "frame cannot be decoded: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

fn format() -> impl Config {
    config::standard().with_limit::<MAX_ALLOCATION>()
}

/// Encodes a frame whose body has at most `limit` bytes.
pub fn encode(body: &Body, limit: usize) -> Result<Bytes, Error> {
    let mut frame = vec![0; HEAD];
    bincode::serde::encode_into_std_write(body, &mut frame, format())
        .map_err(|error| Error::Body { detail: error.to_string() })?;
    let length = frame.len() - HEAD;
    match u32::try_from(length) {
        Ok(head) if length <= limit => frame[..HEAD].copy_from_slice(&head.to_be_bytes()),
        _ => return Err(Error::TooLong { length, limit }),
    }
    Ok(Bytes::from(frame))
}

/// Splits a stream of bytes into bodies.
///
/// It holds at most one incomplete frame and what was pushed after it.
#[derive(Debug)]
pub struct Decoder {
    limit: usize,
    buffer: BytesMut,
}

impl Decoder {
    /// Makes a decoder that refuses bodies of more than `limit` bytes.
    pub fn new(limit: usize) -> Decoder {
        Decoder { limit, buffer: BytesMut::new() }
    }

    /// Adds bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Tells whether no part of a frame is left.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next body, or none while it is incomplete. After an error the
    /// stream is of no more use.
    pub fn next_body(&mut self) -> Result<Option<Body>, Error> {
        let Some(head) = self.buffer.first_chunk::<HEAD>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*head) as usize;
        if length > self.limit {
            return Err(Error::TooLong { length, limit: self.limit });
        }
        if self.buffer.len() < HEAD + length {
            return Ok(None);
        }
        self.buffer.advance(HEAD);
        decode(&self.buffer.split_to(length)).map(Some)
    }
}

fn decode(bytes: &[u8]) -> Result<Body, Error> {
    let (body, read) = bincode::serde::decode_from_slice(bytes, format())
        .map_err(|error| Error::Body { detail: error.to_string() })?;
    if read < bytes.len() {
        let detail = format!("{} bytes are left over", bytes.len() - read);
        return Err(Error::Body { detail });
    }
    Ok(body)
}
