//! Tests of the client of the platform's service against the service's stand-in,
//! and of the decisions of the stand-in.

#[macro_use]
#[path = "../common/case.rs"]
mod case;
mod service;
mod platform;
mod platform_faults;
mod platform_restore;
mod platform_system;
