//! News that is passed on a bounded number of times.

use std::collections::{BTreeMap, BTreeSet};

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
    sent: BTreeMap<Key, u32>,
    queue: BTreeSet<(u32, Key)>,
    /// Whether something was learnt that the next round tells at once.
    pub fresh: bool,
    /// The end of the pause between two rounds.
    pub next: Instant,
}

impl News {
    /// Adds a piece, or starts to count anew if it is passed on already.
    pub fn add(&mut self, key: Key) {
        self.remove(&key);
        self.queue.insert((0, key.clone()));
        if matches!(key, Key::Suspect(_) | Key::Condemned(_)) {
            // The caller sends such a request again at once, through other VMs.
            self.next = Instant::default();
        }
        self.sent.insert(key, 0);
        self.fresh = true;
    }

    /// Removes a piece.
    pub fn remove(&mut self, key: &Key) {
        if let Some(sent) = self.sent.remove(key) {
            self.queue.remove(&(sent, key.clone()));
        }
    }

    /// Takes up to `count` pieces that were sent least often, and removes those
    /// that were then sent `sends` times.
    pub fn take(&mut self, count: usize, sends: u32) -> Vec<Key> {
        let taken: Vec<(u32, Key)> = self.queue.iter().take(count).cloned().collect();
        for (sent, key) in &taken {
            self.remove(key);
            if sent + 1 < sends {
                self.queue.insert((sent + 1, key.clone()));
                self.sent.insert(key.clone(), sent + 1);
            }
        }
        taken.into_iter().map(|(_, key)| key).collect()
    }

    /// Whether nothing is passed on any more.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
