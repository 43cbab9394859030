//! Detects that this VM was paused, and starts over with a new incarnation.

use std::time::Duration;

use crate::{
    control::{
        engine::Context,
        table::{Tables, call::Purpose, gossip::Key, reader::Reader},
    },
    log::{Event, Line},
    time::{Instant, Wall},
};

/// Compares the time of this tick with that of the last one. If only the
/// process was stopped, the gap shows on the monotonic clock; if the whole
/// machine was, it shows only on the wall clock.
pub fn run(tables: &mut Tables, cx: &mut Context<'_>) {
    let last = tables.own.last_tick.replace((cx.now, cx.wall));
    match last {
        None => start(tables, cx),
        Some(last) if gap(last, cx) > cx.limits.pause_threshold => resume(tables, cx, "gap"),
        Some(_) => {}
    }
}

fn gap((now, wall): (Instant, Wall), cx: &Context<'_>) -> Duration {
    let wall = Duration::from_millis(cx.wall.0.saturating_sub(wall.0));
    cx.now.since(now).max(wall)
}

fn start(tables: &mut Tables, cx: &mut Context<'_>) {
    tables.own.last_received = cx.now;
    tables.own.since = cx.now;
    tables.vms.next_sync = cx.now;
    tables.gossip.add(Key::Member(tables.own.vm.name.clone()));
}

/// Takes a new incarnation and discards all confirmations, so that this VM is
/// not ready until the revision and the list are confirmed again. `cause` is
/// logged.
pub fn resume(tables: &mut Tables, cx: &mut Context<'_>, cause: &str) {
    let own = &mut tables.own;
    own.since = cx.now;
    own.vm.incarnation = (own.vm.incarnation + 1).max(cx.wall.0);
    reset_confirmations(tables, cx.now);
    tables.vms.next_sync = cx.now;
    tables.gossip.add(Key::Member(tables.own.vm.name.clone()));
    let incarnation = tables.own.vm.incarnation.to_string();
    let fields = vec![("cause", cause.to_owned()), ("incarnation", incarnation)];
    cx.out.lines.push(Line::new(Event::VmResumed, fields));
}

/// Discards the confirmations of the revision and the list, and makes new reads
/// and the next probe due at once.
pub fn reset_confirmations(tables: &mut Tables, now: Instant) {
    tables.own.learnt = false;
    tables.own.confirmed_by.clear();
    tables.own.last_received = now;
    tables.in_force.confirmed = None;
    tables.targets.list_age = None;
    // A reply to a call that was made before the pause must not confirm
    // anything.
    tables.calls.rows.retain(|_, call| !matches!(call.purpose, Purpose::Profiles | Purpose::List));
    tables.profiles = Reader { next: now, ..Reader::default() };
    tables.list = Reader { next: now, ..Reader::default() };
    tables.vms.next_probe = now;
    tables.view_changed = true;
}
