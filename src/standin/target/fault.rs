//! The faults of a stand-in target, replaced as a whole while it runs.

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{key, target::Version};
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::table::Load;

/// When a request that crashes its target does so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Moment {
    /// Before it takes effect, as soon as it has a slot.
    Start,
    /// Before it takes effect, after half of its service time.
    Midway,
    /// After it took effect and before its reply.
    After,
}

/// A crash of the target by a marked request.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Crash {
    /// The request's text or detail contains this.
    pub mark: String,
    /// When it crashes.
    pub moment: Moment,
    /// The time until the target takes connections again.
    #[serde(rename = "down_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub down: Duration,
}

/// What is wrong with the replies that are hit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Defect {
    /// The reply ends in its middle.
    Cut,
    /// The reply carries the id of another attempt.
    Crossed,
    /// Each row comes twice.
    Doubled,
    /// A row lies outside of the range that was asked for.
    Outside,
    /// The reply states another version.
    Version,
    /// The reply states another digest.
    Digest,
    /// The request takes a slot and is never answered.
    Mute,
}

/// Which replies are hit and how.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hit {
    /// What is wrong.
    pub wrong: Defect,
    /// The request's text or detail contains this; empty hits all.
    #[serde(default)]
    pub mark: String,
    /// The replies that are hit before the fault ends by itself.
    #[serde(default)]
    pub times: Option<u32>,
}

/// All faults that are in force.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How many times longer each request takes.
    pub slow_factor: f64,
    /// Replaces the share of stragglers.
    pub straggler_ppm: Option<u32>,
    /// Replaces the factor of stragglers.
    pub straggler_factor: Option<f64>,
    /// Every request is shed.
    pub shed: bool,
    /// The target is leaving.
    pub drain: bool,
    /// A marked request crashes the target.
    pub crash: Option<Crash>,
    /// Replies are wrong.
    pub hits: Vec<Hit>,
    /// The connections that are open now never carry a byte again. New ones
    /// work. It is carried out once, when the faults are put in force.
    pub silence: bool,
    /// Replaces the ranges that are held.
    pub holds: Option<BTreeMap<Version, key::Range>>,
    /// Replaces the load that is reported.
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
    /// Tells when a request with this text crashes the target, if it does.
    pub fn crash(&self, text: &str) -> Option<&Crash> {
        self.crash.as_ref().filter(|crash| text.contains(&crash.mark))
    }

    /// Takes the first fault that hits the reply to a request with this text.
    /// `mute` chooses between [`Defect::Mute`] and the others, because a request
    /// becomes mute when it starts and is wrong when it ends.
    pub fn take(&mut self, text: &str, mute: bool) -> Option<Defect> {
        let hit = self.hits.iter_mut().find(|hit| {
            (hit.wrong == Defect::Mute) == mute && hit.times != Some(0) && text.contains(&hit.mark)
        })?;
        hit.times = hit.times.map(|times| times - 1);
        Some(hit.wrong)
    }
}
