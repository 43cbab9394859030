//! The faults of a stand-in target, which are replaced as a whole while it runs.

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{key, target::Version};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::table::Load;

/// The moment at which a request crashes its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Moment {
    /// As soon as it has a slot, before it takes effect.
    Start,
    /// After half of its service time, before it takes effect.
    Midway,
    /// After it took effect, before its reply.
    After,
}

/// A crash of the target that a marked request causes.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// The text that marks a request if its text or detail contains it.
    pub mark: String,
    pub moment: Moment,
    /// The time until the target accepts connections again.
    #[serde(rename = "down_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub down: Duration,
}

/// A defect of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Defect {
    /// The reply breaks off in the middle.
    Cut,
    /// The reply carries the id of another attempt.
    Crossed,
    /// Each row is sent twice.
    Doubled,
    /// A row lies outside of the requested range.
    Outside,
    /// The reply states a wrong version.
    Version,
    /// The reply states a wrong digest.
    Digest,
    /// The request holds its slot and is never answered.
    Mute,
}

/// A defect in the replies to marked requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hit {
    pub wrong: Defect,
    /// The text that marks a request if its text or detail contains it; the empty
    /// text marks all.
    #[serde(default)]
    pub mark: String,
    /// The number of replies after which the fault ends; without it, it has no end.
    #[serde(default)]
    pub times: Option<u32>,
}

/// All faults in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The factor by which each request takes longer.
    pub slow_factor: f64,
    /// Replaces the share of stragglers in the settings.
    pub straggler_ppm: Option<u32>,
    /// Replaces the factor of stragglers in the settings.
    pub straggler_factor: Option<f64>,
    /// Whether every request is shed.
    pub shed: bool,
    /// Whether the target is draining.
    pub drain: bool,
    /// The crash that a marked request causes.
    pub crash: Option<Crash>,
    /// The defects of replies; the first that matches a request applies.
    pub hits: Vec<Hit>,
    /// Silences the open connections: they stay open and carry no more bytes. This
    /// is done once, when the faults are set; new connections work.
    pub silence: bool,
    /// Replaces the held ranges.
    pub holds: Option<BTreeMap<Version, key::Range>>,
    /// Replaces the reported load.
    pub load: Option<Load>,
}

impl Default for Faults {
    fn default() -> Faults {
        Faults {
            slow_factor: 1.0,
            straggler_ppm: None,
            straggler_factor: None,
            shed: false,
            drain: false,
            crash: None,
            hits: Vec::new(),
            silence: false,
            holds: None,
            load: None,
        }
    }
}

impl Faults {
    /// The crash that a request with this text causes, if any.
    pub fn crash_for(&self, text: &str) -> Option<&Crash> {
        self.crash.as_ref().filter(|crash| text.contains(&crash.mark))
    }

    /// Takes the first defect for a request with this text and counts it as used.
    ///
    /// `mute` selects [`Defect::Mute`], which applies when a request starts, or else
    /// the other defects, which apply when it ends.
    pub fn take_defect(&mut self, text: &str, mute: bool) -> Option<Defect> {
        let hit = self.hits.iter_mut().find(|hit| {
            (hit.wrong == Defect::Mute) == mute && hit.times != Some(0) && text.contains(&hit.mark)
        })?;
        hit.times = hit.times.map(|times| times - 1);
        Some(hit.wrong)
    }
}
