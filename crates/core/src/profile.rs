//! Profiles: how complete, how fast and how costly an answer may be.

use std::{collections::BTreeMap, fmt, time::Duration};

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::name::Name;

/// A whole, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// The longest deadline that a profile may state.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// The highest concurrency that a profile may state for one VM.
pub const MAX_CONCURRENCY: u32 = 100_000;

/// The highest priority; a larger number is served more.
pub const MAX_PRIORITY: u32 = 100;

/// A checked profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(try_from = "Raw", into = "Raw")]
pub struct Profile {
    /// The team that owns the profile.
    pub team: Name,
    /// The index that its queries search.
    pub index: Name,
    /// The least coverage of an answer, in parts per million of the key space.
    pub coverage: u32,
    /// The time within which an answer is given.
    pub deadline: Duration,
    /// The time within which 99 of 100 answers should be given; hedging aims at
    /// it.
    pub tail: Duration,
    /// The attempts allowed beyond the first, in parts per million of first
    /// attempts.
    pub extra_load: u32,
    /// The number of its requests that one VM has open at a time.
    pub concurrency: u32,
    /// Its share of the slots relative to other profiles under overload.
    pub priority: u32,
    /// Whether a search that was not answered lately is tried at one shard
    /// before it goes to all, so that one which crashes targets crashes few.
    pub canary: bool,
}

/// A profile as it stands in a document, before it is checked.
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

/// The value of [`Profile::canary`] where a profile states none.
pub fn default_canary() -> bool {
    true
}

/// Why a raw profile was refused: the key at fault and what is allowed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The key at fault.
    pub key: &'static str,
    /// What was found and what is allowed.
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
        within("coverage_ppm", u128::from(raw.coverage_ppm), 0, u128::from(WHOLE_PPM))?;
        within("deadline_ms", raw.deadline.as_millis(), 1, MAX_DEADLINE.as_millis())?;
        within("tail_ms", raw.tail.as_millis(), 1, raw.deadline.as_millis())?;
        within("extra_load_ppm", u128::from(raw.extra_load_ppm), 0, u128::from(WHOLE_PPM))?;
        within("concurrency", u128::from(raw.concurrency), 1, u128::from(MAX_CONCURRENCY))?;
        within("priority", u128::from(raw.priority), 1, u128::from(MAX_PRIORITY))?;
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

fn within(key: &'static str, found: u128, least: u128, most: u128) -> Result<(), Error> {
    if (least..=most).contains(&found) {
        return Ok(());
    }
    Err(Error { key, detail: format!("found {found}, allowed are {least} to {most}") })
}

/// The number of a published configuration; a higher one replaces a lower one.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Revision(pub u64);

/// All profiles of a deployment under one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The revision of the document; zero means that none was published yet.
    pub revision: Revision,
    /// The profiles by name.
    pub profiles: BTreeMap<Name, Profile>,
}
