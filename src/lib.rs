//! laburnumworks, a query tier over many shards, which stands between callers
//! and targets.
//!
//! The crate `laburnum-core` makes the decisions. This crate holds what they
//! run in: threads, sockets, codecs, settings and the command line. See
//! `docs/DESIGN.md`.

pub mod settings;
pub mod clock;
pub mod inbox;
pub mod memory;
pub mod vm;
pub mod relay;
pub mod load;
pub mod local;
pub mod log;
pub mod metric;
pub mod wire;
pub mod front;
pub mod operator;
pub mod target;
pub mod traffic;
pub mod control;
pub mod standin;
pub mod slope;
pub mod cli;
