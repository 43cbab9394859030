//! Tests of the claims engine. Several engines run with stand-ins for the store,
//! the network, the clock and the targets.

#[macro_use]
#[path = "../rules/case.rs"]
mod case;
mod drill;
mod epoch;
mod fault;
mod fuzz;
mod oracle;
mod rate;
mod rule;
mod store;
mod world;
