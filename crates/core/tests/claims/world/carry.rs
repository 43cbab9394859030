//! Performs scheduled actions and carries out the calls, messages and verdicts
//! of the engines.

use laburnum_core::{
    claim::{Outcome, Request, Verdict},
    claims::{CallId, Event, Message, Outbox},
    id::Query,
    name::Name,
    store::{Call, Reply},
    time::{Instant, Wall},
};

use super::{Action, Plan, TICK_MICROS, World};
use crate::{
    oracle,
    store::{Handling, Mode},
};

impl World {
    pub(super) fn perform(&mut self, action: Action) {
        match action {
            Action::Tick { vm } => self.tick(vm),
            Action::Wake { vm, at } => {
                if self.machines[vm].wake == at {
                    self.schedule_tick(vm);
                }
            }
            Action::Deliver { vm, from, message } => {
                self.push_event(vm, Event::Message { from, message });
            }
            Action::Arrive { vm, epoch, id, call, handling } => {
                self.handle_call(vm, epoch, id, call, handling)
            }
            Action::Answer { vm, epoch, id, era, reply } => {
                if self.machines[vm].epoch == epoch {
                    self.push_event(vm, Event::Reply { id, era, reply });
                }
            }
            Action::Send { operation } => self.send_to_target(operation),
            Action::Finish { operation } => self.report_result(operation),
        }
    }

    fn tick(&mut self, vm: usize) {
        let wall = Wall((self.wall() as i64 + self.machines[vm].skew_secs * 1000) as u64);
        let machine = &mut self.machines[vm];
        if machine.paused || !machine.step_scheduled {
            return;
        }
        machine.step_scheduled = false;
        machine.ticks += 1;
        let events = std::mem::take(&mut machine.inbox);
        let mut out = Outbox::default();
        let now = Instant(self.now);
        machine.engine.tick(now, wall, &machine.view, events, &mut out);
        let wake = machine.engine.wake().map_or(u64::MAX, |at| at.0.max(self.now + TICK_MICROS));
        machine.wake = wake;
        if wake != u64::MAX {
            self.schedule(wake, Action::Wake { vm, at: wake });
        }
        self.flush(vm, out);
    }

    /// Carries out the outputs of one tick of an engine.
    fn flush(&mut self, vm: usize, out: Outbox) {
        for (count, times) in out.counts {
            *self.counts.entry(count).or_default() += times;
        }
        for (id, call) in out.calls {
            self.start_call(vm, id, call);
        }
        for (to, message) in out.messages {
            self.send_message(vm, &to, &message);
        }
        for (operation, verdict) in out.verdicts {
            self.handle_verdict(operation, &verdict);
        }
    }

    fn start_call(&mut self, vm: usize, id: CallId, call: Call) {
        let handling = self.store.handling(&call);
        let extra_delay = if let Mode::Slow(by) = self.store.mode { by } else { 0 };
        let at = self.now + 1000 + self.random.below(1500) + extra_delay;
        let epoch = self.machines[vm].epoch;
        self.schedule(at, Action::Arrive { vm, epoch, id, call, handling });
    }

    /// Applies a call to the store as its handling says, and schedules the reply.
    fn handle_call(&mut self, vm: usize, epoch: u64, id: CallId, call: Call, handling: Handling) {
        let lost = || Reply::Lost { detail: String::new() };
        let reply = match handling {
            Handling::Normal | Handling::AnswerLater(_) => {
                self.store.count(&call);
                self.store.apply(call)
            }
            Handling::Refused => Reply::Refused { detail: String::new() },
            Handling::Dropped => lost(),
            Handling::AnswerLost => {
                self.store.apply(call);
                lost()
            }
            Handling::EffectLater(by) => {
                let handling = Handling::AnswerLost;
                self.schedule(self.now + by, Action::Arrive { vm, epoch: 0, id, call, handling });
                lost()
            }
        };
        let late_by = if let Handling::AnswerLater(by) = handling { by } else { 0 };
        let at = self.now + 1000 + self.random.below(1500) + late_by;
        let is_answered = matches!(handling, Handling::Normal | Handling::AnswerLater(_));
        let era = is_answered.then_some(self.store.era);
        self.schedule(at, Action::Answer { vm, epoch, id, era, reply });
    }

    /// Sends a message, which the network may lose, duplicate or delay.
    fn send_message(&mut self, from: usize, to: &Name, message: &Message) {
        let Some(vm) = self.machines.iter().position(|machine| machine.name == *to) else {
            return;
        };
        if self.blocked_links.contains(&(from, vm)) || self.random.chance(self.network.loss_percent)
        {
            return;
        }
        let copies = 1 + u64::from(self.random.chance(self.network.duplicate_percent));
        for _ in 0..copies {
            let at = self.now + 500 + self.random.below(self.network.jitter_micros + 1);
            let from = self.machines[from].name.clone();
            self.schedule(at, Action::Deliver { vm, from, message: message.clone() });
        }
    }

    /// Checks a verdict and starts what the plan of the operation says.
    fn handle_verdict(&mut self, operation: Query, verdict: &Verdict) {
        let row = self.operations.get_mut(&operation).unwrap();
        assert!(row.verdict.is_none(), "{operation} got two verdicts");
        row.verdict = Some(verdict.clone());
        let Request { key, token, .. } = row.request;
        self.oracle.record_verdict(key, token, verdict);
        if *verdict != Verdict::Granted {
            return;
        }
        assert!(self.now < row.deadline, "{operation} was granted after its deadline");
        self.latencies.push(self.now - row.start);
        match row.plan {
            Plan::Withdraw => {
                let (vm, request) = (row.vm, row.request.clone());
                self.push_event(vm, Event::Outcome { request, outcome: Outcome::NotRun });
            }
            Plan::Run { delay, .. } | Plan::Silent { delay } => {
                self.schedule(self.now + delay, Action::Send { operation });
            }
        }
    }

    /// Sends the operation to a target as the traffic thread does. Nothing is sent
    /// if the VM was replaced or if the deadline passed while it was paused.
    fn send_to_target(&mut self, operation: Query) {
        let row = &self.operations[&operation];
        let machine = &self.machines[row.vm];
        if machine.epoch != row.epoch {
            return;
        }
        if machine.paused {
            self.schedule(self.now + 1000, Action::Send { operation });
            return;
        }
        let (vm, request) = (row.vm, row.request.clone());
        if self.now >= row.deadline {
            self.push_event(vm, Event::Outcome { request, outcome: Outcome::NotRun });
            return;
        }
        self.oracle.record_execution(request.key, request.token);
        if let Plan::Run { duration, .. } = row.plan {
            self.schedule(self.now + duration, Action::Finish { operation });
        }
    }

    /// Reports the result of a target to the engine.
    fn report_result(&mut self, operation: Query) {
        let row = &self.operations[&operation];
        if self.machines[row.vm].epoch != row.epoch {
            return;
        }
        let (vm, request) = (row.vm, row.request.clone());
        let outcome = Outcome::Done { result: oracle::result(request.token) };
        self.push_event(vm, Event::Outcome { request, outcome });
    }
}
