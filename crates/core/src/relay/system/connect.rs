//! Opens, uses and closes connections to targets.

use super::Context;
use crate::{
    name::Name,
    relay::{
        self, Command, Tables,
        table::connection::{Connection, State},
        view,
    },
};

/// Multiple of its equal share of a target's slots that one VM may occupy. Legs
/// beyond that go to another target, because a leg that waits in the queue of a
/// target cannot be taken back.
const SLOT_SHARE_FACTOR: u32 = 4;

/// Returns the number of connections that this VM may hold to a target: the slots
/// that it may occupy, at most its share of the connections that the target
/// accepts, and at least one.
pub fn connection_limit(tables: &Tables, entry: &view::Target) -> usize {
    let config = tables.view.config.as_ref();
    let service = config.and_then(|config| config.services.get(&entry.service));
    let accepted = service.map_or(0, |service| service.connections);
    let vms = tables.view.sharing_vms();
    let slots = entry.slots.saturating_mul(SLOT_SHARE_FACTOR).div_ceil(vms).min(entry.slots);
    slots.min(accepted / vms).max(1) as usize
}

/// Whether a request can be sent to a target now.
pub fn can_take(tables: &Tables, id: &Name, cx: &Context<'_>) -> bool {
    let Some(target) = tables.targets.get(id) else { return false };
    if target.is_backing_off(cx.now) {
        return false;
    }
    if !target.idle.is_empty() {
        return true;
    }
    let is_paused = target.pause_until > cx.now;
    !is_paused && target.connections.len() < connection_limit(tables, &target.entry)
}

/// Takes an idle connection to a target, or opens one.
pub fn take(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) -> Option<relay::Connection> {
    let idle = tables.targets.get_mut(id)?.idle.pop();
    match idle {
        Some(connection) => Some(connection),
        None => open(tables, id, cx),
    }
}

/// Opens a connection to a target.
pub fn open(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) -> Option<relay::Connection> {
    let connection = relay::Connection(tables.next_id());
    let target = tables.targets.get_mut(id)?;
    target.connections.insert(connection);
    let address = target.entry.address;
    let row = Connection { target: id.clone(), state: State::Opening };
    tables.connections.insert(connection, row);
    cx.out.commands.push(Command::Open { connection, address });
    Some(connection)
}

/// Marks a connection as idle, or closes it if its target gets no new work.
pub fn release(tables: &mut Tables, connection: relay::Connection, cx: &mut Context<'_>) {
    let Some(row) = tables.connections.get_mut(&connection) else { return };
    row.state = State::Idle { since: cx.now };
    let id = row.target.clone();
    let Some(target) = tables.targets.get_mut(&id) else { return };
    if target.is_usable && !target.is_leaving() {
        target.idle.push(connection);
    } else {
        close(tables, connection, cx);
        prune(tables, &id);
    }
}

/// Closes a connection and removes its row.
pub fn close(tables: &mut Tables, connection: relay::Connection, cx: &mut Context<'_>) {
    remove(tables, connection);
    cx.out.commands.push(Command::Close { connection });
}

/// Removes the row of a connection that is closed.
pub fn remove(tables: &mut Tables, connection: relay::Connection) -> Option<Connection> {
    let row = tables.connections.remove(&connection)?;
    if let Some(target) = tables.targets.get_mut(&row.target) {
        target.connections.remove(&connection);
        target.idle.retain(|idle| *idle != connection);
    }
    Some(row)
}

/// Closes the connections of a target that carry no request.
pub fn close_idle(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) {
    let Some(target) = tables.targets.get_mut(id) else { return };
    for connection in std::mem::take(&mut target.idle) {
        close(tables, connection, cx);
    }
}

/// Removes a target that is no longer registered once none of its attempts is
/// running.
pub fn prune(tables: &mut Tables, id: &Name) {
    if tables.view.targets.contains_key(id) {
        return;
    }
    if tables.targets.get(id).is_some_and(|target| target.running.is_empty()) {
        tables.targets.remove(id);
    }
}

/// Closes the idle connections to a target that restarted and removes all others
/// from its row. The attempts on those end when the connections close.
pub fn discard_all(tables: &mut Tables, id: &Name, cx: &mut Context<'_>) {
    close_idle(tables, id, cx);
    if let Some(target) = tables.targets.get_mut(id) {
        target.connections.clear();
        target.running.clear();
    }
}
