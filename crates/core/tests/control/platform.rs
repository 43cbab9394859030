//! A simulation of the platform's service and its faults.

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{
    name::Name,
    store::{Call, CallId, Entry, Era, Position, Reply, Version},
    time::Instant,
    view,
};

/// How the service handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Calls are carried out and answered.
    Up,
    /// No call is carried out. The client reports it as lost after a timeout.
    Down,
    /// Only reads of the list are answered; other calls are lost.
    ListOnly,
    /// Calls are refused, so the client knows that nothing took effect.
    Refusing,
    /// Calls take effect, but the reply is lost.
    ReplyLost,
    /// Writes take effect long after the client has reported them as lost.
    Late,
}

/// The time after which a client reports a call as lost.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1000);

/// A watch that waits for a change.
struct Watch {
    vm: (Name, u64),
    call: CallId,
    prefix: String,
    after: u64,
}

/// A reply with the time of its arrival, the VM and its start number, and the
/// call.
pub type Answer = (Instant, (Name, u64), CallId, Reply);

/// A copy of what the service holds, from which it may come back.
#[derive(Clone)]
pub struct Copy {
    values: BTreeMap<String, Entry>,
    change: u64,
    changed: BTreeMap<String, u64>,
}

/// The simulated service.
pub struct Platform {
    pub mode: Mode,
    /// The era that all answers state.
    pub era: Era,
    /// The time from a call to its reply.
    pub delay: Duration,
    /// The VMs that the service lists.
    pub vms: BTreeMap<Name, view::Vm>,
    /// The targets that the service lists.
    pub targets: BTreeMap<Name, view::Target>,
    /// The stored values by key.
    pub values: BTreeMap<String, Entry>,
    /// The number of calls; a watch counts as one.
    pub calls: u64,
    /// The number of times that the document in force was written.
    pub writes: u64,
    /// The values that were written as the document in force, in order.
    pub written: Vec<Vec<u8>>,
    change: u64,
    changed: BTreeMap<String, u64>,
    watches: Vec<Watch>,
}

impl Platform {
    /// A service that works and is empty.
    pub fn new() -> Platform {
        Platform {
            mode: Mode::Up,
            era: Era(0),
            delay: Duration::from_millis(2),
            vms: BTreeMap::new(),
            targets: BTreeMap::new(),
            values: BTreeMap::new(),
            calls: 0,
            writes: 0,
            written: Vec::new(),
            change: 0,
            changed: BTreeMap::new(),
            watches: Vec::new(),
        }
    }

    /// Copies what the service holds.
    pub fn copy(&self) -> Copy {
        let (values, changed) = (self.values.clone(), self.changed.clone());
        Copy { values, change: self.change, changed }
    }

    /// Comes back from a copy, in the next era. The changes since are lost, and their
    /// numbers are given out again.
    pub fn restore(&mut self, copy: Copy) {
        self.restore_in(copy, Era(self.era.0 + 1));
    }

    /// Comes back from a copy in any era, as a service does that counts its eras anew.
    pub fn restore_in(&mut self, copy: Copy, era: Era) {
        self.era = era;
        self.values = copy.values;
        for entry in self.values.values_mut() {
            entry.version.0.era = self.era;
        }
        self.change = copy.change;
        self.changed = copy.changed;
    }

    fn position(&self, change: u64) -> Position {
        Position { era: self.era, change }
    }

    /// The number of watches that wait for a change.
    pub fn watches(&self) -> usize {
        self.watches.len()
    }

    /// Handles a call of a VM. Returns its reply, and those to watches that the
    /// call ends.
    pub fn call(&mut self, now: Instant, vm: (Name, u64), id: CallId, call: Call) -> Vec<Answer> {
        self.calls += 1;
        let lost = Reply::Lost { detail: "no answer".to_owned() };
        match self.mode {
            Mode::Down => return vec![(now + CALL_TIMEOUT, vm, id, lost)],
            Mode::ListOnly if call != Call::List => {
                return vec![(now + CALL_TIMEOUT, vm, id, lost)];
            }
            Mode::Refusing => {
                let refused = Reply::Refused { detail: "no connection".to_owned() };
                return vec![(now + self.delay, vm, id, refused)];
            }
            Mode::Up | Mode::ListOnly | Mode::ReplyLost | Mode::Late => {}
        }
        if let Call::Watch { prefix, after, wait } = call {
            if after.change > self.change {
                return vec![(now + self.delay, vm, id, Reply::Outdated)];
            }
            return self.watch(now, Watch { vm, call: id, prefix, after: after.change }, wait);
        }
        let (reply, mut answers) = self.apply(now, call);
        let answer = match self.mode {
            Mode::ReplyLost => (now + CALL_TIMEOUT, vm, id, lost),
            _ => (now + self.delay, vm, id, reply),
        };
        answers.push(answer);
        answers
    }

    /// Carries out a write that the client has reported as lost. Returns the
    /// replies to watches that the write ends.
    pub fn apply_late(&mut self, now: Instant, call: Call) -> Vec<Answer> {
        self.apply(now, call).1
    }

    fn watch(&mut self, now: Instant, watch: Watch, wait: Duration) -> Vec<Answer> {
        let due = self
            .changed
            .iter()
            .any(|(key, &change)| key.starts_with(&watch.prefix) && change > watch.after);
        let until = if due { now + self.delay } else { now + wait };
        let reply = self.changes(&watch);
        let answer = (until, watch.vm.clone(), watch.call, reply);
        if !due {
            self.watches.push(watch);
        }
        vec![answer]
    }

    fn changes(&self, watch: &Watch) -> Reply {
        let keys = self
            .changed
            .iter()
            .filter(|(key, change)| key.starts_with(&watch.prefix) && **change > watch.after);
        let entries = keys.filter_map(|(key, _)| self.values.get(key).cloned()).collect();
        Reply::Changed { entries, removed: Vec::new(), position: self.position(self.change) }
    }

    /// Removes a watch that has been answered.
    pub fn end_watch(&mut self, vm: &(Name, u64), call: CallId) {
        self.watches.retain(|watch| watch.vm != *vm || watch.call != call);
    }

    fn apply(&mut self, now: Instant, call: Call) -> (Reply, Vec<Answer>) {
        let position = self.position(self.change);
        let reply = match call {
            Call::Get { key } => Reply::Value { entry: self.values.get(&key).cloned(), position },
            Call::Scan { prefix } => {
                let rows = self.values.values().filter(|entry| entry.key.starts_with(&prefix));
                Reply::Entries { entries: rows.cloned().collect(), position }
            }
            Call::Swap { key, expect, value, .. } => return self.swap(now, key, expect, value),
            Call::Remove { key, .. } => {
                self.values.remove(&key);
                Reply::Removed
            }
            Call::List => Reply::Listed {
                vms: self.vms.values().cloned().collect(),
                targets: self.targets.values().cloned().collect(),
            },
            call => panic!("unexpected call {call:?}"),
        };
        (reply, Vec::new())
    }

    fn swap(
        &mut self,
        now: Instant,
        key: String,
        expect: Option<Version>,
        value: Vec<u8>,
    ) -> (Reply, Vec<Answer>) {
        let current = self.values.get(&key).cloned();
        // The service knows only the number of a version.
        let number = |version: Version| version.0.change;
        if current.as_ref().map(|entry| number(entry.version)) != expect.map(number) {
            return (Reply::Conflict { current }, Vec::new());
        }
        if key == laburnum_core::control::codec::CURRENT_KEY {
            self.writes += 1;
            self.written.push(value.clone());
        }
        let version = Version(self.position(expect.map_or(1, |version| number(version) + 1)));
        self.change += 1;
        self.changed.insert(key.clone(), self.change);
        self.values.insert(key.clone(), Entry { key, version, value });
        (Reply::Swapped { version }, self.notify(now))
    }

    fn notify(&mut self, now: Instant) -> Vec<Answer> {
        let watches = std::mem::take(&mut self.watches);
        let (due, rest): (Vec<Watch>, Vec<Watch>) = watches.into_iter().partition(|watch| {
            matches!(self.changes(watch), Reply::Changed { entries, .. } if !entries.is_empty())
        });
        self.watches = rest;
        let at = now + self.delay;
        due.iter().map(|w| (at, w.vm.clone(), w.call, self.changes(w))).collect()
    }
}
