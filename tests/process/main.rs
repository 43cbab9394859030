//! Tests of whole deployments: the platform, the VMs and the targets are
//! processes of their own, which get real signals.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod answer;
mod bed;
mod child;
mod load;
mod operation;
mod part;
mod port;
mod run;
mod verdict;

mod path;
mod vm;
mod store;
mod target;
mod poison;
mod publish;
