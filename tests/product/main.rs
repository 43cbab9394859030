//! Tests of what surrounds the decisions: settings, logs, metrics, the command
//! line and the pages that list them.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod bed;
mod cli;
mod deployment;
mod event;
mod help;
mod limits;
mod log;
mod metric;
mod operator;
mod page;
mod settings;
mod walk;
