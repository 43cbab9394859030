//! Several engines with a stand-in store, network, clock and executor, under
//! virtual time. The same seed gives the same run.

mod carry;

use std::{collections::BTreeMap, time::Duration};

use laburnum_core::{
    claim::{Key, Outcome, Request, Verdict},
    claims::{CallId, Count, Engine, Event, Limits, Message, layout},
    digest::Fingerprint,
    id::{Origin, Query},
    name::Name,
    rank,
    store::{Call, Reply},
    time::Instant,
    view::{State, Vm},
};
use uuid::Uuid;

use crate::{
    oracle::Oracle,
    store::{Fate, Mode, Store},
};

/// The wall-clock time of the start, in milliseconds.
pub const EPOCH: u64 = 1_800_000_000_000;
/// A tick gathers what comes within this time, in microseconds.
const TICK: u64 = 100;

/// A small generator, so that a run depends on its seed only.
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

/// What the traffic thread does with a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// Sends after the first time, runs for the second, reports the result.
    Run { before: u64, run: u64 },
    /// Sends, and the target is lost: no outcome.
    Silent { before: u64 },
    /// Finds no target and reports that nothing ran.
    Withdraw,
}

/// The network between VMs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss: u64,
    pub double: u64,
    /// The longest further delay, in microseconds.
    pub jitter: u64,
}

#[derive(Clone, Debug)]
pub enum Item {
    Step { vm: usize },
    Wake { vm: usize, at: u64 },
    Deliver { vm: usize, from: Name, message: Message },
    Arrive { vm: usize, epoch: u64, id: CallId, call: Call, fate: Fate },
    Answer { vm: usize, epoch: u64, id: CallId, reply: Reply },
    Send { operation: Query },
    Finish { operation: Query },
}

pub struct Operation {
    pub vm: usize,
    epoch: u64,
    pub request: Request,
    start: u64,
    deadline: u64,
    plan: Plan,
    pub verdict: Option<Verdict>,
}

pub struct Machine {
    pub name: Name,
    pub engine: Engine,
    pub view: BTreeMap<Name, Vm>,
    /// Seconds by which the wall clock is ahead.
    pub skew: i64,
    pub paused: bool,
    pub epoch: u64,
    pub steps: u64,
    inbox: Vec<Event>,
    stepping: bool,
    wake: u64,
}

pub struct World {
    pub now: u64,
    pub machines: Vec<Machine>,
    pub store: Store,
    pub network: Network,
    /// Pairs of sender and receiver between which nothing passes.
    pub cut: Vec<(usize, usize)>,
    pub random: Random,
    pub oracle: Oracle,
    pub operations: BTreeMap<Query, Operation>,
    pub counts: BTreeMap<Count, u64>,
    /// The waits of granted claims, in microseconds.
    pub latencies: Vec<u64>,
    pub queue: BTreeMap<(u64, u64), Item>,
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
            skew: 0,
            paused: false,
            epoch: 1,
            steps: 0,
            inbox: Vec::new(),
            stepping: false,
            wake: u64::MAX,
        });
        let mut world = World {
            now: 1_000_000,
            machines: machines.collect(),
            store: Store::new(),
            network: Network::default(),
            cut: Vec::new(),
            random: Random(seed),
            oracle: Oracle::default(),
            operations: BTreeMap::new(),
            counts: BTreeMap::new(),
            latencies: Vec::new(),
            queue: BTreeMap::new(),
            limits,
            sequence: 0,
        };
        (0..size).for_each(|vm| world.stir(vm));
        world
    }

    /// The true wall-clock time in milliseconds.
    pub fn wall(&self) -> u64 {
        EPOCH + self.now / 1000
    }

    /// Makes a key that was issued now.
    pub fn key(&mut self) -> Key {
        self.key_at(self.wall())
    }

    pub fn key_at(&mut self, millis: u64) -> Key {
        let low = (u128::from(self.random.next()) << 64) | u128::from(self.random.next());
        let bits = (u128::from(millis) << 80) | (low >> 48);
        let versioned = (bits & !(0xf << 76)) | (7 << 76);
        Key(Uuid::from_u128((versioned & !(3 << 62)) | (2 << 62)))
    }

    /// The number of the VM that is first in rank.
    pub fn first(&self, seed: u64) -> usize {
        let first = rank::first(seed, self.machines.iter().map(|machine| &machine.name));
        self.machines.iter().position(|machine| Some(&machine.name) == first).unwrap()
    }

    /// Makes a key whose home is not VM 0, and names the home.
    pub fn remote_key(&mut self) -> (Key, usize) {
        loop {
            let key = self.key();
            let partition = self.limits.layout.bucket(&key).unwrap().partition;
            let home = self.first(layout::partition_seed(partition));
            if home != 0 {
                return (key, home);
            }
        }
    }

    fn put(&mut self, at: u64, item: Item) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), item);
    }

    /// Lets a machine run its systems soon.
    fn stir(&mut self, vm: usize) {
        let machine = &mut self.machines[vm];
        if !machine.stepping && !machine.paused {
            machine.stepping = true;
            self.put(self.now + TICK, Item::Step { vm });
        }
    }

    fn event(&mut self, vm: usize, event: Event) {
        self.machines[vm].inbox.push(event);
        self.stir(vm);
    }

    /// A caller's operation reaches a VM.
    pub fn operate(&mut self, vm: usize, key: Key, remaining: Duration, plan: Plan) -> Query {
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
        self.event(vm, Event::Claim { operation, request, deadline });
        operation
    }

    /// A traffic thread reports an outcome that its plan does not foresee.
    pub fn outcome(&mut self, operation: Query, outcome: Outcome) {
        let row = &self.operations[&operation];
        let (vm, request) = (row.vm, row.request.clone());
        self.event(vm, Event::Outcome { request, outcome });
    }

    pub fn pause(&mut self, vm: usize) {
        self.machines[vm].paused = true;
    }

    pub fn resume(&mut self, vm: usize) {
        self.machines[vm].paused = false;
        self.machines[vm].stepping = false;
        self.stir(vm);
    }

    /// Ends a VM; a new one takes its name.
    pub fn replace(&mut self, vm: usize) {
        let machine = &mut self.machines[vm];
        machine.epoch += 1;
        machine.engine = Engine::new(machine.name.clone(), self.limits.clone());
        machine.inbox.clear();
        machine.paused = false;
        machine.stepping = false;
        machine.wake = u64::MAX;
        self.stir(vm);
    }

    /// Makes each of two VMs believe that the other is gone.
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
        self.cut.clear();
        let size = self.machines.len();
        for index in 0..size {
            self.machines[index].skew = 0;
            self.machines[index].view = (0..size).map(|i| (name(i), vm(i))).collect();
            if self.machines[index].paused {
                self.resume(index);
            }
        }
    }

    /// Runs for a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span.as_micros() as u64;
        self.run_until(end, |_| false);
    }

    /// Runs until `found` holds after an item or `end` is reached, and says
    /// whether it was found.
    pub fn run_until(&mut self, end: u64, found: impl Fn(&World) -> bool) -> bool {
        while let Some((&(at, sequence), _)) = self.queue.first_key_value() {
            if at > end {
                break;
            }
            self.now = self.now.max(at);
            let item = self.queue.remove(&(at, sequence)).unwrap();
            self.take(item);
            if found(self) {
                return true;
            }
        }
        self.now = end;
        false
    }

    /// Asserts that every operation of a VM that still runs was answered.
    pub fn assert_answered(&self) {
        for (operation, row) in &self.operations {
            let machine = &self.machines[row.vm];
            let lives = machine.epoch == row.epoch && !machine.paused;
            let due = self.now > row.deadline + 10_000;
            assert!(!lives || !due || row.verdict.is_some(), "{operation} got no verdict");
        }
    }
}
