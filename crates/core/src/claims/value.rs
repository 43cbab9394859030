//! The stored format of buckets and of the floor.
//!
//! A bucket takes 41 bytes for each claim and the bytes of its result. The format
//! is encoded by hand because stored values outlive a release, so it must not
//! depend on a library's format or on the order of a Rust enum. See
//! `docs/design/claims.md`.

use std::{collections::BTreeMap, sync::Arc};

use uuid::Uuid;

use crate::{
    claim::{Key, Outcome},
    digest::Fingerprint,
    store::Era,
};

/// The first byte of a stored bucket.
const FORMAT_VERSION: u8 = 1;
/// The encoded size of a claim without a result: key, token, fingerprint and tag.
pub const CLAIM_BYTES: usize = 16 + 16 + 8 + 1;
/// The encoded size of the length of a result.
const LENGTH_BYTES: usize = 4;

/// The tag of a claim without an outcome.
const TAG_CLAIMED: u8 = 0;
/// The tag of a claim that was released without running.
const TAG_NOT_RUN: u8 = 1;
/// The tag of a claim with a result.
const TAG_DONE: u8 = 2;

/// The stored claim of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The token of the request that holds the key.
    pub token: Uuid,
    pub fingerprint: Fingerprint,
    /// The outcome, if one is recorded.
    pub outcome: Option<Outcome>,
}

/// The claims of one bucket by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Value {
    entries: BTreeMap<Key, Entry>,
    /// The encoded length of all results in bytes.
    results_len: usize,
}

/// The error of a stored value that cannot be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unreadable {
    /// The offset in bytes at which decoding failed.
    pub offset: usize,
}

impl Value {
    pub fn get(&self, key: &Key) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Inserts the entry of `key`, or replaces an earlier one.
    pub fn insert(&mut self, key: Key, entry: Entry) {
        self.results_len += encoded_result_len(&entry);
        if let Some(old) = self.entries.insert(key, entry) {
            self.results_len -= encoded_result_len(&old);
        }
    }

    /// Adds what `known` of an ended era holds and this value lacks. Returns whether the
    /// value changed.
    pub fn merge(&mut self, known: &Value) -> bool {
        let mut changed = false;
        for (key, known) in &known.entries {
            let merged = match self.get(key) {
                None => Some(known.clone()),
                Some(stored) => merged_entry(known, stored),
            };
            if let Some(entry) = merged {
                self.insert(*key, entry);
                changed = true;
            }
        }
        changed
    }

    /// Returns the number of claims.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the bucket holds no claims.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the length of the stored format in bytes.
    pub fn encoded_len(&self) -> usize {
        1 + self.entries.len() * CLAIM_BYTES + self.results_len
    }

    /// Encodes the stored format.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(self.encoded_len());
        out.push(FORMAT_VERSION);
        for (key, entry) in &self.entries {
            out.extend_from_slice(key.0.as_bytes());
            out.extend_from_slice(entry.token.as_bytes());
            out.extend_from_slice(&entry.fingerprint.0.to_le_bytes());
            match &entry.outcome {
                None => out.push(TAG_CLAIMED),
                Some(Outcome::NotRun) => out.push(TAG_NOT_RUN),
                Some(Outcome::Done { result }) => {
                    out.push(TAG_DONE);
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
        if reader.array::<1>()? != [FORMAT_VERSION] {
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

/// Returns the entry that takes the place of the stored one, if the entry of the same key
/// from an ended era says more.
fn merged_entry(known: &Entry, stored: &Entry) -> Option<Entry> {
    let is_same = known.token == stored.token;
    match (&known.outcome, &stored.outcome) {
        (_, Some(Outcome::Done { .. })) => None,
        (Some(Outcome::Done { .. }), _) | (None, Some(Outcome::NotRun)) => Some(known.clone()),
        (Some(Outcome::NotRun), None) if is_same => Some(known.clone()),
        // Either request may have run, so neither may release the key.
        (None, None) if !is_same => Some(Entry { token: Uuid::nil(), ..stored.clone() }),
        (Some(Outcome::NotRun), _) | (None, None) => None,
    }
}

fn encoded_result_len(entry: &Entry) -> usize {
    match &entry.outcome {
        Some(Outcome::Done { result }) => LENGTH_BYTES + result.len(),
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

    fn loss(&mut self) -> Result<Loss, Unreadable> {
        let era = Era(u64::from_le_bytes(self.array()?));
        let below = u64::from_le_bytes(self.array()?);
        Ok(Loss { era, below })
    }

    fn outcome(&mut self) -> Result<Option<Outcome>, Unreadable> {
        let at = Unreadable { offset: self.offset };
        match self.array::<1>()? {
            [TAG_CLAIMED] => Ok(None),
            [TAG_NOT_RUN] => Ok(Some(Outcome::NotRun)),
            [TAG_DONE] => {
                let len = u32::from_le_bytes(self.array()?) as usize;
                let text = std::str::from_utf8(self.take(len)?).map_err(|_| at)?;
                Ok(Some(Outcome::Done { result: Arc::from(text) }))
            }
            _ => Err(at),
        }
    }
}

/// The stored floor. Keys of slots below it are expired, and their claims are
/// removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Floor {
    /// The lowest slot whose claims are kept.
    pub slot: u64,
    /// The slot below which all buckets have been removed.
    pub swept: u64,
    /// The last loss of the store that was recorded.
    pub loss: Option<Loss>,
}

/// What the store may have lost when its present era began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The era that began.
    pub era: Era,
    /// The slot below which a key that is not found may have been claimed before.
    pub below: u64,
}

impl Floor {
    /// Encodes the stored format.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = [self.slot.to_le_bytes(), self.swept.to_le_bytes()].concat();
        if let Some(Loss { era: Era(era), below }) = self.loss {
            out.extend_from_slice(&era.to_le_bytes());
            out.extend_from_slice(&below.to_le_bytes());
        }
        out
    }
}

impl TryFrom<&[u8]> for Floor {
    type Error = Unreadable;

    fn try_from(bytes: &[u8]) -> Result<Floor, Unreadable> {
        let mut reader = Reader { bytes, offset: 0 };
        let slot = u64::from_le_bytes(reader.array()?);
        let swept = u64::from_le_bytes(reader.array()?);
        // An earlier release stored no loss.
        let loss = if reader.offset < bytes.len() { Some(reader.loss()?) } else { None };
        Ok(Floor { slot, swept, loss })
    }
}
