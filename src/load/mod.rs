//! The load tool: open-loop queries with seeded arrivals against a deployment
//! in this process or a running one, and what came of them.
//!
//! A latency counts from the time at which its query was meant to start, so a
//! late sender cannot hide a wait (coordinated omission). `docs/MEASUREMENTS.md`
//! holds the results, `docs/design/homes.md` what follows from them.

pub mod arrival;
pub mod bed;
pub mod check;
pub mod cost;
pub mod driver;
pub mod measurement;
pub mod processor;
pub mod report;
pub mod scenario;
pub mod scene;
pub mod scheme;
pub mod sample;

use std::fmt;

/// Why a measurement ended early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// What did not work.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Makes an error from what did not work.
    pub fn new(detail: impl Into<String>) -> Error {
        Error { detail: detail.into() }
    }
}
