//! The key under which equal searches share an attempt.

use crate::{
    digest::Fingerprint,
    key::Range,
    target::{Version, Work},
    traffic::table::{Job, shard},
};

/// What two legs must have in common to share an attempt: the shard, the
/// request, the version and the range.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    shard: shard::Key,
    fingerprint: Fingerprint,
    version: Version,
    range: Range,
}

impl Key {
    /// The key of a search's job, or none for an operation, which never shares
    /// an attempt.
    pub fn of(job: &Job) -> Option<Key> {
        let Work::Search { version, range, .. } = job.leg.work else { return None };
        Some(Key { shard: job.shard.clone(), fingerprint: job.leg.fingerprint, version, range })
    }
}
