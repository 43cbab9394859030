//! The load tool: sends open-loop queries with seeded arrivals to a deployment in
//! this process or to a running one, and reports the outcomes.
//!
//! Latency counts from the intended start of a query, so that a late sender cannot
//! hide waiting time (coordinated omission). `docs/MEASUREMENTS.md` holds the
//! results, `docs/design/homes.md` the conclusions.

pub mod arrival;
pub mod check;
pub mod cost;
pub mod driver;
pub mod measurement;
pub mod process;
pub mod report;
pub mod scenario;
pub mod scene;
pub mod scheme;
pub mod sample;
pub mod testbed;

use std::fmt;

/// The error that ended a measurement early.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    /// The description of the failed step.
    pub detail: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.detail)
    }
}

impl std::error::Error for Error {}

impl Error {
    /// Makes an error from a description of the failed step.
    pub fn new(detail: impl Into<String>) -> Error {
        Error { detail: detail.into() }
    }
}
