//! An in-memory stand-in for the platform's key-value store.

use std::collections::{BTreeMap, VecDeque};

use laburnum_core::store::{Call, Entry, Era, Position, Reply, Version};

/// How the store handles one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Handling {
    /// The call takes effect and is answered.
    Normal,
    /// The call is refused without effect.
    Refused,
    /// The call has no effect and is not answered.
    Dropped,
    /// The call takes effect but the answer is lost.
    AnswerLost,
    /// The answer is lost, and the call takes effect this many microseconds later.
    EffectLater(u64),
    /// The call takes effect, and the answer comes this many microseconds later.
    AnswerLater(u64),
}

/// How the store handles calls that have no handling of their own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Up,
    Refusing,
    Silent,
    LosingAnswers,
    /// Every call takes this many additional microseconds.
    Slow(u64),
}

/// Counts of the calls that were handled as `Normal`, and of the bytes in their
/// writes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Calls {
    pub reads: u64,
    pub writes: u64,
    pub bytes: u64,
}

/// The values of a store by key.
pub type Values = BTreeMap<String, (Version, Vec<u8>)>;

/// The store. A removed key starts over at version one, which is the hardest
/// case that the interface allows: an old version may match again.
pub struct Store {
    pub values: Values,
    /// The era that all answers state.
    pub era: Era,
    pub mode: Mode,
    /// How the next writes are handled, which overrides `mode`.
    pub next_writes: VecDeque<Handling>,
    /// How the next reads are handled, which overrides `mode`.
    pub next_reads: VecDeque<Handling>,
    pub calls: Calls,
}

impl Store {
    pub fn new() -> Store {
        Store {
            values: BTreeMap::new(),
            era: Era(1),
            mode: Mode::Up,
            next_writes: VecDeque::new(),
            next_reads: VecDeque::new(),
            calls: Calls::default(),
        }
    }

    /// Replaces all values by those of an earlier copy, as a store does that comes back
    /// from it, and gives the versions since then out again in the next era.
    pub fn restore(&mut self, copy: Values) {
        self.restore_in(copy, Era(self.era.0 + 1));
    }

    /// Comes back from a copy in any era, as a store does that counts its eras anew.
    pub fn restore_in(&mut self, copy: Values, era: Era) {
        self.values = copy;
        self.era = era;
    }

    fn position(&self, change: u64) -> Position {
        Position { era: self.era, change }
    }

    /// Returns how a call that is made now is handled.
    pub fn handling(&mut self, call: &Call) -> Handling {
        let next = if is_write(call) { &mut self.next_writes } else { &mut self.next_reads };
        if let Some(handling) = next.pop_front() {
            return handling;
        }
        match self.mode {
            Mode::Up | Mode::Slow(_) => Handling::Normal,
            Mode::Refusing => Handling::Refused,
            Mode::Silent => Handling::Dropped,
            Mode::LosingAnswers => Handling::AnswerLost,
        }
    }

    pub fn count(&mut self, call: &Call) {
        match call {
            Call::Swap { value, .. } => {
                self.calls.writes += 1;
                self.calls.bytes += value.len() as u64;
            }
            Call::Remove { .. } => self.calls.writes += 1,
            _ => self.calls.reads += 1,
        }
    }

    /// Applies a call and returns the reply.
    pub fn apply(&mut self, call: Call) -> Reply {
        match call {
            Call::Get { key } => {
                Reply::Value { entry: self.entry(&key), position: self.position(0) }
            }
            Call::Scan { prefix } => {
                let keys = self.values.keys().filter(|key| key.starts_with(&prefix));
                let entries = keys.filter_map(|key| self.entry(key)).collect();
                Reply::Entries { entries, position: self.position(0) }
            }
            Call::Swap { key, expect, value, .. } => self.swap(key, expect, value),
            Call::Remove { key, expect } => self.remove(&key, expect),
            other => panic!("claims never make the call {other:?}"),
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let (version, value) = self.values.get(key)?;
        let version = Version(self.position(version.0.change));
        Some(Entry { key: key.to_owned(), version, value: value.clone() })
    }

    fn swap(&mut self, key: String, expect: Option<Version>, value: Vec<u8>) -> Reply {
        let current = self.entry(&key);
        if current.as_ref().map(change) != expect.map(|version| version.0.change) {
            return Reply::Conflict { current };
        }
        let version = Version(self.position(expect.map_or(1, |version| version.0.change + 1)));
        self.values.insert(key, (version, value));
        Reply::Swapped { version }
    }

    fn remove(&mut self, key: &str, expect: Version) -> Reply {
        let current = self.entry(key);
        if current.as_ref().map(change) != Some(expect.0.change) {
            return Reply::Conflict { current };
        }
        self.values.remove(key);
        Reply::Removed
    }
}

/// The number of the change that wrote an entry, which is all that the store compares.
fn change(entry: &Entry) -> u64 {
    entry.version.0.change
}

pub fn is_write(call: &Call) -> bool {
    matches!(call, Call::Swap { .. } | Call::Remove { .. })
}
