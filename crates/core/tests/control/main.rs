//! Tests of the control engines of several VMs, without sockets and clocks.

#[macro_use]
#[path = "../rules/case.rs"]
mod case;
mod claims;
mod cost;
mod drain;
mod drill;
mod fixture;
mod fuzz;
mod history;
mod membership;
mod network;
mod platform;
mod publication;
mod quarantine;
mod world;
