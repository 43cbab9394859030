//! The fingerprints of requests that crashed targets.

use std::collections::{BTreeMap, BTreeSet};

use crate::{digest::Fingerprint, id::Origin, name::Name, time::Instant};

/// A fingerprint whose request was running on one or more targets when they were
/// lost.
#[derive(Clone, Debug)]
pub struct Suspicion {
    pub targets: BTreeSet<Name>,
    /// The traffic thread that reported the first lost target.
    pub origin: Origin,
    /// When the row expires.
    pub until: Instant,
}

/// A fingerprint whose requests are refused.
#[derive(Clone, Copy, Debug)]
pub struct Quarantined {
    /// The traffic thread whose report quarantined the fingerprint.
    pub origin: Origin,
    /// When the row expires.
    pub until: Instant,
}

/// The fingerprints of requests that crashed targets.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Fingerprints with too few lost targets for a quarantine.
    pub suspects: BTreeMap<Fingerprint, Suspicion>,
    pub quarantined: BTreeMap<Fingerprint, Quarantined>,
}

impl Quarantine {
    /// The earliest time at which a row expires.
    pub fn next(&self) -> Option<Instant> {
        let suspects = self.suspects.values().map(|row| row.until);
        suspects.chain(self.quarantined.values().map(|row| row.until)).min()
    }
}
