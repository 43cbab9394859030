//! The relay as a process of its own, against a store and targets that speak
//! the platform's protocol.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod bed;
#[path = "../process/child.rs"]
mod child;
mod store;
mod target;
mod path;
mod settings;
