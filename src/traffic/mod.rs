//! The traffic threads: one runtime and one engine each, and the borders around
//! it. A thread decides nothing; see `laburnum_core::traffic`.

pub mod handle;

pub use self::handle::Handle;
