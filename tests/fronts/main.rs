//! Tests of the HTTP fronts over loopback sockets, with the threads behind them
//! answered by the cases.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod access;
mod bed;
mod callers;
mod desk;
mod document;
mod input;
mod limit;
mod operators;
mod random;
