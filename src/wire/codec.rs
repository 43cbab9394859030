//! The encoding of frames: the length of the body in four bytes, big-endian,
//! then the body in bincode.

use std::fmt;

use bincode::config::{self, Config};
use bytes::{Buf, Bytes, BytesMut};

use super::Body;

/// The size of the length prefix of each body, in bytes.
const PREFIX_BYTES: usize = 4;

/// The most bytes that decoding one body may allocate at a time.
const MAX_ALLOCATION_BYTES: usize = 64 * 1024 * 1024;

/// Why a frame cannot be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The body is longer than the limit.
    TooLong { length: usize, limit: usize },
    /// The body cannot be encoded as bincode, or is not the bincode of a
    /// message.
    Body { detail: String },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::TooLong { length, limit } => {
                write!(f, "frame of {length} bytes is longer than {limit} bytes")
            }
            Error::Body { detail } => write!(f, "frame cannot be encoded or decoded: {detail}"),
        }
    }
}

impl std::error::Error for Error {}

fn format() -> impl Config {
    config::standard().with_limit::<MAX_ALLOCATION_BYTES>()
}

/// Encodes `body` as a frame, or fails if it takes more than `limit` bytes.
pub fn encode(body: &Body, limit: usize) -> Result<Bytes, Error> {
    let mut frame = vec![0; PREFIX_BYTES];
    bincode::serde::encode_into_std_write(body, &mut frame, format())
        .map_err(|error| Error::Body { detail: error.to_string() })?;
    let length = frame.len() - PREFIX_BYTES;
    match u32::try_from(length) {
        Ok(prefix) if length <= limit => {
            frame[..PREFIX_BYTES].copy_from_slice(&prefix.to_be_bytes())
        }
        _ => return Err(Error::TooLong { length, limit }),
    }
    Ok(Bytes::from(frame))
}

/// Splits a stream of bytes into bodies.
///
/// The decoder buffers at most one incomplete frame and the bytes that were
/// pushed after it.
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

    /// Returns the number of bytes that are buffered.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered, so that the stream may end here.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Takes the next body, or none while it is incomplete. After an error the
    /// rest of the stream cannot be decoded.
    pub fn next_body(&mut self) -> Result<Option<Body>, Error> {
        let Some(prefix) = self.buffer.first_chunk::<PREFIX_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*prefix) as usize;
        if length > self.limit {
            return Err(Error::TooLong { length, limit: self.limit });
        }
        if self.buffer.len() < PREFIX_BYTES + length {
            return Ok(None);
        }
        self.buffer.advance(PREFIX_BYTES);
        let body = decode(&self.buffer.split_to(length)).map(Some);
        if self.buffer.is_empty() {
            // A long message must not keep its buffer for the life of the stream.
            self.buffer = BytesMut::new();
        }
        body
    }
}

fn decode(bytes: &[u8]) -> Result<Body, Error> {
    let (body, read) = bincode::serde::decode_from_slice(bytes, format())
        .map_err(|error| Error::Body { detail: error.to_string() })?;
    if read < bytes.len() {
        let detail = format!("{} bytes follow the message", bytes.len() - read);
        return Err(Error::Body { detail });
    }
    Ok(body)
}
