//! Tests of the input and output around the decision logic, over loopback
//! sockets: the client of targets, the stand-in target and the streams between
//! VMs.

#[macro_use]
mod case;
// Shared with the crowds, which use all of it.
#[allow(dead_code)]
#[path = "../crowd/flood.rs"]
mod flood;
#[path = "../crowd/frames.rs"]
mod frames;
mod endless;
mod frame;
mod meter;
mod peer;
mod border;
mod fault;
mod harness;
mod limit;
mod codec;
mod wire;
mod ready;
mod room;
