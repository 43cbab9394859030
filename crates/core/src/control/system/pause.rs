//! Finds out that this VM was paused.

use std::time::Duration;

use crate::{
    control::{
        engine::Step,
        table::{Tables, call::Purpose, news::Key, source::Reader},
    },
    log::{Event, Line},
    time::{Instant, Wall},
};

/// Compares the time of this step with that of the last one. A gap shows on the
/// monotonic clock when the process was stopped, and only on the wall clock
/// when the whole machine was.
pub fn run(tables: &mut Tables, step: &mut Step<'_>) {
    let last = tables.own.stepped.replace((step.now, step.wall));
    match last {
        None => start(tables, step),
        Some(last) if gap(last, step) > step.limits.pause_threshold => resume(tables, step, "gap"),
        Some(_) => {}
    }
}

fn gap((now, wall): (Instant, Wall), step: &Step<'_>) -> Duration {
    let wall = Duration::from_millis(step.wall.0.saturating_sub(wall.0));
    step.now.since(now).max(wall)
}

fn start(tables: &mut Tables, step: &mut Step<'_>) {
    tables.own.heard = step.now;
    tables.own.since = step.now;
    tables.vms.compare = step.now;
    tables.gossip.add(Key::Member(tables.own.vm.name.clone()));
}

/// Takes a new incarnation and forgets what was confirmed, so that this VM is
/// not ready until the revision and the list are confirmed again.
pub fn resume(tables: &mut Tables, step: &mut Step<'_>, cause: &str) {
    let own = &mut tables.own;
    own.since = step.now;
    own.vm.incarnation = (own.vm.incarnation + 1).max(step.wall.0);
    unlearn(tables, step.now);
    tables.vms.compare = step.now;
    tables.gossip.add(Key::Member(tables.own.vm.name.clone()));
    let incarnation = tables.own.vm.incarnation.to_string();
    let fields = vec![("cause", cause.to_owned()), ("incarnation", incarnation)];
    step.out.lines.push(Line::new(Event::VmResumed, fields));
}

/// Forgets what was confirmed and asks for it at once.
pub fn unlearn(tables: &mut Tables, now: Instant) {
    tables.own.learnt = false;
    tables.own.witnesses.clear();
    tables.own.heard = now;
    tables.in_force.confirmed = None;
    tables.targets.list_age = None;
    // A reply to a call from before the pause confirms nothing.
    tables.calls.rows.retain(|_, call| !matches!(call.purpose, Purpose::Profiles | Purpose::List));
    tables.profiles = Reader { next: now, ..Reader::default() };
    tables.list = Reader { next: now, ..Reader::default() };
    tables.vms.next = now;
    tables.changed = true;
}
