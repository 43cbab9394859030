//! Admits the bytes that are held for others.

use super::{Context, evict, transfer};
use crate::memory::{Full, Holder, Purpose, Tables};

/// Counts `bytes` more for a connection, or for none that is known. If there is no room,
/// slow connections are closed for it.
pub fn grow(
    tables: &mut Tables,
    id: Option<Holder>,
    purpose: Purpose,
    bytes: usize,
    cx: &mut Context<'_>,
) -> Result<(), Full> {
    // What is being closed still takes memory.
    if tables.bytes() + bytes > cx.limits.bytes + cx.limits.closing_bytes() {
        return Err(Full);
    }
    let excess = excess(tables, purpose, bytes, cx);
    if excess > 0 && !evict::free(tables, id, excess, cx) {
        return Err(Full);
    }
    tables.add(id, purpose, bytes);
    Ok(())
}

/// Admits work on a request of a connection, unless everything is full. Requests that wait
/// do not fill everything, so they keep no short request out.
pub fn begin_work(tables: &mut Tables, id: Holder, cx: &mut Context<'_>) -> Result<(), Full> {
    grow(tables, Some(id), Purpose::Answer, 0, cx)?;
    transfer::begin_work(tables, id);
    Ok(())
}

/// Returns by how much `bytes` more for a purpose would be too many.
fn excess(tables: &Tables, purpose: Purpose, bytes: usize, cx: &Context<'_>) -> usize {
    let limit = match purpose {
        Purpose::Request => cx.limits.request_bytes(),
        Purpose::Answer => cx.limits.bytes,
    };
    (tables.bytes() + bytes).saturating_sub(limit + tables.closing)
}
