//! Tests of the decisions, without sockets and clocks.

#[macro_use]
mod case;
mod key;
