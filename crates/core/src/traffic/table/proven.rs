//! Searches that were answered lately, so that they crash no target.

use std::collections::BTreeMap;

use crate::{digest::Fingerprint, target::Version};

/// The number of searches that are remembered.
const MOST: usize = 16_384;

/// The fingerprints of searches with the version at which each was answered.
#[derive(Clone, Debug, Default)]
pub struct Proven {
    rows: BTreeMap<Fingerprint, (Version, u64)>,
    order: BTreeMap<u64, Fingerprint>,
    last: u64,
}

impl Proven {
    /// Remembers that a search was answered and forgets the oldest ones.
    pub fn insert(&mut self, fingerprint: Fingerprint, version: Version) {
        self.last += 1;
        if let Some((_, place)) = self.rows.insert(fingerprint, (version, self.last)) {
            self.order.remove(&place);
        }
        self.order.insert(self.last, fingerprint);
        if self.rows.len() > MOST
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.rows.remove(&oldest);
        }
    }

    /// Whether the search was answered at this version.
    pub fn contains(&self, fingerprint: Fingerprint, version: Version) -> bool {
        self.rows.get(&fingerprint).is_some_and(|(own, _)| *own == version)
    }
}
