//! Tests of the decisions, without sockets and clocks.

#[macro_use]
mod case;
#[path = "../world/mod.rs"]
mod world;
mod key;
mod search;
mod traffic_load;
mod operation;
