//! Tests of the settings, the log, the metrics, the command line and the docs
//! pages that list them.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod cli;
mod deployment;
mod event;
mod harness;
mod help;
mod limits;
mod log;
mod metric;
mod operator;
mod page;
mod settings;
mod walk;
