//! The request that opens a stream: it names the sender and the receiver and
//! shows the key.

use std::{fmt, num::ParseIntError};

use http::{HeaderMap, HeaderValue, Method, Request, Version};
use laburnum_core::{
    name::{self, Name},
    view::Lane,
};

use super::Key;

const PATH: &str = "/v1/frames";
const KEY_HEADER: &str = "laburnum-key";
const FROM_VM_HEADER: &str = "laburnum-from-vm";
const FROM_THREAD_HEADER: &str = "laburnum-from-thread";
const INCARNATION_HEADER: &str = "laburnum-incarnation";
const TO_VM_HEADER: &str = "laburnum-to-vm";
const TO_THREAD_HEADER: &str = "laburnum-to-thread";

/// The sender and the receiver of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hello {
    pub from: Lane,
    /// The incarnation of the VM that sends.
    pub incarnation: u64,
    /// The lane that the sender expects at the address. The receiver checks it,
    /// since other VMs may reuse the address.
    pub to: Lane,
}

/// Why the headers of a stream were refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A header is missing or is not ASCII text.
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
            from: lane(headers, FROM_VM_HEADER, FROM_THREAD_HEADER)?,
            incarnation: text(headers, INCARNATION_HEADER)?.parse()?,
            to: lane(headers, TO_VM_HEADER, TO_THREAD_HEADER)?,
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

/// Returns the key in the headers, if there is one.
pub fn key(headers: &HeaderMap) -> Option<&[u8]> {
    headers.get(KEY_HEADER).map(HeaderValue::as_bytes)
}

/// Makes the request that opens a stream; none if a value cannot be a header.
pub fn request(hello: &Hello, key: &Key) -> Option<Request<()>> {
    Request::builder()
        .method(Method::POST)
        .version(Version::HTTP_2)
        .uri(format!("http://laburnum{PATH}"))
        .header(KEY_HEADER, key.header()?)
        .header(FROM_VM_HEADER, hello.from.vm.as_str())
        .header(FROM_THREAD_HEADER, hello.from.thread)
        .header(INCARNATION_HEADER, hello.incarnation)
        .header(TO_VM_HEADER, hello.to.vm.as_str())
        .header(TO_THREAD_HEADER, hello.to.thread)
        .body(())
        .ok()
}
