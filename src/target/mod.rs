//! The client of the targets.
