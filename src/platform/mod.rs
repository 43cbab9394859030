//! The platform's service: the encoding of its calls and the client.
//!
//! What a call means stands in [`laburnum_core::store`]; this module only
//! carries calls and replies over HTTP. See `docs/DESIGN.md`.

pub mod wire;
pub mod client;
mod pool;

pub use client::{Client, Error};
