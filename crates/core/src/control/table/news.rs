//! News that is passed on a bounded number of times.

use std::collections::BTreeMap;

use crate::{digest::Fingerprint, name::Name, time::Instant};

/// What a piece of news is about. The content is read from the other tables
/// when it is sent, so that what is sent is never older than what is known.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    /// A VM.
    Member(Name),
    /// The word of a target.
    Word(Name),
    /// A fingerprint with one lost target.
    Suspect(Fingerprint),
    /// A fingerprint that is held back.
    Condemned(Fingerprint),
}

/// News that is passed on a bounded number of times.
#[derive(Debug, Default)]
pub struct News {
    /// How often each piece was sent.
    pub sent: BTreeMap<Key, u32>,
    /// Whether something was learnt that the next round tells at once.
    pub fresh: bool,
    /// The end of the pause between two rounds.
    pub next: Instant,
}

impl News {
    /// Adds a piece, or starts to count anew if it is passed on already.
    pub fn add(&mut self, key: Key) {
        self.sent.insert(key, 0);
        self.fresh = true;
    }
}
