//! Tests of what stands at the borders of the decisions: the client of the
//! targets, the stand-in of a target and the messages between VMs, over
//! loopback sockets.

#[macro_use]
mod case;
mod bed;
mod border;
mod fault;
mod limit;
mod codec;
mod wire;
mod ready;
