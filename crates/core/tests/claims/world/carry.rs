//! Carries out what the engines order: calls, messages and verdicts.

use laburnum_core::{
    claim::{Outcome, Request, Verdict},
    claims::{CallId, Event, Message, Outbox},
    id::Query,
    name::Name,
    store::{Call, Reply},
    time::{Instant, Wall},
};

use super::{Item, Plan, TICK, World};
use crate::{
    oracle,
    store::{Fate, Mode},
};

impl World {
    pub(super) fn take(&mut self, item: Item) {
        match item {
            Item::Step { vm } => self.step(vm),
            Item::Wake { vm, at } => {
                if self.machines[vm].wake == at {
                    self.stir(vm);
                }
            }
            Item::Deliver { vm, from, message } => {
                self.event(vm, Event::Message { from, message });
            }
            Item::Arrive { vm, epoch, id, call, fate } => self.arrive(vm, epoch, id, call, fate),
            Item::Answer { vm, epoch, id, reply } => {
                if self.machines[vm].epoch == epoch {
                    self.event(vm, Event::Reply { id, reply });
                }
            }
            Item::Send { operation } => self.send(operation),
            Item::Finish { operation } => self.finish(operation),
        }
    }

    fn step(&mut self, vm: usize) {
        let wall = Wall((self.wall() as i64 + self.machines[vm].skew * 1000) as u64);
        let machine = &mut self.machines[vm];
        if machine.paused || !machine.stepping {
            return;
        }
        machine.stepping = false;
        machine.steps += 1;
        let events = std::mem::take(&mut machine.inbox);
        let mut out = Outbox::default();
        let now = Instant(self.now);
        machine.engine.step(now, wall, &machine.view, events, &mut out);
        let wake = machine.engine.wake().map_or(u64::MAX, |at| at.0.max(self.now + TICK));
        machine.wake = wake;
        if wake != u64::MAX {
            self.put(wake, Item::Wake { vm, at: wake });
        }
        self.flush(vm, out);
    }

    fn flush(&mut self, vm: usize, out: Outbox) {
        for (count, times) in out.counts {
            *self.counts.entry(count).or_default() += times;
        }
        for (id, call) in out.calls {
            self.call(vm, id, call);
        }
        for (to, message) in out.messages {
            self.post(vm, &to, &message);
        }
        for (operation, verdict) in out.verdicts {
            self.claimed(operation, &verdict);
        }
    }

    fn call(&mut self, vm: usize, id: CallId, call: Call) {
        let fate = self.store.fate(&call);
        let slow = if let Mode::Slow(by) = self.store.mode { by } else { 0 };
        let at = self.now + 1000 + self.random.below(1500) + slow;
        let epoch = self.machines[vm].epoch;
        self.put(at, Item::Arrive { vm, epoch, id, call, fate });
    }

    fn arrive(&mut self, vm: usize, epoch: u64, id: CallId, call: Call, fate: Fate) {
        let lost = || Reply::Lost { detail: String::new() };
        let reply = match fate {
            Fate::Normal => {
                self.store.count(&call);
                self.store.apply(call)
            }
            Fate::Refused => Reply::Refused { detail: String::new() },
            Fate::Dropped => lost(),
            Fate::AnswerLost => {
                self.store.apply(call);
                lost()
            }
            Fate::EffectLater(by) => {
                let fate = Fate::AnswerLost;
                self.put(self.now + by, Item::Arrive { vm, epoch: 0, id, call, fate });
                lost()
            }
        };
        let at = self.now + 1000 + self.random.below(1500);
        self.put(at, Item::Answer { vm, epoch, id, reply });
    }

    fn post(&mut self, from: usize, to: &Name, message: &Message) {
        let Some(vm) = self.machines.iter().position(|machine| machine.name == *to) else {
            return;
        };
        if self.cut.contains(&(from, vm)) || self.random.chance(self.network.loss) {
            return;
        }
        let copies = 1 + u64::from(self.random.chance(self.network.double));
        for _ in 0..copies {
            let at = self.now + 500 + self.random.below(self.network.jitter + 1);
            let from = self.machines[from].name.clone();
            self.put(at, Item::Deliver { vm, from, message: message.clone() });
        }
    }

    fn claimed(&mut self, operation: Query, verdict: &Verdict) {
        let row = self.operations.get_mut(&operation).unwrap();
        assert!(row.verdict.is_none(), "{operation} got two verdicts");
        row.verdict = Some(verdict.clone());
        let Request { key, token, .. } = row.request;
        self.oracle.told(key, token, verdict);
        if *verdict != Verdict::Granted {
            return;
        }
        assert!(self.now < row.deadline, "{operation} was granted after its deadline");
        self.latencies.push(self.now - row.start);
        match row.plan {
            Plan::Withdraw => {
                let (vm, request) = (row.vm, row.request.clone());
                self.event(vm, Event::Outcome { request, outcome: Outcome::NotRun });
            }
            Plan::Run { before, .. } | Plan::Silent { before } => {
                self.put(self.now + before, Item::Send { operation });
            }
        }
    }

    /// The traffic thread sends the operation to a target, unless it died, or
    /// its deadline passed while it was paused.
    fn send(&mut self, operation: Query) {
        let row = &self.operations[&operation];
        let machine = &self.machines[row.vm];
        if machine.epoch != row.epoch {
            return;
        }
        if machine.paused {
            self.put(self.now + 1000, Item::Send { operation });
            return;
        }
        let (vm, request) = (row.vm, row.request.clone());
        if self.now >= row.deadline {
            self.event(vm, Event::Outcome { request, outcome: Outcome::NotRun });
            return;
        }
        self.oracle.executed(request.key, request.token);
        if let Plan::Run { run, .. } = row.plan {
            self.put(self.now + run, Item::Finish { operation });
        }
    }

    fn finish(&mut self, operation: Query) {
        let row = &self.operations[&operation];
        if self.machines[row.vm].epoch != row.epoch {
            return;
        }
        let (vm, request) = (row.vm, row.request.clone());
        let outcome = Outcome::Done { result: oracle::result(request.token) };
        self.event(vm, Event::Outcome { request, outcome });
    }
}
