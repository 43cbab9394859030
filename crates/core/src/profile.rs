//! Profiles: the required coverage and latency of answers and their limits.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::name::Name;

/// The whole of a quantity that is stated in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// The longest deadline that a profile may set.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// The highest concurrency per VM that a profile may set.
pub const MAX_CONCURRENCY: u32 = 100_000;

/// The highest priority; a larger number gets a larger share of the slots.
pub const MAX_PRIORITY: u32 = 100;

/// A validated profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Raw", into = "Raw")]
pub struct Profile {
    /// The team that owns the profile.
    pub team: Name,
    /// The index that its queries search.
    pub index: Name,
    /// The minimum coverage of an answer, in parts per million of the key space.
    pub coverage: u32,
    /// The time within which a request is answered or refused.
    pub deadline: Duration,
    /// The time within which 99 of 100 answers should be given; hedging aims at it.
    pub tail: Duration,
    /// The allowed hedges and retries, in parts per million of first attempts.
    pub extra_load: u32,
    /// The maximum number of its requests that are open at one VM.
    pub concurrency: u32,
    /// The weight of its share of the slots under overload.
    pub priority: u32,
    /// Whether a search that was not answered recently is tried at one shard
    /// before it is sent to all, so that a search which crashes targets crashes
    /// only a few.
    pub canary: bool,
}

/// A profile as written in a document, before it is validated.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// See [`Profile::team`].
    pub team: String,
    /// See [`Profile::index`].
    pub index: String,
    /// See [`Profile::coverage`].
    pub coverage_ppm: u32,
    /// See [`Profile::deadline`].
    #[serde(rename = "deadline_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub deadline: Duration,
    /// See [`Profile::tail`].
    #[serde(rename = "tail_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub tail: Duration,
    /// See [`Profile::extra_load`].
    pub extra_load_ppm: u32,
    /// See [`Profile::concurrency`].
    pub concurrency: u32,
    /// See [`Profile::priority`].
    pub priority: u32,
    /// See [`Profile::canary`].
    #[serde(default = "default_canary")]
    pub canary: bool,
}

/// The default of [`Profile::canary`].
pub fn default_canary() -> bool {
    true
}

/// The error for an invalid value in a profile.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The key at fault.
    pub key: &'static str,
    /// The value that was found and the allowed values.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.detail)
    }
}

impl std::error::Error for Error {}

impl TryFrom<Raw> for Profile {
    type Error = Error;

    fn try_from(raw: Raw) -> Result<Profile, Error> {
        let name = |key, text: String| {
            Name::try_from(text).map_err(|e| Error { key, detail: e.to_string() })
        };
        check_range("coverage_ppm", u128::from(raw.coverage_ppm), 0, u128::from(WHOLE_PPM))?;
        check_range("deadline_ms", raw.deadline.as_millis(), 1, MAX_DEADLINE.as_millis())?;
        check_range("tail_ms", raw.tail.as_millis(), 1, raw.deadline.as_millis())?;
        check_range("extra_load_ppm", u128::from(raw.extra_load_ppm), 0, u128::from(WHOLE_PPM))?;
        check_range("concurrency", u128::from(raw.concurrency), 1, u128::from(MAX_CONCURRENCY))?;
        check_range("priority", u128::from(raw.priority), 1, u128::from(MAX_PRIORITY))?;
        Ok(Profile {
            team: name("team", raw.team)?,
            index: name("index", raw.index)?,
            coverage: raw.coverage_ppm,
            deadline: raw.deadline,
            tail: raw.tail,
            extra_load: raw.extra_load_ppm,
            concurrency: raw.concurrency,
            priority: raw.priority,
            canary: raw.canary,
        })
    }
}

impl From<Profile> for Raw {
    fn from(profile: Profile) -> Raw {
        Raw {
            team: profile.team.into(),
            index: profile.index.into(),
            coverage_ppm: profile.coverage,
            deadline: profile.deadline,
            tail: profile.tail,
            extra_load_ppm: profile.extra_load,
            concurrency: profile.concurrency,
            priority: profile.priority,
            canary: profile.canary,
        }
    }
}

fn check_range(key: &'static str, found: u128, least: u128, most: u128) -> Result<(), Error> {
    if (least..=most).contains(&found) {
        return Ok(());
    }
    Err(Error { key, detail: format!("found {found}, allowed are {least} to {most}") })
}

/// The number of a published document; a higher one replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// All profiles of a deployment under one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The revision, or zero if no document has been published.
    pub revision: Revision,
    pub profiles: BTreeMap<Name, Profile>,
}
