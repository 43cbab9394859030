//! Shards that this VM serves as home, with their queues.

use std::collections::{BTreeMap, BTreeSet};

use crate::{id, message::HeldRange, name::Name, time::Instant};

/// The advance of a profile's virtual time for one job at priority one.
const STRIDE: u64 = 1 << 20;

/// The key of a shard.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The index.
    pub index: Name,
    /// The shard within the index.
    pub shard: Name,
}

/// A place in the queue: virtual time first, then order of arrival.
pub type Place = (u64, id::Leg);

/// A shard and the jobs that wait for one of its targets.
#[derive(Clone, Debug, Default)]
pub struct Shard {
    /// Its targets.
    pub targets: BTreeSet<Name>,
    /// Whether this VM is the first home of the shard.
    pub home: bool,
    /// The jobs that wait, in the order in which they are started.
    pub queue: BTreeSet<Place>,
    /// The virtual time of the job that was started last.
    pub clock: u64,
    /// The virtual time of the last job of each profile.
    pub tags: BTreeMap<Name, u64>,
    /// What was last told of its holdings.
    pub told: Vec<HeldRange>,
    /// When this VM last served a leg of it.
    pub used: Instant,
}

impl Shard {
    /// Puts a job into the queue and returns its place.
    ///
    /// Each profile's jobs are spaced by the inverse of its priority, so that
    /// profiles share the slots in the ratio of their priorities and one with
    /// few jobs does not wait behind one with many.
    pub fn enqueue(&mut self, leg: id::Leg, profile: &Name, priority: u32) -> Place {
        let tag = self.tag(profile, priority);
        self.tags.insert(profile.clone(), tag);
        let place = (tag, leg);
        self.queue.insert(place);
        place
    }

    /// The jobs that would be started before a new one of a profile.
    pub fn ahead(&self, profile: &Name, priority: u32) -> usize {
        if self.queue.is_empty() {
            return 0;
        }
        let tag = self.tag(profile, priority);
        self.queue.iter().take_while(|(own, _)| *own <= tag).count()
    }

    /// The virtual time of a new job of a profile.
    fn tag(&self, profile: &Name, priority: u32) -> u64 {
        let last = self.tags.get(profile).copied().unwrap_or(0);
        last.max(self.clock) + STRIDE / u64::from(priority.max(1))
    }

    /// Puts a job back to the head of the queue, because it was there before.
    pub fn requeue(&mut self, leg: id::Leg) -> Place {
        let place = (self.clock, leg);
        self.queue.insert(place);
        place
    }

    /// Takes a job out of the queue.
    pub fn dequeue(&mut self, place: Place) {
        self.queue.remove(&place);
        self.clock = self.clock.max(place.0);
        if self.queue.is_empty() {
            self.tags.clear();
        }
    }
}
