//! What the shards of each index hold, as their homes advertise it to this
//! entry.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use crate::{
    key::{Range, Set},
    message::HeldRange,
    name::Name,
    target::Version,
    time::Instant,
    traffic::table::Latency,
    view::Lane,
};

/// The number of replicas from which on more do not make a version preferable.
const ENOUGH_REPLICAS: u32 = 2;

/// The shards of an index and the plan that new queries use.
#[derive(Clone, Debug, Default)]
pub struct Index {
    pub shards: BTreeMap<Name, Holding>,
    /// The latency of attempts of this thread over all targets of the index.
    pub latency: Latency,
    /// The plan for new queries, or none while no shard holds anything.
    pub best: Option<Arc<Plan>>,
}

/// What a shard holds, and the homes that serve it.
#[derive(Clone, Debug, Default)]
pub struct Holding {
    pub ranges: Vec<HeldRange>,
    /// The lanes of the homes, in order of preference.
    pub lanes: Vec<Lane>,
    /// The last reported wait for a slot, by profile.
    pub backlogs: BTreeMap<Name, Backlog>,
}

/// The wait for a slot as a home last reported it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// The expected wait at the time `received`.
    pub wait: Duration,
    pub received: Instant,
}

impl Holding {
    /// The time that a leg of a profile which is sent at `now` is expected to
    /// wait for a slot: the last reported wait less the time since then.
    pub fn wait(&self, profile: &Name, now: Instant) -> Duration {
        let backlog = self.backlogs.get(profile).copied().unwrap_or_default();
        backlog.wait.saturating_sub(now.since(backlog.received))
    }
}

/// How to read the key space at one version: disjoint ranges, each with the
/// shard to read it from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    pub version: Version,
    /// The parts, ordered by shard name.
    pub parts: Vec<Part>,
    /// The union of the ranges of all parts.
    pub covered: Set,
}

/// A part of a plan: a range to read from a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    pub shard: Name,
    pub range: Range,
}

impl Index {
    /// Recomputes the plan for new queries.
    ///
    /// Versions are ranked by the share of the key space that they cover, then
    /// by the replicas of their least replicated range, of which only the first
    /// `ENOUGH_REPLICAS` count, then newest first. Coverage comes first because
    /// a newer version that is not loaded everywhere would make answers partial
    /// without need.
    pub fn choose_plan(&mut self) {
        let mut versions: BTreeMap<Version, u32> = BTreeMap::new();
        for held in self.shards.values().flat_map(|holding| &holding.ranges) {
            let least = versions.entry(held.version).or_insert(ENOUGH_REPLICAS);
            *least = (*least).min(held.replicas);
        }
        let everything = Set::from_range(Range::ALL);
        self.best = versions
            .into_iter()
            .map(|(version, replicas)| (self.plan(version, &everything), replicas))
            .max_by_key(|(plan, replicas)| (plan.covered.size(), *replicas, plan.version))
            .map(|(plan, _)| Arc::new(plan));
    }

    /// Plans how to read the keys of `wanted` at `version`. Keys that no shard
    /// holds at this version are left out.
    pub fn plan(&self, version: Version, wanted: &Set) -> Plan {
        let mut rest = wanted.clone();
        let mut plan = Plan { version, parts: Vec::new(), covered: Set::new() };
        for (shard, holding) in &self.shards {
            for held in holding.ranges.iter().filter(|held| held.version == version) {
                for &range in rest.intersection(held.range).ranges() {
                    plan.parts.push(Part { shard: shard.clone(), range });
                    plan.covered.insert(range);
                    rest.remove(range);
                }
            }
        }
        plan
    }

    /// The shard that holds `key` at the version that new queries use, if any.
    pub fn shard_of(&self, key: u64) -> Option<&Name> {
        let plan = self.best.as_ref()?;
        plan.parts.iter().find(|part| part.range.contains(key)).map(|part| &part.shard)
    }
}
