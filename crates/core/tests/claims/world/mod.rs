//! A simulation of several engines in virtual time, with stand-ins for the
//! store, the network, the clocks and the targets. Runs are deterministic: the
//! same seed gives the same run.

mod carry;

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{
    claim::{Key, Outcome, Request, Verdict},
    claims::{CallId, Count, Engine, Event, Limits, Message, layout},
    digest::Fingerprint,
    id::{Origin, Query},
    name::Name,
    rank,
    store::{Call, Era, Reply},
    time::Instant,
    view::{State, Vm},
};
use uuid::Uuid;

use crate::{
    oracle::Oracle,
    store::{Handling, Mode, Store},
};

/// The wall-clock time at virtual time zero, in milliseconds since the Unix
/// epoch.
pub const START_MILLIS: u64 = 1_800_000_000_000;
/// The time between the first event for a machine and the tick that handles it,
/// together with all events that arrive in between.
const TICK_MICROS: u64 = 100;

/// A pseudo-random number generator, so that a run depends only on its seed.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, end: u64) -> u64 {
        self.next() % end.max(1)
    }

    pub fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// What the traffic thread does once a claim is granted. Times are in
/// microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Sends the operation after `delay`; the target runs for `duration`, and its
    /// result is reported.
    Run { delay: u64, duration: u64 },
    /// Sends the operation after `delay`; the target fails without an outcome.
    Silent { delay: u64 },
    /// Finds no target and reports that the operation did not run.
    Withdraw,
}

/// The network between VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss_percent: u64,
    pub duplicate_percent: u64,
    /// The largest additional delay of a message.
    pub jitter_micros: u64,
}

/// A scheduled action of the simulation.
#[derive(Clone, Debug)]
pub enum Action {
    Tick { vm: usize },
    Wake { vm: usize, at: u64 },
    Deliver { vm: usize, from: Name, message: Message },
    Arrive { vm: usize, epoch: u64, id: CallId, call: Call, handling: Handling },
    Answer { vm: usize, epoch: u64, id: CallId, era: Option<Era>, reply: Reply },
    Send { operation: Query },
    Finish { operation: Query },
}

/// An operation of a caller, with times in virtual microseconds.
pub struct Operation {
    pub vm: usize,
    /// The epoch of the machine when the operation arrived.
    epoch: u64,
    pub request: Request,
    start: u64,
    deadline: u64,
    plan: Plan,
    pub verdict: Option<Verdict>,
}

/// A VM with its engine.
pub struct Machine {
    pub name: Name,
    pub engine: Engine,
    pub view: BTreeMap<Name, Vm>,
    /// By how much the wall clock is ahead.
    pub skew_secs: i64,
    pub paused: bool,
    /// Counts replacements, so that what belongs to an earlier VM is ignored.
    pub epoch: u64,
    /// The number of ticks that the engine ran.
    pub ticks: u64,
    inbox: Vec<Event>,
    step_scheduled: bool,
    wake: u64,
}

/// The simulation.
pub struct World {
    /// The virtual time in microseconds.
    pub now: u64,
    pub machines: Vec<Machine>,
    pub store: Store,
    pub network: Network,
    /// Pairs of sender and receiver between which all messages are lost.
    pub blocked_links: Vec<(usize, usize)>,
    pub random: Random,
    pub oracle: Oracle,
    pub operations: BTreeMap<Query, Operation>,
    pub counts: BTreeMap<Count, u64>,
    /// The time from submission to grant of each granted claim, in microseconds.
    pub latencies: Vec<u64>,
    /// Scheduled actions by time and order of scheduling.
    pub queue: BTreeMap<(u64, u64), Action>,
    limits: Limits,
    sequence: u64,
}

fn vm(index: usize) -> Vm {
    Vm {
        name: name(index),
        domain: Name::try_from("a").unwrap(),
        incarnation: 1,
        state: State::Live,
        control: "127.0.0.1:1".parse().unwrap(),
        traffic: Vec::new(),
    }
}

pub fn name(index: usize) -> Name {
    Name::try_from(format!("vm-{index}")).unwrap()
}

impl World {
    pub fn new(size: usize, limits: Limits, seed: u64) -> World {
        let view: BTreeMap<Name, Vm> = (0..size).map(|i| (name(i), vm(i))).collect();
        let machines = (0..size).map(|i| Machine {
            name: name(i),
            engine: Engine::new(name(i), limits.clone()),
            view: view.clone(),
            skew_secs: 0,
            paused: false,
            epoch: 1,
            ticks: 0,
            inbox: Vec::new(),
            step_scheduled: false,
            wake: u64::MAX,
        });
        let mut world = World {
            now: 1_000_000,
            machines: machines.collect(),
            store: Store::new(),
            network: Network::default(),
            blocked_links: Vec::new(),
            random: Random(seed),
            oracle: Oracle::default(),
            operations: BTreeMap::new(),
            counts: BTreeMap::new(),
            latencies: Vec::new(),
            queue: BTreeMap::new(),
            limits,
            sequence: 0,
        };
        (0..size).for_each(|vm| world.schedule_tick(vm));
        world
    }

    /// Returns the wall-clock time without skew, in milliseconds.
    pub fn wall(&self) -> u64 {
        START_MILLIS + self.now / 1000
    }

    /// Creates a key that was issued now.
    pub fn key(&mut self) -> Key {
        self.key_at(self.wall())
    }

    /// Creates a key with the given time of issue, as a UUIDv7.
    pub fn key_at(&mut self, millis: u64) -> Key {
        let low = (u128::from(self.random.next()) << 64) | u128::from(self.random.next());
        let bits = (u128::from(millis) << 80) | (low >> 48);
        let versioned = (bits & !(0xf << 76)) | (7 << 76);
        Key(Uuid::from_u128((versioned & !(3 << 62)) | (2 << 62)))
    }

    /// Returns the index of the VM that is first in rank for `seed`.
    pub fn first_ranked(&self, seed: u64) -> usize {
        let first = rank::first(seed, self.machines.iter().map(|machine| &machine.name));
        self.machines.iter().position(|machine| Some(&machine.name) == first).unwrap()
    }

    /// Creates a key whose home is not VM 0, and returns it with the index of its
    /// home.
    pub fn remote_key(&mut self) -> (Key, usize) {
        loop {
            let key = self.key();
            let partition = self.limits.layout.bucket(&key).unwrap().partition;
            let home = self.first_ranked(layout::partition_seed(partition));
            if home != 0 {
                return (key, home);
            }
        }
    }

    fn schedule(&mut self, at: u64, action: Action) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), action);
    }

    /// Schedules a tick of a machine unless one is scheduled or it is paused.
    fn schedule_tick(&mut self, vm: usize) {
        let machine = &mut self.machines[vm];
        if !machine.step_scheduled && !machine.paused {
            machine.step_scheduled = true;
            self.schedule(self.now + TICK_MICROS, Action::Tick { vm });
        }
    }

    /// Passes an event to a VM.
    pub fn push_event(&mut self, vm: usize, event: Event) {
        self.machines[vm].inbox.push(event);
        self.schedule_tick(vm);
    }

    /// Submits an operation of a caller to a VM. Each has a new token.
    pub fn submit(&mut self, vm: usize, key: Key, remaining: Duration, plan: Plan) -> Query {
        self.sequence += 1;
        let operation = Query { origin: Origin(vm as u64), sequence: self.sequence };
        let token = Uuid::from_u64_pair(self.random.next(), self.random.next());
        let request = Request { key, fingerprint: Fingerprint(7), token };
        let epoch = self.machines[vm].epoch;
        let deadline = self.now + remaining.as_micros() as u64;
        let row = Operation { vm, epoch, request, start: self.now, deadline, plan, verdict: None };
        let request = row.request.clone();
        self.operations.insert(operation, row);
        let deadline = Instant(deadline);
        self.push_event(vm, Event::Claim { operation, request, deadline });
        operation
    }

    /// Reports an outcome in addition to what the plan of the operation reports.
    pub fn report_outcome(&mut self, operation: Query, outcome: Outcome) {
        let row = &self.operations[&operation];
        let (vm, request) = (row.vm, row.request.clone());
        self.push_event(vm, Event::Outcome { request, outcome });
    }

    pub fn pause(&mut self, vm: usize) {
        self.machines[vm].paused = true;
    }

    pub fn resume(&mut self, vm: usize) {
        self.machines[vm].paused = false;
        self.machines[vm].step_scheduled = false;
        self.schedule_tick(vm);
    }

    /// Replaces a VM with a new one of the same name and with empty tables.
    pub fn replace(&mut self, vm: usize) {
        let machine = &mut self.machines[vm];
        machine.epoch += 1;
        machine.engine = Engine::new(machine.name.clone(), self.limits.clone());
        machine.inbox.clear();
        machine.paused = false;
        machine.step_scheduled = false;
        machine.wake = u64::MAX;
        self.schedule_tick(vm);
    }

    /// Removes two VMs from each other's view.
    pub fn split(&mut self, a: usize, b: usize) {
        let (left, right) = (name(a), name(b));
        self.machines[a].view.remove(&right);
        self.machines[b].view.remove(&left);
    }

    /// Ends all faults.
    pub fn heal(&mut self) {
        self.store.mode = Mode::Up;
        self.store.next_writes.clear();
        self.store.next_reads.clear();
        self.network = Network::default();
        self.blocked_links.clear();
        let size = self.machines.len();
        for index in 0..size {
            self.machines[index].skew_secs = 0;
            self.machines[index].view = (0..size).map(|i| (name(i), vm(i))).collect();
            if self.machines[index].paused {
                self.resume(index);
            }
        }
    }

    /// Runs the simulation for `span` of virtual time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        self.run_until(end, |_| false);
    }

    /// Runs until `condition` holds after an action or `end` is reached. Returns
    /// whether the condition held.
    pub fn run_until(&mut self, end: u64, condition: impl Fn(&World) -> bool) -> bool {
        while let Some((&(at, sequence), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let action = self.queue.remove(&(at, sequence)).unwrap();
            self.perform(action);
            if condition(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    /// Asserts that every operation has a verdict 10 ms after its deadline, unless
    /// its VM was replaced or is paused.
    pub fn assert_answered(&self) {
        for (operation, row) in &self.operations {
            let machine = &self.machines[row.vm];
            let is_running = machine.epoch == row.epoch && !machine.paused;
            let past_deadline = self.now > row.deadline + 10_000;
            assert!(
                !is_running || !past_deadline || row.verdict.is_some(),
                "{operation} got no verdict"
            );
        }
    }
}
