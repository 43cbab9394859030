//! Tests of the table of what a process holds for others, and of its systems.

#[macro_use]
#[path = "../rules/case.rs"]
mod case;
mod harness;
mod admit;
mod hold;
mod link;
mod reply;
mod random;
