//! Admits connections.

use super::{Context, evict, hold, link};
use crate::memory::{Full, Holder, Party, Port, Tables};

/// Admits a connection at a port that may have `max` of them and that takes `base` bytes
/// by itself. If there is no room, the connection that is least worth keeping is closed for
/// it, so that callers who hold connections idle keep no other caller out.
pub fn open(
    tables: &mut Tables,
    port: Port,
    max: usize,
    base: usize,
    cx: &mut Context<'_>,
) -> Result<Holder, Full> {
    hold::check_maximum(tables, base, cx.limits.closing_bytes(), cx)?;
    if tables.count(port) >= max {
        evict::close_one(tables, Some(port), cx).ok_or(Full)?;
    }
    let is_full = tables.connections() >= cx.limits.connections
        || tables.bases + base > cx.limits.connection_bytes();
    if is_full && port.party == Party::Refused {
        // No caller is closed to tell another one that it is refused.
        return Err(Full);
    }
    if is_full {
        evict::close_one(tables, None, cx).ok_or(Full)?;
    }
    link::close_idle(tables, base, cx);
    Ok(tables.insert(port, base, cx.now))
}
