//! State changes to pass on to other VMs, each a bounded number of times.

use std::collections::{BTreeMap, BTreeSet};

use crate::{digest::Fingerprint, name::Name, time::Instant};

/// The row that changed. Its content is read from the other tables when it is
/// sent, so that an outdated state is never sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Key {
    Member(Name),
    /// The last announcement of a target.
    Announcement(Name),
    /// A fingerprint with too few lost targets for a quarantine.
    Suspect(Fingerprint),
    Quarantined(Fingerprint),
}

/// The state changes to pass on to other VMs.
#[derive(Debug, Default)]
pub struct Gossip {
    sent: BTreeMap<Key, u32>,
    queue: BTreeSet<(u32, Key)>,
    /// Whether something changed since the last round.
    pub has_new: bool,
    /// The earliest time of the next round.
    pub next_round: Instant,
}

impl Gossip {
    /// Adds a change. If it is in the table already, its count of sends starts
    /// over.
    pub fn add(&mut self, key: Key) {
        self.remove(&key);
        self.queue.insert((0, key.clone()));
        if matches!(key, Key::Suspect(_) | Key::Quarantined(_)) {
            // The next round is due at once, because a caller resends such a
            // request at once, through other VMs.
            self.next_round = Instant::default();
        }
        self.sent.insert(key, 0);
        self.has_new = true;
    }

    /// Removes a change, which is then no longer passed on.
    pub fn remove(&mut self, key: &Key) {
        if let Some(sent) = self.sent.remove(key) {
            self.queue.remove(&(sent, key.clone()));
        }
    }

    /// Returns up to `count` changes that were sent least often and counts them
    /// as sent. Changes that were sent `sends` times are removed.
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

    /// Whether there is no change left to pass on.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }
}
