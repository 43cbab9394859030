//! Stateful fuzzing of several VMs against an oracle that knows only the
//! promises. See `docs/PROOF.md`.

#[macro_use]
#[path = "../rules/case.rs"]
mod case;
#[allow(dead_code, reason = "each test crate uses a part of the world")]
#[path = "../world/mod.rs"]
mod world;
mod reference;
mod runner;
mod fleet;
