//! Digests that detect altered replies and recognize resent requests.

use std::{fmt, num::ParseIntError, str::FromStr};

use xxhash_rust::xxh3::Xxh3;

use crate::target::Row;

/// The fingerprint of a request. A request that is sent again has the same one.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize,
)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Fingerprint {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Fingerprint, ParseIntError> {
        u64::from_str_radix(text, 16).map(Fingerprint)
    }
}

/// Computes the fingerprint of the parts of a request.
///
/// Each part is hashed with its length, so that moving a byte from one part to
/// the next changes the fingerprint.
pub fn fingerprint(parts: &[&[u8]]) -> Fingerprint {
    let mut hash = Xxh3::new();
    for part in parts {
        hash.update(&(part.len() as u64).to_le_bytes());
        hash.update(part);
    }
    Fingerprint(hash.digest())
}

/// Computes the digest of the rows of a reply, by which a truncated reply is
/// detected.
pub fn rows(rows: &[Row]) -> u64 {
    let mut hash = Xxh3::new();
    for row in rows {
        hash.update(&row.key.to_le_bytes());
        hash.update(&(row.body.len() as u64).to_le_bytes());
        hash.update(row.body.as_bytes());
    }
    hash.digest()
}
