//! Searches that were answered recently and so are known not to crash targets.

use std::collections::BTreeMap;

use crate::{digest::Fingerprint, target::Version};

/// The number of searches to remember.
const MAX_SEARCHES: usize = 16_384;

/// The fingerprints of searches, each with the snapshot version at which it was
/// answered last.
#[derive(Clone, Debug, Default)]
pub struct Answered {
    rows: BTreeMap<Fingerprint, (Version, u64)>,
    order: BTreeMap<u64, Fingerprint>,
    last: u64,
}

impl Answered {
    /// Records that a search was answered and evicts the oldest entry when the
    /// table is full.
    pub fn insert(&mut self, fingerprint: Fingerprint, version: Version) {
        self.last += 1;
        if let Some((_, position)) = self.rows.insert(fingerprint, (version, self.last)) {
            self.order.remove(&position);
        }
        self.order.insert(self.last, fingerprint);
        if self.rows.len() > MAX_SEARCHES
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.rows.remove(&oldest);
        }
    }

    /// Whether the search was answered at this version when it was last
    /// recorded.
    pub fn contains(&self, fingerprint: Fingerprint, version: Version) -> bool {
        self.rows.get(&fingerprint).is_some_and(|(own, _)| *own == version)
    }
}
