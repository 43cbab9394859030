//! Chooses the connections that are closed, and the replies that are given up, to make room.

use crate::{
    memory::{Holder, Party, Port, Row, Tables},
    time::Instant,
};

use super::Context;

/// The order in which connections are closed; the least is closed first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Worth {
    /// Whether nothing is under way. A request that arrives or an answer that is taken too
    /// slowly goes first, as it takes the most memory.
    is_idle: bool,
    /// The rate of what is under way, in bytes a second.
    rate: u64,
    /// Whether a request was answered on the connection.
    is_proven: bool,
    /// Since when the connection is as it is.
    since: Instant,
}

/// Closes the connection that is least worth keeping, at one port or at any. Returns none
/// if each is new, works on a request, or belongs to another VM.
pub fn close_one(tables: &mut Tables, port: Option<Port>, cx: &mut Context<'_>) -> Option<Holder> {
    let rows = tables.rows.iter();
    let rows = rows.filter(|(_, row)| port.is_none_or(|port| row.port == port));
    let worths = rows.filter_map(|(id, row)| Some((worth(row, cx)?, *id)));
    let (_, id) = worths.min()?;
    tables.mark_closing(id);
    cx.close.push(id);
    Some(id)
}

/// What can be ended to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    id: Holder,
    /// The bytes that are dropped with it.
    bytes: usize,
}

/// Returns the connections that hold bytes and may be closed, the slowest first.
pub fn slow_connections(
    tables: &Tables,
    requester: Option<Holder>,
    cx: &Context<'_>,
) -> Vec<Candidate> {
    let rows = tables.rows.iter().filter(|(id, row)| Some(**id) != requester && row.total() > 0);
    let mut slow: Vec<(Worth, Holder, usize)> =
        rows.filter_map(|(id, row)| Some((worth(row, cx)?, *id, row.total()))).collect();
    slow.sort_unstable();
    slow.into_iter().map(|(_, id, bytes)| Candidate { id, bytes }).collect()
}

/// Returns the replies on their way in that hold more than `bytes`, the longest first. A peer
/// that sends without end has the longest sooner or later, however fast it sends.
pub fn long_replies(tables: &Tables, bytes: usize) -> Vec<Candidate> {
    let longer = tables.replies.iter().filter(|(_, reply)| reply.bytes > bytes);
    let mut long: Vec<Candidate> = longer
        .filter(|(_, reply)| !reply.is_closing)
        .map(|(id, reply)| Candidate { id: *id, bytes: reply.bytes })
        .collect();
    long.sort_unstable_by_key(|candidate| std::cmp::Reverse(candidate.bytes));
    long
}

/// Returns what is ended for `bytes` that belong to no connection of others, from the first on.
pub fn order(tables: &Tables, bytes: usize, are_many: bool, cx: &Context<'_>) -> Vec<Candidate> {
    let (slow, long) = (slow_connections(tables, None, cx), long_replies(tables, bytes));
    if are_many { [long, slow].concat() } else { [slow, long].concat() }
}

/// Returns the connections to targets that carry no request, the one without the longest first.
pub fn idle_links(tables: &Tables) -> Vec<Candidate> {
    let links = tables.links.iter().filter(|(_, link)| !link.is_closing);
    let mut idle: Vec<(Instant, Holder, usize)> =
        links.filter_map(|(id, link)| Some((link.idle_since?, *id, link.base))).collect();
    idle.sort_unstable();
    idle.into_iter().map(|(_, id, bytes)| Candidate { id, bytes }).collect()
}

/// Returns how many of the candidates, from the first on, must end to free `bytes`; none if
/// all of them are too few.
pub fn count_to_free(candidates: &[Candidate], bytes: usize) -> Option<usize> {
    let mut free = 0;
    for (index, candidate) in candidates.iter().enumerate() {
        if free >= bytes {
            return Some(index);
        }
        free += candidate.bytes;
    }
    (free >= bytes).then_some(candidates.len())
}

/// Returns the bytes that the candidates free.
pub fn sum(candidates: &[Candidate]) -> usize {
    candidates.iter().map(|candidate| candidate.bytes).sum()
}

/// Ends connections and replies.
pub fn end(tables: &mut Tables, candidates: &[Candidate], cx: &mut Context<'_>) {
    for candidate in candidates {
        tables.mark_closing(candidate.id);
        tables.give_up_reply(candidate.id);
        tables.close_link(candidate.id);
        cx.close.push(candidate.id);
    }
}

/// Returns how much a connection is worth keeping, or none if it may not be closed.
fn worth(row: &Row, cx: &Context<'_>) -> Option<Worth> {
    if row.is_closing || matches!(row.port.party, Party::Vm | Party::Refused) {
        return None;
    }
    let slower = row.sending.or(if row.is_working { None } else { row.receiving });
    if slower.is_none() && row.is_working {
        return None;
    }
    let since = slower.map_or(row.idle_since, |transfer| transfer.since);
    if cx.now.since(since) < cx.limits.grace {
        return None;
    }
    Some(Worth {
        is_idle: slower.is_none(),
        rate: slower.map_or(0, |transfer| transfer.rate(cx.now)),
        is_proven: row.answered > 0,
        since,
    })
}
