//! Tests of whole deployments: the platform, the VMs and the targets each run as
//! a separate process and receive real signals.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod answer;
mod deployment;
mod child;
mod load;
mod operation;
mod part;
mod port;
mod unused;
mod runner;
mod invariant;

mod path;
mod vm;
mod store;
mod target;
mod poison;
mod publish;
