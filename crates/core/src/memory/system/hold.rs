//! Admits the bytes that are held for others.

use super::{Context, evict, transfer};
use crate::memory::{Full, Holder, Purpose, Tables};

/// Counts `bytes` more for a connection, or for none that is known. If there is no room,
/// slow connections are closed and long replies are given up for it.
pub fn grow(
    tables: &mut Tables,
    id: Option<Holder>,
    purpose: Purpose,
    bytes: usize,
    cx: &mut Context<'_>,
) -> Result<(), Full> {
    check_maximum(tables, bytes, cx.limits.closing_bytes(), cx)?;
    let (own, all) = (excess_beside_replies(tables, purpose, bytes, cx), excess(tables, bytes, cx));
    if own.max(all) > 0 || total_excess(tables, bytes, 0, cx) > 0 {
        let slow = evict::slow_connections(tables, id, cx);
        let first = evict::count_to_free(&slow, own).ok_or(Full)?;
        let (first, later) = slow.split_at(first);
        let long = evict::long_replies(tables, bytes);
        let order = if are_replies_many(tables, 0, cx) {
            [first, &long, later].concat()
        } else {
            [first, later, &long].concat()
        };
        make_room(tables, &order, own.max(all), bytes, cx)?;
    }
    tables.add(id, purpose, bytes);
    Ok(())
}

/// Counts `bytes` more of a reply on its way in. If there is no room, longer replies are given
/// up for it; slow connections are closed only while replies take a small part of the room, so
/// that no flood of replies closes those of callers.
pub fn grow_reply(
    tables: &mut Tables,
    id: Holder,
    bytes: usize,
    cx: &mut Context<'_>,
) -> Result<(), Full> {
    let length = tables.replies.get(&id).map_or(0, |reply| reply.bytes) + bytes;
    let are_many = are_replies_many(tables, bytes, cx);
    let closing =
        if are_many { cx.limits.reply_closing_bytes(length) } else { cx.limits.closing_bytes() };
    check_maximum(tables, bytes, closing, cx)?;
    let excess = excess(tables, bytes, cx);
    let spare = if are_many { cx.limits.reply_spare_bytes(length) } else { 0 };
    check_total(tables, bytes + spare, cx)?;
    if excess > 0 || total_excess(tables, bytes + spare, 0, cx) > 0 {
        let long = evict::long_replies(tables, length);
        let order = if are_many {
            long
        } else {
            [evict::slow_connections(tables, None, cx), long].concat()
        };
        make_room(tables, &order, excess, bytes + spare, cx)?;
    }
    tables.add_to_reply(id, bytes);
    Ok(())
}

/// Frees `excess` of what is held for others by ending the candidates, from the first on, and
/// what `bytes` more exceed the total by. For that, idle connections to targets go first, as
/// another one is soon opened.
pub fn make_room(
    tables: &mut Tables,
    candidates: &[evict::Candidate],
    excess: usize,
    bytes: usize,
    cx: &mut Context<'_>,
) -> Result<(), Full> {
    let count = evict::count_to_free(candidates, excess).ok_or(Full)?;
    let (first, left) = candidates.split_at(count);
    let left = [&evict::idle_links(tables), left].concat();
    let more = total_excess(tables, bytes, evict::sum(first), cx);
    let count = evict::count_to_free(&left, more).ok_or(Full)?;
    evict::end(tables, first, cx);
    evict::end(tables, &left[..count], cx);
    Ok(())
}

/// Admits work on a request of a connection, unless everything is full. Requests that wait
/// do not fill everything, so they keep no short request out.
pub fn begin_work(tables: &mut Tables, id: Holder, cx: &mut Context<'_>) -> Result<(), Full> {
    grow(tables, Some(id), Purpose::Answer, 0, cx)?;
    transfer::begin_work(tables, id);
    Ok(())
}

/// Fails if `bytes` more exceed the limit by more than `closing`, although that is being freed,
/// or the total with connections to targets.
pub fn check_maximum(
    tables: &Tables,
    bytes: usize,
    closing: usize,
    cx: &Context<'_>,
) -> Result<(), Full> {
    let maximum = cx.limits.bytes + closing;
    if tables.bytes() + bytes > maximum { Err(Full) } else { check_total(tables, bytes, cx) }
}

/// Fails if `bytes` more exceed the total with connections to targets, without those that are
/// being closed or can be.
pub fn check_total(tables: &Tables, bytes: usize, cx: &Context<'_>) -> Result<(), Full> {
    let maximum = cx.limits.max_total_bytes() + tables.unlinked;
    if tables.total_bytes() + bytes <= maximum {
        return Ok(());
    }
    let idle = evict::sum(&evict::idle_links(tables));
    if tables.total_bytes() + bytes > maximum + idle { Err(Full) } else { Ok(()) }
}

/// Returns by how much `bytes` more would be too many.
fn excess(tables: &Tables, bytes: usize, cx: &Context<'_>) -> usize {
    let ending = tables.closing + tables.given_up;
    (tables.bytes() + bytes).saturating_sub(cx.limits.bytes + ending)
}

/// Returns by how much `bytes` more would be too many beside connections to targets, if
/// `ending` bytes are about to be freed.
pub fn total_excess(tables: &Tables, bytes: usize, ending: usize, cx: &Context<'_>) -> usize {
    let total = tables.total_bytes() + bytes - tables.unlinked;
    let ending = ending + tables.closing + tables.given_up;
    let excess = total.saturating_sub(cx.limits.total_bytes() + ending);
    excess.max(total.saturating_sub(cx.limits.max_total_bytes()))
}

/// Returns by how much `bytes` more for a purpose would be too many if no reply arrived.
fn excess_beside_replies(
    tables: &Tables,
    purpose: Purpose,
    bytes: usize,
    cx: &Context<'_>,
) -> usize {
    let limit = match purpose {
        Purpose::Request => cx.limits.request_bytes(),
        Purpose::Answer => cx.limits.bytes,
    };
    let held = tables.bytes().saturating_sub(tables.arriving);
    (held + bytes).saturating_sub(limit + tables.closing)
}

/// Whether replies on their way in, with `bytes` more of them, take so much that room is made
/// among them first.
pub fn are_replies_many(tables: &Tables, bytes: usize, cx: &Context<'_>) -> bool {
    let held = tables.arriving.saturating_sub(tables.given_up);
    held + bytes > cx.limits.reply_bytes()
}
