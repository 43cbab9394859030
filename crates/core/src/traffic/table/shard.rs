//! Shards with their targets, and the queues of those that this thread serves
//! as home.

use std::collections::{BTreeMap, BTreeSet};

use crate::{id, message::HeldRange, name::Name, time::Instant};

/// By how much a job of priority one advances the virtual time of its profile.
const STRIDE: u64 = 1 << 20;

/// Identifies a shard among all indexes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    pub index: Name,
    /// The name of the shard within the index.
    pub shard: Name,
}

/// A position in the queue, ordered by virtual time and then by leg id.
pub type QueuePosition = (u64, id::Leg);

/// A shard and the jobs that wait for one of its targets.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    pub targets: BTreeSet<Name>,
    /// Whether this thread is the first home of the shard.
    pub home: bool,
    /// The waiting jobs, in the order in which they are started.
    pub queue: BTreeSet<QueuePosition>,
    /// The highest virtual time of a job that was started.
    pub virtual_time: u64,
    /// The virtual time of the last queued job of each profile.
    pub tags: BTreeMap<Name, u64>,
    /// The holdings that were last advertised.
    pub advertised: Vec<HeldRange>,
    /// When this thread last queued a leg for the shard.
    pub last_used: Instant,
}

impl Shard {
    /// Queues a job and returns its position.
    ///
    /// Each profile's jobs are spaced by the inverse of its priority, so that
    /// profiles share the slots in the ratio of their priorities and one with
    /// few jobs does not wait behind one with many.
    pub fn enqueue(&mut self, leg: id::Leg, profile: &Name, priority: u32) -> QueuePosition {
        let tag = self.tag(profile, priority);
        self.tags.insert(profile.clone(), tag);
        let position = (tag, leg);
        self.queue.insert(position);
        position
    }

    /// The number of waiting jobs that are ahead of a new job of a profile.
    pub fn ahead(&self, profile: &Name, priority: u32) -> usize {
        if self.queue.is_empty() {
            return 0;
        }
        let tag = self.tag(profile, priority);
        self.queue.iter().take_while(|(own, _)| *own <= tag).count()
    }

    /// The virtual time at which a new job of a profile is queued.
    fn tag(&self, profile: &Name, priority: u32) -> u64 {
        let last = self.tags.get(profile).copied().unwrap_or(0);
        last.max(self.virtual_time) + STRIDE / u64::from(priority.max(1))
    }

    /// Puts a job that was started before back at the head of the queue.
    pub fn requeue(&mut self, leg: id::Leg) -> QueuePosition {
        let position = (self.virtual_time, leg);
        self.queue.insert(position);
        position
    }

    /// Removes a job that is started from the queue.
    pub fn dequeue(&mut self, position: QueuePosition) {
        self.queue.remove(&position);
        self.virtual_time = self.virtual_time.max(position.0);
        if self.queue.is_empty() {
            self.tags.clear();
        }
    }
}
