//! The settings of a stand-in target.

use std::{collections::BTreeMap, fmt, time::Duration};

use laburnum_core::{key, target::Version};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMicroSeconds, DurationMilliSeconds, serde_as};

/// The highest number of shards that the key space can be split into.
const MAX_SHARDS: u32 = 1_000_000;

/// The validated settings of a stand-in target.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "Raw")]
pub struct Settings {
    /// The seed of the rows; all replicas of an index have the same one.
    pub seed: u64,
    /// The seed of the service times.
    pub noise: u64,
    /// The number of rows of the whole index.
    pub rows: u64,
    /// The incarnation of the target at its first start; each crash increases it.
    pub incarnation: u64,
    /// The held range of each version.
    pub holds: BTreeMap<Version, key::Range>,
    /// The number of requests that run at a time.
    pub slots: u32,
    /// The number of requests that may wait for a slot; more are shed.
    pub queue: u32,
    /// The number of connections that may be open at a time; more are refused.
    pub connections: u32,
    /// The delay of the first answer on a new connection.
    pub connection_cost: Duration,
    /// The median service time.
    pub service: Duration,
    /// The standard deviation of the logarithm of the service time.
    pub spread: f64,
    /// The share of stragglers, in parts per million.
    pub straggler_ppm: u32,
    /// The factor by which a straggler takes longer.
    pub straggler_factor: f64,
    /// The time after a start during which the target is slower.
    pub cold: Duration,
    /// The factor by which a request takes longer right after a start.
    pub cold_factor: f64,
    /// The age of the reported load.
    pub load_lag: Duration,
    /// Whether a crash ends the process; otherwise the target restarts.
    pub exit_on_crash: bool,
}

/// The settings as written in a file, before validation.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Raw {
    /// See [`Settings::seed`].
    pub seed: u64,
    /// See [`Settings::noise`].
    pub noise: u64,
    /// See [`Settings::rows`].
    pub rows: u64,
    /// See [`Settings::incarnation`].
    pub incarnation: u64,
    /// The held shard, counted from zero.
    pub shard: u32,
    /// The number of equal shards that the key space is split into.
    pub shards: u32,
    /// The versions of the shard that are held.
    pub versions: Vec<u64>,
    /// See [`Settings::slots`].
    pub slots: u32,
    /// See [`Settings::queue`].
    pub queue: u32,
    /// See [`Settings::connections`].
    pub connections: u32,
    /// See [`Settings::connection_cost`].
    #[serde(rename = "connection_cost_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub connection_cost: Duration,
    /// See [`Settings::service`].
    #[serde(rename = "service_us")]
    #[serde_as(as = "DurationMicroSeconds<u64>")]
    pub service: Duration,
    /// See [`Settings::spread`].
    pub spread: f64,
    /// See [`Settings::straggler_ppm`].
    pub straggler_ppm: u32,
    /// See [`Settings::straggler_factor`].
    pub straggler_factor: f64,
    /// See [`Settings::cold`].
    #[serde(rename = "cold_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub cold: Duration,
    /// See [`Settings::cold_factor`].
    pub cold_factor: f64,
    /// See [`Settings::load_lag`].
    #[serde(rename = "load_lag_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_lag: Duration,
    /// See [`Settings::exit_on_crash`].
    pub exit_on_crash: bool,
}

impl Default for Raw {
    fn default() -> Raw {
        Raw {
            seed: 1,
            noise: 1,
            rows: 1_000,
            incarnation: 1,
            shard: 0,
            shards: 1,
            versions: vec![1],
            slots: 2,
            queue: 2,
            connections: 55,
            connection_cost: Duration::from_millis(6),
            service: Duration::from_millis(2),
            spread: 0.3,
            straggler_ppm: 0,
            straggler_factor: 20.0,
            cold: Duration::ZERO,
            cold_factor: 1.0,
            load_lag: Duration::from_secs(1),
            exit_on_crash: false,
        }
    }
}

/// The error for invalid settings: the key and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    pub key: &'static str,
    /// The allowed values.
    pub detail: &'static str,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.detail)
    }
}

impl std::error::Error for Error {}

impl TryFrom<Raw> for Settings {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Settings, Error> {
        check(raw.slots > 0, "slots", "must be at least 1")?;
        check(raw.connections > 0, "connections", "must be at least 1")?;
        check((0.0..=3.0).contains(&raw.spread), "spread", "must be 0 to 3")?;
        check(raw.straggler_ppm <= 1_000_000, "straggler_ppm", "must be at most 1000000")?;
        check(raw.straggler_factor >= 1.0, "straggler_factor", "must be at least 1")?;
        check(raw.cold_factor >= 1.0, "cold_factor", "must be at least 1")?;
        check((1..=MAX_SHARDS).contains(&raw.shards), "shards", "must be 1 to 1000000")?;
        check(raw.shard < raw.shards, "shard", "must be less than shards")?;
        let range = shard_range(raw.shard, raw.shards);
        Ok(Settings {
            seed: raw.seed,
            noise: raw.noise,
            rows: raw.rows,
            incarnation: raw.incarnation,
            holds: raw.versions.iter().map(|&version| (Version(version), range)).collect(),
            slots: raw.slots,
            queue: raw.queue,
            connections: raw.connections,
            connection_cost: raw.connection_cost,
            service: raw.service,
            spread: raw.spread,
            straggler_ppm: raw.straggler_ppm,
            straggler_factor: raw.straggler_factor,
            cold: raw.cold,
            cold_factor: raw.cold_factor,
            load_lag: raw.load_lag,
            exit_on_crash: raw.exit_on_crash,
        })
    }
}

fn check(is_valid: bool, key: &'static str, detail: &'static str) -> Result<(), Error> {
    if is_valid { Ok(()) } else { Err(Error { key, detail }) }
}

/// The range of one of `shards` equal shards of the key space.
///
/// The last shard includes the remainder of the division. A number past the last
/// shard gives the last one.
pub fn shard_range(number: u32, shards: u32) -> key::Range {
    let shards = u64::from(shards.max(1));
    let number = u64::from(number).min(shards - 1);
    let size = u64::MAX / shards;
    let first = number * size;
    let last = if number + 1 == shards { u64::MAX } else { first + (size - 1) };
    key::Range::try_from((first, last)).unwrap_or(key::Range::ALL)
}
