//! Tests of the HTTP fronts over loopback sockets, with the threads behind them
//! answered by the cases.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod bed;
mod callers;
mod input;
mod limit;
mod operators;
mod random;
