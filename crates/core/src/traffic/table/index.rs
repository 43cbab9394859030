//! What the shards of an index hold, as their homes told this entry.

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

/// The number of replicas beyond which more do not make a version preferable.
const ENOUGH_REPLICAS: u32 = 2;

/// An index.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// The shards by name.
    pub shards: BTreeMap<Name, Holding>,
    /// How long the answers of all its targets take that this thread asks.
    pub latency: Latency,
    /// The plan for new queries, or none while no shard holds anything.
    pub best: Option<Arc<Plan>>,
}

/// What a shard holds and where its homes are.
#[derive(Clone, Debug, Default)]
pub struct Holding {
    /// The ranges by version.
    pub ranges: Vec<HeldRange>,
    /// The lanes of its homes, best first.
    pub lanes: Vec<Lane>,
    /// What was last heard of the wait of each profile.
    pub backlogs: BTreeMap<Name, Backlog>,
}

/// The wait for a slot as a home told it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// The wait at `heard`.
    pub wait: Duration,
    /// When it was heard of.
    pub heard: Instant,
}

impl Holding {
    /// The wait for a slot that a leg of a profile is expected to have at `now`.
    pub fn wait(&self, profile: &Name, now: Instant) -> Duration {
        let backlog = self.backlogs.get(profile).copied().unwrap_or_default();
        backlog.wait.saturating_sub(now.since(backlog.heard))
    }
}

/// Disjoint parts of the key space at one version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The version.
    pub version: Version,
    /// The parts, in the order of the shards.
    pub parts: Vec<Part>,
    /// The keys that the parts cover.
    pub covered: Set,
}

/// A part of a plan: a range to ask of a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The shard.
    pub shard: Name,
    /// The range.
    pub range: Range,
}

impl Index {
    /// Computes the plan for new queries again.
    ///
    /// A version is better the more of the key space it covers, then if each of
    /// its ranges is held by enough replicas, then if it is newer. Coverage goes
    /// first because a newer version that is not loaded everywhere would make
    /// answers partial without need.
    pub fn choose(&mut self) {
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

    /// Plans how to read the keys of `wanted` at `version`.
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

    /// The shard that holds `key` at the version that new queries use.
    pub fn shard_of(&self, key: u64) -> Option<&Name> {
        let plan = self.best.as_ref()?;
        plan.parts.iter().find(|part| part.range.contains(key)).map(|part| &part.shard)
    }
}
