//! Fingerprints of requests that crashed targets.

use std::collections::{BTreeMap, BTreeSet};

use crate::{digest::Fingerprint, id::Origin, name::Name, time::Instant};

/// A fingerprint whose request was lost with a target.
#[derive(Clone, Debug)]
pub struct Suspicion {
    /// The targets that were lost.
    pub targets: BTreeSet<Name>,
    /// The thread that reported the first one.
    pub origin: Origin,
    /// When it is forgotten.
    pub until: Instant,
}

/// A fingerprint that is held back.
#[derive(Clone, Copy, Debug)]
pub struct Condemned {
    /// The thread that reported it.
    pub origin: Origin,
    /// When it is forgotten.
    pub until: Instant,
}

/// Fingerprints of requests that crashed targets.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// Fingerprints with one lost target.
    pub suspects: BTreeMap<Fingerprint, Suspicion>,
    /// Fingerprints that are held back.
    pub condemned: BTreeMap<Fingerprint, Condemned>,
}

impl Quarantine {
    /// The earliest time at which a row is forgotten.
    pub fn next(&self) -> Option<Instant> {
        let suspects = self.suspects.values().map(|row| row.until);
        suspects.chain(self.condemned.values().map(|row| row.until)).min()
    }
}
