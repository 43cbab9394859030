//! The traffic threads.
