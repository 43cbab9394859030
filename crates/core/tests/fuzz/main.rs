//! Stateful fuzzing of a simulated deployment, checked by an oracle that is
//! independent of the implementation. See `docs/PROOF.md`.

#[macro_use]
#[path = "../rules/case.rs"]
mod case;
#[allow(dead_code, reason = "each test crate uses a part of the world")]
#[path = "../world/mod.rs"]
mod world;
mod reference;
mod runner;
mod fleet;
mod found;
