//! Tests of key sets and of the traffic decisions, in a simulated deployment
//! without sockets and clocks.

#[macro_use]
mod case;
#[allow(dead_code, reason = "each test crate uses a part of the world")]
#[path = "../world/mod.rs"]
mod world;
mod key;
mod route;
mod search;
mod traffic_load;
mod traffic_share;
mod operation;
mod found;
mod planted;
