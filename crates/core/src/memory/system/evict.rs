//! Chooses the connections that are closed to make room.

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

/// Closes slow connections that hold bytes until `bytes` are free. Returns false if that is
/// not possible; then none is closed.
pub fn free(
    tables: &mut Tables,
    requester: Option<Holder>,
    bytes: usize,
    cx: &mut Context<'_>,
) -> bool {
    let rows = tables.rows.iter().filter(|(id, row)| Some(**id) != requester && row.total() > 0);
    let mut slow: Vec<(Worth, Holder, usize)> =
        rows.filter_map(|(id, row)| Some((worth(row, cx)?, *id, row.total()))).collect();
    slow.sort_unstable();
    let mut chosen = Vec::new();
    let mut free = 0;
    for (_, id, held) in slow {
        if free >= bytes {
            break;
        }
        free += held;
        chosen.push(id);
    }
    if free < bytes {
        return false;
    }
    for id in chosen {
        tables.mark_closing(id);
        cx.close.push(id);
    }
    true
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
