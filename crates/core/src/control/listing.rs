//! VMs and targets as operators see them: their state, since when, and who said
//! so.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request::Source;
use crate::view;

/// A VM as `vm list` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM.
    pub vm: view::Vm,
    /// Whether it is gone.
    pub gone: bool,
    /// How long it has been in its state.
    pub since: Duration,
    /// Who said so.
    pub source: Source,
}

/// A target as `target list` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// The target.
    pub target: view::Target,
    /// How long it has been in its state.
    pub since: Duration,
    /// Who said so.
    pub source: Source,
}
