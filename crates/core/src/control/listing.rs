//! VMs and targets as operators see them: their state, how long they have had
//! it, and where it was learnt.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::request::Source;
use crate::view;

/// A VM as `vm list` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    pub vm: view::Vm,
    /// Whether the VM is gone; `vm` then shows it as suspect.
    pub gone: bool,
    /// How long it has been in its state.
    pub since: Duration,
    /// Where its state was learnt.
    pub source: Source,
}

/// A target as `target list` shows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    pub target: view::Target,
    /// How long it has been in its state.
    pub since: Duration,
    /// Where its state was learnt.
    pub source: Source,
}
