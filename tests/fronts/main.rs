//! Tests of the HTTP fronts over loopback sockets. The cases act as the traffic and
//! control threads behind the fronts.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod access;
mod fixture;
mod callers;
mod operator_front;
mod document;
mod input;
mod limit;
mod operators;
mod random;
