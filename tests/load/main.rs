//! Tests of the load tool: arrivals, summaries and checks.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod arrival;
mod check;
mod sample;
