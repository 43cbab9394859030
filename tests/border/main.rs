//! Tests of the borders: each client against the stand-in of its service.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod service;
mod platform;
mod platform_faults;
mod platform_system;
