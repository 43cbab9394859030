//! Admits connections to targets, which are closed while they are idle to make room.

use super::{Context, evict, hold};
use crate::{
    memory::{Full, Holder, Tables},
    time::Instant,
};

/// Admits a connection for a request; it takes `base` bytes by itself. If there is no room,
/// idle connections are closed for it, and then slow callers and longer replies.
pub fn open(tables: &mut Tables, base: usize, cx: &mut Context<'_>) -> Result<Holder, Full> {
    hold::check_total(tables, base, cx)?;
    if hold::total_excess(tables, base, 0, cx) > 0 {
        let order = evict::order(tables, base, hold::are_replies_many(tables, 0, cx), cx);
        hold::make_room(tables, &order, 0, base, cx)?;
    }
    Ok(tables.insert_link(base))
}

/// Closes idle connections for `bytes` more, as far as there are any.
pub fn close_idle(tables: &mut Tables, bytes: usize, cx: &mut Context<'_>) {
    let excess = hold::total_excess(tables, bytes, 0, cx);
    if excess == 0 {
        return;
    }
    let idle = evict::idle_links(tables);
    let count = evict::count_to_free(&idle, excess).unwrap_or(idle.len());
    evict::end(tables, &idle[..count], cx);
}

/// Records that a connection carries no request any more.
pub fn rest(tables: &mut Tables, id: Holder, now: Instant) {
    if let Some(link) = tables.links.get_mut(&id) {
        link.idle_since = Some(now);
    }
}

/// Records that a connection carries a request.
pub fn work(tables: &mut Tables, id: Holder) {
    if let Some(link) = tables.links.get_mut(&id) {
        link.idle_since = None;
    }
}
