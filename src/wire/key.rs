//! The key of a deployment, which a VM shows to its peers to authenticate
//! itself.

use std::{fmt, sync::Arc};

use crate::settings::identity::Secret;
use http::HeaderValue;
use sha2::{Digest as _, Sha256};
use subtle::ConstantTimeEq;

/// The shortest key, in bytes.
pub const MIN_BYTES: usize = 16;

/// The longest key, in bytes.
pub const MAX_BYTES: usize = 512;

/// A key in plain text. Its `Debug` form hides it, so that it reaches no log.
#[derive(Clone)]
pub struct Key(Arc<str>);

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

/// Why a text is not a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The text is too short or too long.
    Length,
    /// The text holds a character other than visible ASCII.
    Character,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Length => write!(f, "a key must have {MIN_BYTES} to {MAX_BYTES} bytes"),
            Error::Character => f.write_str("a key must hold visible ASCII characters only"),
        }
    }
}

impl std::error::Error for Error {}

impl TryFrom<&str> for Key {
    type Error = Error;

    fn try_from(text: &str) -> Result<Key, Error> {
        if !(MIN_BYTES..=MAX_BYTES).contains(&text.len()) {
            return Err(Error::Length);
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(Error::Character);
        }
        Ok(Key(Arc::from(text)))
    }
}

impl From<&Secret> for Key {
    /// Takes a secret as the key. A secret consists of visible ASCII characters
    /// and is long enough; one that is too long is cut off at the same length
    /// by every VM.
    fn from(secret: &Secret) -> Key {
        let text = secret.expose();
        Key(Arc::from(text.get(..MAX_BYTES).unwrap_or(text)))
    }
}

impl Key {
    /// Returns the digest by which a receiver recognizes the key.
    pub fn digest(&self) -> Digest {
        Digest::of(self.0.as_bytes())
    }

    /// Returns the key as the value of a header that is marked as sensitive.
    pub(super) fn header(&self) -> Option<HeaderValue> {
        let mut value = HeaderValue::from_str(&self.0).ok()?;
        value.set_sensitive(true);
        Some(value)
    }
}

/// The SHA-256 digest of a key. A receiver holds only digests of the keys that
/// it accepts.
#[derive(Clone, Copy, Debug)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Wraps a SHA-256 digest that was computed elsewhere.
    pub fn new(digest: [u8; 32]) -> Digest {
        Digest(digest)
    }

    fn of(key: &[u8]) -> Digest {
        Digest(Sha256::digest(key).into())
    }

    /// Returns in constant time whether this is the digest of `key`.
    pub fn matches(&self, key: &[u8]) -> bool {
        self.0.ct_eq(&Digest::of(key).0).into()
    }
}
