//! Moves the floor and removes the buckets below it.
//!
//! One VM does this; two at once are harmless, because the floor moves only
//! upwards by compare-and-swap and a slot is removed only after a floor above
//! it was stored.

use std::time::Duration;

use crate::{
    rank,
    store::{Call, Entry, Reply},
    time::Wall,
    view::State,
};

use super::{
    Count, Message, Outbox, Scope, call,
    layout::{self, Bucket, FLOOR_KEY},
    table::{Purpose, Tables},
    value::Floor,
};

/// The VMs, by rank, whose clocks are heard before the floor moves.
const CLOCKS: usize = 5;
/// How many times faster than time the floor may rise, so that clocks which are
/// far ahead do not refuse the keys of today at once.
const MAX_RISE: u64 = 4;

/// Runs the system.
pub fn run(tables: &mut Tables, scope: &Scope<'_>, out: &mut Outbox) {
    if tables.sweep.busy {
        return;
    }
    if !tables.sweep.entries.is_empty() {
        remove(tables, scope, out);
    } else if tables.sweep.next <= scope.now {
        look(tables, scope, out);
    }
}

fn look(tables: &mut Tables, scope: &Scope<'_>, out: &mut Outbox) {
    tables.sweep.next = scope.now + scope.limits.sweep;
    let live = scope.vms.values().filter(|vm| vm.state == State::Live);
    let order = rank::order(layout::floor_seed(), live.map(|vm| &vm.name));
    tables.sweep.most = tables.sweep.most.max(order.len());
    match order.iter().position(|vm| *vm == scope.vm) {
        Some(0) => {
            let get = Call::Get { key: FLOOR_KEY.to_owned() };
            start(tables, scope, out, Purpose::FloorRead, get);
        }
        Some(rank) if rank < CLOCKS => {
            out.messages.push((order[0].clone(), Message::Clock { wall: scope.wall }));
        }
        _ => {}
    }
}

fn start(tables: &mut Tables, scope: &Scope<'_>, out: &mut Outbox, purpose: Purpose, order: Call) {
    tables.sweep.busy = true;
    call(tables, scope, out, purpose, order);
}

/// Takes the answer to a call of the sweep.
pub fn collect(
    tables: &mut Tables,
    scope: &Scope<'_>,
    purpose: Purpose,
    reply: Reply,
    out: &mut Outbox,
) {
    tables.sweep.busy = false;
    match (purpose, reply) {
        (Purpose::FloorRead, Reply::Value { entry, .. }) => floor_read(tables, scope, entry, out),
        (Purpose::FloorWrite { floor }, Reply::Swapped { version }) => {
            tables.floor = tables.floor.max(floor.slot);
            tables.sweep.stored = Some((Some(version), floor));
            tables.sweep.slot = tables.sweep.slot.max(floor.swept);
            scan(tables, scope, out);
        }
        (Purpose::SweepScan { slot }, Reply::Entries { entries, .. }) => {
            scanned(tables, scope, slot, &entries);
        }
        (Purpose::SweepRemove { bucket }, reply) => removed(tables, bucket, &reply, out),
        // Whatever else was answered, the sweep starts over at its next look.
        _ => {}
    }
}

fn floor_read(tables: &mut Tables, scope: &Scope<'_>, entry: Option<Entry>, out: &mut Outbox) {
    let version = entry.as_ref().map(|entry| entry.version);
    let stored = match entry {
        None => None,
        Some(entry) => match Floor::try_from(entry.value.as_slice()) {
            Ok(floor) => Some(floor),
            Err(_) => return,
        },
    };
    let Some(goal) = goal(tables, scope) else { return };
    let target = match stored {
        None => goal,
        Some(floor) => goal.min(rise(tables, scope, floor.slot)),
    };
    let current = stored.unwrap_or(Floor { slot: 0, swept: target });
    tables.floor = tables.floor.max(current.slot);
    tables.sweep.stored = Some((version, current));
    // A slot that another VM still swept is swept again, which does no harm.
    tables.sweep.slot = tables.sweep.slot.clamp(current.swept, current.slot.max(current.swept));
    if target <= current.slot {
        scan(tables, scope, out);
        return;
    }
    let floor = Floor { slot: target, swept: tables.sweep.slot };
    let key = FLOOR_KEY.to_owned();
    let swap = Call::Swap { key, expect: version, value: floor.encode(), lease: None };
    start(tables, scope, out, Purpose::FloorWrite { floor }, swap);
}

/// The highest slot to which the floor may rise from `stored` now. A VM that
/// reads the floor for the first time only notes when it did.
fn rise(tables: &mut Tables, scope: &Scope<'_>, stored: u64) -> u64 {
    let Some(seen) = tables.sweep.seen.replace(scope.now) else { return stored };
    let elapsed = millis(scope.now.since(seen)).saturating_mul(MAX_RISE);
    stored + scope.limits.layout.slot_at(elapsed).max(1)
}

/// The slot that the floor should have: a window before the median of the
/// clocks that were heard lately, so that one wrong clock does not move it.
/// There is none while too few clocks were heard.
fn goal(tables: &mut Tables, scope: &Scope<'_>) -> Option<u64> {
    let horizon = scope.limits.sweep * 3;
    let clocks = &mut tables.sweep.clocks;
    clocks
        .retain(|vm, (_, heard)| scope.now.since(*heard) <= horizon && scope.vms.contains_key(vm));
    let heard = clocks.values().map(|(wall, heard)| wall.0 + millis(scope.now.since(*heard)));
    let mut walls: Vec<u64> = heard.chain([scope.wall.0]).collect();
    if walls.len() <= tables.sweep.most.min(CLOCKS) / 2 {
        return None;
    }
    walls.sort_unstable();
    let Wall(median) = Wall(walls[(walls.len() - 1) / 2]);
    Some(scope.limits.layout.slot_at(median.saturating_sub(millis(scope.limits.window))))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Lists the next slot below the floor, if there is one.
fn scan(tables: &mut Tables, scope: &Scope<'_>, out: &mut Outbox) {
    let Some((_, floor)) = tables.sweep.stored else { return };
    let slot = tables.sweep.slot;
    if slot >= floor.slot {
        return;
    }
    let prefix = layout::prefix(slot);
    start(tables, scope, out, Purpose::SweepScan { slot }, Call::Scan { prefix });
}

fn scanned(tables: &mut Tables, scope: &Scope<'_>, slot: u64, entries: &[Entry]) {
    let found = entries
        .iter()
        .filter_map(|entry| Bucket::parse(&entry.key).map(|bucket| (bucket, entry.version)));
    tables.sweep.entries = found.filter(|(bucket, _)| bucket.slot == slot).collect();
    if tables.sweep.entries.is_empty() {
        tables.sweep.slot = slot + 1;
        let floor = tables.sweep.stored.map_or(0, |(_, floor)| floor.slot);
        if tables.sweep.slot < floor {
            tables.sweep.next = scope.now + interval(scope);
        }
    }
}

/// Removes the next bucket of the slot.
fn remove(tables: &mut Tables, scope: &Scope<'_>, out: &mut Outbox) {
    if tables.sweep.remove > scope.now {
        return;
    }
    let Some((bucket, expect)) = tables.sweep.entries.pop() else { return };
    tables.sweep.remove = scope.now + interval(scope);
    // After the last bucket the slot is listed once more, which shows whether
    // all of them are gone.
    if tables.sweep.entries.is_empty() {
        tables.sweep.next = tables.sweep.remove;
    }
    let key = bucket.text();
    start(tables, scope, out, Purpose::SweepRemove { bucket }, Call::Remove { key, expect });
}

fn interval(scope: &Scope<'_>) -> Duration {
    Duration::from_secs(1) / scope.limits.removals.max(1)
}

fn removed(tables: &mut Tables, bucket: Bucket, reply: &Reply, out: &mut Outbox) {
    match reply {
        Reply::Removed => out.count(Count::Removed),
        Reply::Conflict { current: Some(Entry { version, .. }) } => {
            tables.sweep.entries.push((bucket, *version));
        }
        _ => {}
    }
}
