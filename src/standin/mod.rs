//! Stand-ins for the platform and the targets, for tests and the demo.

pub mod target;

pub use laburnum_standin as platform;
