//! Admits connections.

use super::Context;
use crate::memory::{Holder, Port, Tables};

/// Admits a connection at a port that takes `base` bytes by itself.
pub fn open(tables: &mut Tables, port: Port, base: usize, cx: &mut Context<'_>) -> Holder {
    tables.insert(port, base, cx.now)
}
