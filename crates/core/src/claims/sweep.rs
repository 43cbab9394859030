//! Advances the floor and removes the buckets below it.
//!
//! The VM that is first in rank does this. Two VMs at once are harmless, because
//! a compare-and-swap only ever raises the floor, and a slot is removed only
//! after a floor above it was stored.

use std::time::Duration;

use crate::{
    rank,
    store::{Call, Entry, Reply},
    time::Wall,
    view::State,
};

use super::{
    Context, Count, Message, Outbox, era,
    layout::{self, Bucket, FLOOR_KEY},
    spread, start_call,
    table::{Purpose, StoredFloor, Tables},
    value::Floor,
};

/// How many VMs, the first in rank, contribute their clocks to the floor.
const CLOCK_VMS: usize = 5;
/// The time between two reads of the floor by a home without claims.
const HOME_READ_INTERVAL: Duration = Duration::from_secs(60);
/// How many times faster than real time the floor may advance, so that clocks
/// that are far ahead do not expire current keys at once.
const MAX_ADVANCE_RATE: u64 = 4;

/// Starts the next call of the sweep unless one is in flight.
pub fn run(tables: &mut Tables, context: &Context<'_>, out: &mut Outbox) {
    if tables.sweep.busy {
        return;
    }
    if !tables.sweep.entries.is_empty() {
        remove_next(tables, context, out);
    } else if tables.sweep.next_check <= context.now {
        check_floor(tables, context, out);
    }
}

/// Reads the floor if this VM is first in rank; the VMs next in rank send it
/// their clocks.
fn check_floor(tables: &mut Tables, context: &Context<'_>, out: &mut Outbox) {
    tables.sweep.next_check = context.now + context.limits.sweep_interval;
    let live = context.vms.values().filter(|vm| vm.state == State::Live);
    let ranked = rank::order(layout::floor_seed(), live.map(|vm| &vm.name));
    tables.sweep.max_live = tables.sweep.max_live.max(ranked.len());
    match ranked.iter().position(|vm| *vm == context.vm) {
        Some(0) => {
            let get = Call::Get { key: FLOOR_KEY.to_owned() };
            start_sweep_call(tables, context, out, Purpose::FloorRead, get);
        }
        Some(rank) if rank < CLOCK_VMS => {
            out.messages.push((ranked[0].clone(), Message::Clock { wall: context.wall }));
        }
        _ => {}
    }
    if !tables.tenure.since.is_empty() {
        read_as_home(tables, context, out);
    }
}

/// Reads the floor without a claim that waits for it, so that a home without claims
/// knows the era and the loss that is recorded.
fn read_as_home(tables: &mut Tables, context: &Context<'_>, out: &mut Outbox) {
    // The first read is at a time that differs between VMs.
    let phase = spread::delay(context.vm.as_str(), HOME_READ_INTERVAL);
    let next = *tables.tenure.next_read.get_or_insert(context.now + phase);
    // A VM that starts before the loss is recorded dates it later, and so doubts more keys.
    let is_loss_known = tables.history.epoch.era().is_none() || tables.history.loss.is_some();
    if is_loss_known && next > context.now {
        return;
    }
    tables.tenure.next_read = Some(context.now + HOME_READ_INTERVAL);
    let get = Call::Get { key: FLOOR_KEY.to_owned() };
    start_call(tables, context, out, Purpose::Confirm { grants: Vec::new() }, get);
}

fn start_sweep_call(
    tables: &mut Tables,
    context: &Context<'_>,
    out: &mut Outbox,
    purpose: Purpose,
    store_call: Call,
) {
    tables.sweep.busy = true;
    start_call(tables, context, out, purpose, store_call);
}

/// Handles the reply to a call of the sweep.
pub fn handle_reply(
    tables: &mut Tables,
    context: &Context<'_>,
    purpose: Purpose,
    reply: Reply,
    out: &mut Outbox,
) {
    tables.sweep.busy = false;
    match (purpose, reply) {
        (Purpose::FloorRead, Reply::Value { entry, .. }) => {
            handle_floor_read(tables, context, entry, out)
        }
        (Purpose::FloorWrite { floor }, Reply::Swapped { version }) => {
            tables.floor = tables.floor.max(floor.slot);
            tables.sweep.stored = Some(StoredFloor { version: Some(version), floor });
            tables.sweep.slot = tables.sweep.slot.max(floor.swept);
            start_scan(tables, context, out);
        }
        (Purpose::SweepScan { slot }, Reply::Entries { entries, .. }) => {
            handle_scan(tables, context, slot, &entries);
        }
        (Purpose::SweepRemove { bucket }, reply) => handle_removal(tables, bucket, &reply, out),
        // After any other reply the sweep starts over at the next check.
        _ => {}
    }
}

fn handle_floor_read(
    tables: &mut Tables,
    context: &Context<'_>,
    entry: Option<Entry>,
    out: &mut Outbox,
) {
    let version = entry.as_ref().map(|entry| entry.version);
    let stored = match entry {
        None => None,
        Some(entry) => match Floor::try_from(entry.value.as_slice()) {
            Ok(floor) => Some(floor),
            Err(_) => return,
        },
    };
    let Some(target) = target_slot(tables, context) else { return };
    let next = match stored {
        None => target,
        Some(floor) => target.min(max_slot(tables, context, floor.slot)),
    };
    // A floor that was in force stays so, even if the store has lost it.
    let next = next.max(tables.floor);
    let current = stored.unwrap_or(Floor { slot: 0, swept: next, loss: None });
    tables.floor = tables.floor.max(current.slot);
    tables.sweep.stored = Some(StoredFloor { version, floor: current });
    // A slot that another VM has swept as well is swept again, which is harmless.
    tables.sweep.slot = tables.sweep.slot.clamp(current.swept, current.slot.max(current.swept));
    if next <= current.slot {
        start_scan(tables, context, out);
        return;
    }
    let loss = era::loss(tables, context, current);
    let floor = Floor { slot: next, swept: tables.sweep.slot, loss };
    let key = FLOOR_KEY.to_owned();
    let swap = Call::Swap { key, expect: version, value: floor.encode(), lease: None };
    start_sweep_call(tables, context, out, Purpose::FloorWrite { floor }, swap);
}

/// Returns the highest slot to which the floor may advance from `stored` now. It
/// does not advance at the first read by a VM, which only records its time.
fn max_slot(tables: &mut Tables, context: &Context<'_>, stored: u64) -> u64 {
    let Some(last_read) = tables.sweep.last_read.replace(context.now) else { return stored };
    let elapsed = millis(context.now.since(last_read)).saturating_mul(MAX_ADVANCE_RATE);
    stored + context.limits.layout.slot_at(elapsed).max(1)
}

/// Returns the slot that the floor should have: one window before the median of
/// the recently received clocks and this VM's own, so that a single wrong clock
/// does not move it. Returns `None` while too few clocks are known.
fn target_slot(tables: &mut Tables, context: &Context<'_>) -> Option<u64> {
    let max_age = context.limits.sweep_interval * 3;
    let clocks = &mut tables.sweep.clocks;
    clocks.retain(|vm, (_, received)| {
        context.now.since(*received) <= max_age && context.vms.contains_key(vm)
    });
    let received =
        clocks.values().map(|(wall, received)| wall.0 + millis(context.now.since(*received)));
    let mut walls: Vec<u64> = received.chain([context.wall.0]).collect();
    if walls.len() <= tables.sweep.max_live.min(CLOCK_VMS) / 2 {
        return None;
    }
    walls.sort_unstable();
    let Wall(median) = Wall(walls[(walls.len() - 1) / 2]);
    Some(context.limits.layout.slot_at(median.saturating_sub(millis(context.limits.window))))
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Lists the buckets of the next slot to remove, if one is below the floor.
fn start_scan(tables: &mut Tables, context: &Context<'_>, out: &mut Outbox) {
    let Some(StoredFloor { floor, .. }) = tables.sweep.stored else { return };
    let slot = tables.sweep.slot;
    if slot >= floor.slot {
        return;
    }
    let prefix = layout::slot_prefix(slot);
    start_sweep_call(tables, context, out, Purpose::SweepScan { slot }, Call::Scan { prefix });
}

/// Stores the buckets that are to be removed. If there are none, the slot is
/// done.
fn handle_scan(tables: &mut Tables, context: &Context<'_>, slot: u64, entries: &[Entry]) {
    let found = entries
        .iter()
        .filter_map(|entry| Bucket::parse(&entry.key).map(|bucket| (bucket, entry.version)));
    tables.sweep.entries = found.filter(|(bucket, _)| bucket.slot == slot).collect();
    if tables.sweep.entries.is_empty() {
        tables.sweep.slot = slot + 1;
        let floor = tables.sweep.stored.map_or(0, |stored| stored.floor.slot);
        if tables.sweep.slot < floor {
            tables.sweep.next_check = context.now + removal_interval(context);
        }
    }
}

/// Removes the next bucket of the slot, at the rate limit of removals.
fn remove_next(tables: &mut Tables, context: &Context<'_>, out: &mut Outbox) {
    if tables.sweep.next_removal > context.now {
        return;
    }
    let Some((bucket, expect)) = tables.sweep.entries.pop() else { return };
    tables.sweep.next_removal = context.now + removal_interval(context);
    // The slot is listed again after its last bucket, to check that all buckets
    // are gone.
    if tables.sweep.entries.is_empty() {
        tables.sweep.next_check = tables.sweep.next_removal;
    }
    let key = bucket.key();
    start_sweep_call(
        tables,
        context,
        out,
        Purpose::SweepRemove { bucket },
        Call::Remove { key, expect },
    );
}

fn removal_interval(context: &Context<'_>) -> Duration {
    Duration::from_secs(1) / context.limits.removals_per_second.max(1)
}

fn handle_removal(tables: &mut Tables, bucket: Bucket, reply: &Reply, out: &mut Outbox) {
    match reply {
        Reply::Removed => out.count(Count::Removed),
        Reply::Conflict { current: Some(Entry { version, .. }) } => {
            tables.sweep.entries.push((bucket, *version));
        }
        _ => {}
    }
}
