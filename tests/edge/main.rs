//! Tests of the input and output around the decision logic, over loopback
//! sockets: the client of targets, the stand-in target and the streams between
//! VMs.

#[macro_use]
mod case;
mod border;
mod fault;
mod harness;
mod limit;
mod codec;
mod wire;
mod ready;
