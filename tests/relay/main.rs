//! Tests of the relay as a process of its own, against a store and targets that
//! speak the platform's protocol.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod harness;
mod entry;
#[path = "../process/child.rs"]
mod child;
#[path = "../process/port.rs"]
mod port;
#[path = "../../platform/tests/standin/mod.rs"]
mod standin;
mod store;
mod handover;
mod limit;
mod crash;
mod cut;
mod notice;
mod outage;
mod path;
mod raw;
mod fleet;
mod restore;
mod settings;
mod status;
mod threads;
