//! laburnumworks, a query tier over many shards: everything that stands between
//! callers and targets.
//!
//! The decisions are in the crate `laburnum-core`. This crate holds what
//! surrounds them: threads, sockets, codecs, settings and the command line. See
//! `docs/DESIGN.md`.

pub mod settings;
pub mod clock;
pub mod inbox;
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
