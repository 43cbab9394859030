//! The decision logic of laburnumworks.
//!
//! This crate consists of tables (rows keyed by small typed ids) and systems
//! (plain functions that run over the tables in a fixed order each tick). It
//! uses no sockets, clocks or threads: time is an argument, input arrives as
//! typed events and output is collected in an outbox. The same code therefore
//! runs behind any front end and in tests. See `docs/DESIGN.md`.

pub mod name;
pub mod id;
pub mod time;
pub mod timer;
pub mod latency;
pub mod key;
pub mod digest;
pub mod rank;
pub mod fault;
pub mod profile;
pub mod view;
pub mod store;
pub mod target;
pub mod claim;
pub mod memory;
pub mod message;
pub mod notice;
pub mod border;
pub mod traffic;
pub mod control;
pub mod relay;
pub mod claims;
pub mod log;
pub mod count;
