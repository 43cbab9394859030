//! The head of a stream: who sends to whom.

use std::{fmt, num::ParseIntError};

use http::{HeaderMap, HeaderValue, Method, Request, Version};
use laburnum_core::{
    name::{self, Name},
    view::Lane,
};

use super::Key;

const PATH: &str = "/v1/frames";
const KEY: &str = "laburnum-key";
const FROM_VM: &str = "laburnum-from-vm";
const FROM_THREAD: &str = "laburnum-from-thread";
const INCARNATION: &str = "laburnum-incarnation";
const TO_VM: &str = "laburnum-to-vm";
const TO_THREAD: &str = "laburnum-to-thread";

/// Who sends to whom on a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    /// The lane that sends.
    pub from: Lane,
    /// The start of the VM that sends.
    pub incarnation: u64,
    /// The lane that the sender believes to talk to. Addresses are used again
    /// by other VMs, so that the receiver checks it.
    pub to: Lane,
}

/// Why the head of a stream was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A header is missing or is not text.
    Missing(&'static str),
    /// A header is not a name.
    Name(name::Error),
    /// A header is not a number.
    Number(ParseIntError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Missing(header) => write!(f, "header {header} is missing"),
            Error::Name(error) => error.fmt(f),
            Error::Number(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for Error {}

impl From<name::Error> for Error {
    fn from(error: name::Error) -> Error {
        Error::Name(error)
    }
}

impl From<ParseIntError> for Error {
    fn from(error: ParseIntError) -> Error {
        Error::Number(error)
    }
}

impl TryFrom<&HeaderMap> for Hello {
    type Error = Error;

    fn try_from(headers: &HeaderMap) -> Result<Hello, Error> {
        Ok(Hello {
            from: lane(headers, FROM_VM, FROM_THREAD)?,
            incarnation: text(headers, INCARNATION)?.parse()?,
            to: lane(headers, TO_VM, TO_THREAD)?,
        })
    }
}

fn lane(headers: &HeaderMap, vm: &'static str, thread: &'static str) -> Result<Lane, Error> {
    let vm = Name::try_from(text(headers, vm)?)?;
    Ok(Lane { vm, thread: text(headers, thread)?.parse()? })
}

fn text<'a>(headers: &'a HeaderMap, header: &'static str) -> Result<&'a str, Error> {
    let value = headers.get(header).and_then(|value| value.to_str().ok());
    value.ok_or(Error::Missing(header))
}

/// The key that was shown, if any.
pub fn shown_key(headers: &HeaderMap) -> Option<&[u8]> {
    headers.get(KEY).map(HeaderValue::as_bytes)
}

/// Makes the request that opens a stream; none if a value fits in no header.
pub fn request(hello: &Hello, key: &Key) -> Option<Request<()>> {
    Request::builder()
        .method(Method::POST)
        .version(Version::HTTP_2)
        .uri(format!("http://laburnum{PATH}"))
        .header(KEY, key.header()?)
        .header(FROM_VM, hello.from.vm.as_str())
        .header(FROM_THREAD, hello.from.thread)
        .header(INCARNATION, hello.incarnation)
        .header(TO_VM, hello.to.vm.as_str())
        .header(TO_THREAD, hello.to.thread)
        .body(())
        .ok()
}
