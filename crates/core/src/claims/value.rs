//! The stored form of a bucket and of the floor.
//!
//! The layout is fixed by hand: 41 bytes for each claim and the bytes of its
//! result. It outlives a release, so it must not follow a library's format or
//! the order of a Rust enum. See `docs/design/claims.md`.

use std::{collections::BTreeMap, sync::Arc};

use uuid::Uuid;

use crate::{
    claim::{Key, Outcome},
    digest::Fingerprint,
};

/// The first byte of a stored bucket.
const FORMAT: u8 = 1;
/// The bytes of a claim without a result.
pub const CLAIM_SIZE: usize = 16 + 16 + 8 + 1;
/// The bytes of the length of a result.
const LENGTH_SIZE: usize = 4;

const CLAIMED: u8 = 0;
const NOT_RUN: u8 = 1;
const DONE: u8 = 2;

/// What is stored for a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The run that holds the key.
    pub token: Uuid,
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The outcome, if one is recorded.
    pub outcome: Option<Outcome>,
}

/// The claims of one bucket by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value {
    entries: BTreeMap<Key, Entry>,
    results: usize,
}

/// Why a stored value cannot be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The offset of the byte at fault.
    pub offset: usize,
}

impl Value {
    /// The entry of `key`.
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Stores the entry of `key` in place of an earlier one.
    pub fn insert(&mut self, key: Key, entry: Entry) {
        self.results += result_size(&entry);
        if let Some(old) = self.entries.insert(key, entry) {
            self.results -= result_size(&old);
        }
    }

    /// The number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no claim is stored.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The bytes of the stored form.
    pub fn size(&self) -> usize {
        1 + self.entries.len() * CLAIM_SIZE + self.results
    }

    /// Writes the stored form.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.size());
        out.push(FORMAT);
        for (key, entry) in &self.entries {
            out.extend_from_slice(key.0.as_bytes());
            out.extend_from_slice(entry.token.as_bytes());
            out.extend_from_slice(&entry.fingerprint.0.to_le_bytes());
            match &entry.outcome {
                None => out.push(CLAIMED),
                Some(Outcome::NotRun) => out.push(NOT_RUN),
                Some(Outcome::Done { result }) => {
                    out.push(DONE);
                    out.extend_from_slice(&(result.len() as u32).to_le_bytes());
                    out.extend_from_slice(result.as_bytes());
                }
            }
        }
        out
    }
}

impl TryFrom<&[u8]> for Value {
    type Error = Unreadable;

    fn try_from(bytes: &[u8]) -> Result<Value, Unreadable> {
        let mut reader = Reader { bytes, offset: 0 };
        if reader.array::<1>()? != [FORMAT] {
            return Err(Unreadable { offset: 0 });
        }
        let mut value = Value::default();
        while reader.offset < bytes.len() {
            let key = Key(Uuid::from_bytes(reader.array()?));
            let token = Uuid::from_bytes(reader.array()?);
            let fingerprint = Fingerprint(u64::from_le_bytes(reader.array()?));
            let outcome = reader.outcome()?;
            value.insert(key, Entry { token, fingerprint, outcome });
        }
        Ok(value)
    }
}

fn result_size(entry: &Entry) -> usize {
    match &entry.outcome {
        Some(Outcome::Done { result }) => LENGTH_SIZE + result.len(),
        _ => 0,
    }
}

struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
}

impl Reader<'_> {
    fn take(&mut self, len: usize) -> Result<&[u8], Unreadable> {
        let end = self.offset.checked_add(len);
        let range = end.and_then(|end| self.bytes.get(self.offset..end));
        let found = range.ok_or(Unreadable { offset: self.offset })?;
        self.offset += len;
        Ok(found)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], Unreadable> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    fn outcome(&mut self) -> Result<Option<Outcome>, Unreadable> {
        let at = Unreadable { offset: self.offset };
        match self.array::<1>()? {
            [CLAIMED] => Ok(None),
            [NOT_RUN] => Ok(Some(Outcome::NotRun)),
            [DONE] => {
                let len = u32::from_le_bytes(self.array()?) as usize;
                let text = std::str::from_utf8(self.take(len)?).map_err(|_| at)?;
                Ok(Some(Outcome::Done { result: Arc::from(text) }))
            }
            _ => Err(at),
        }
    }
}

/// The stored floor: what lies below it is forgotten and refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// The lowest slot whose claims are remembered.
    pub slot: u64,
    /// Every slot below this one has been removed.
    pub swept: u64,
}

impl Floor {
    /// Writes the stored form.
    pub fn encode(&self) -> Vec<u8> {
        [self.slot.to_le_bytes(), self.swept.to_le_bytes()].concat()
    }
}

impl TryFrom<&[u8]> for Floor {
    type Error = Unreadable;

    fn try_from(bytes: &[u8]) -> Result<Floor, Unreadable> {
        let mut reader = Reader { bytes, offset: 0 };
        let slot = u64::from_le_bytes(reader.array()?);
        let swept = u64::from_le_bytes(reader.array()?);
        Ok(Floor { slot, swept })
    }
}
