//! Tests of the claims engine: several engines with stand-ins at the borders.

#[macro_use]
#[path = "../rules/case.rs"]
mod case;
mod fault;
mod fuzz;
mod oracle;
mod rate;
mod rule;
mod store;
mod world;
