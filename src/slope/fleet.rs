//! Control engines of many VMs in virtual time, with the processor time that
//! each of them takes.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};

use laburnum_core::{
    claims,
    control::{Engine, Event, Limits, Message, Outbox, Request, RequestId, Setup},
    name::Name,
    notice::Notice,
    store::{CallId, Reply},
    time::{Instant, Wall},
    view::{State, Vm},
};

use super::{bed, meter};
use crate::{
    control::Json,
    standin::platform::{
        List,
        list::{Change, Raw},
        system::{self, Input, Output},
        table::{Tables, Ticket},
    },
};

/// The wall-clock time at which a fleet starts, in milliseconds.
const EPOCH: u64 = 1_700_000_000_000;

/// The time that a message takes.
const HOP: Duration = Duration::from_millis(1);

/// The time that the platform's service takes to answer.
const SERVICE: Duration = Duration::from_millis(2);

/// What is on its way to a VM.
enum Delivery {
    /// A message as it was encoded.
    Message(Vec<u8>),
    /// An answer of the service, to the start that called.
    Reply(u64, CallId, Reply),
}

/// A call that the service has not answered.
struct Call {
    vm: Name,
    start: u64,
    id: CallId,
}

/// One VM.
struct Node {
    engine: Engine,
    start: u64,
    wake: Instant,
    live: usize,
    in_force: u64,
}

/// What all VMs have cost so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct Cost {
    /// The messages that were sent.
    pub messages: u64,
    /// The bytes of these messages.
    pub bytes: u64,
    /// The processor time of the steps, encoding and decoding.
    pub used: Duration,
    /// The processor time of the longest step.
    pub longest: Duration,
    /// The views that were published.
    pub views: u64,
}

/// Control engines on a network with the platform's service.
pub struct Fleet {
    /// The time.
    pub now: Instant,
    /// What was spent since it was last taken.
    pub cost: Cost,
    nodes: BTreeMap<Name, Node>,
    platform: Tables,
    calls: BTreeMap<Ticket, Call>,
    tickets: u64,
    queue: BTreeMap<(Instant, u64), (Name, Delivery)>,
    wakes: BTreeSet<(Instant, Name)>,
    sequence: u64,
    starts: u64,
}

impl Fleet {
    /// Starts VMs that the platform lists, with targets that it lists as well.
    pub fn new(vms: usize, targets: usize) -> Fleet {
        let shards = targets.clamp(1, 1100);
        let raw = Raw {
            vms: (0..vms).map(bed::vm).collect(),
            targets: (0..targets).map(|number| bed::target(number, shards)).collect(),
        };
        let list = List::try_from(raw).expect("every row is live");
        let mut fleet = Fleet {
            now: Instant(1_000_000),
            cost: Cost::default(),
            nodes: BTreeMap::new(),
            platform: Tables::new(list),
            calls: BTreeMap::new(),
            tickets: 0,
            queue: BTreeMap::new(),
            wakes: BTreeSet::new(),
            sequence: 0,
            starts: 0,
        };
        (0..vms).for_each(|number| fleet.start(number));
        fleet
    }

    /// The number of VMs that run.
    pub fn size(&self) -> usize {
        self.nodes.len()
    }

    /// Starts a VM, again if it ran before.
    pub fn start(&mut self, number: usize) {
        self.kill(number);
        self.starts += 1;
        let vm = Vm { incarnation: self.wall().0 + self.starts, ..bed::vm(number) };
        let name = vm.name.clone();
        let limits = Limits::default();
        let setup = Setup {
            vm,
            seeds: Vec::new(),
            limits,
            claims: claims::Limits::default(),
            seed: self.starts,
            codec: Box::new(Json),
        };
        let engine = Engine::new(setup);
        let wake = self.now;
        let node = Node { engine, start: self.starts, wake, live: 0, in_force: 0 };
        self.nodes.insert(name.clone(), node);
        self.wakes.insert((wake, name));
    }

    /// Ends a VM without a word.
    pub fn kill(&mut self, number: usize) {
        let name = bed::vm_name(number);
        if let Some(node) = self.nodes.remove(&name) {
            self.wakes.remove(&(node.wake, name));
        }
    }

    /// Takes a VM out of the platform's list.
    pub fn unlist(&mut self, number: usize) {
        let ticket = self.ticket();
        self.serve(vec![(ticket, Input::ChangeList(Change::RemoveVm(bed::vm_name(number))))]);
    }

    /// Publishes profiles that differ from all before through a VM.
    pub fn publish(&mut self, number: usize) {
        self.sequence += 1;
        let concurrency = u32::try_from(self.sequence % 90_000).unwrap_or_default() + 1;
        let mut profiles = bed::document(1).profiles.clone();
        profiles.values_mut().for_each(|profile| profile.concurrency = concurrency);
        let request = Request::Publish {
            profiles,
            expect: None,
            who: "operator".to_owned(),
            team: bed::name("field"),
            dry_run: false,
        };
        let id = RequestId(self.sequence);
        self.step(&bed::vm_name(number), vec![Event::Request { id, request }]);
    }

    /// Runs for a time.
    pub fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(at) = self.next().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.tick();
        }
        self.now = end;
    }

    /// Runs until `done` or for the `limit`; returns the time that passed.
    pub fn until(&mut self, limit: Duration, done: impl Fn(&Fleet) -> bool) -> Duration {
        let start = self.now;
        while !done(self) && self.now.since(start) < limit {
            self.run(Duration::from_millis(50));
        }
        self.now.since(start)
    }

    /// Whether every VM that runs sees as many live VMs as there are.
    pub fn settled(&self) -> bool {
        self.nodes.values().all(|node| node.live == self.nodes.len())
    }

    /// Whether no VM has news to pass on.
    pub fn quiet(&self) -> bool {
        self.nodes.values().all(|node| node.engine.tables().gossip.is_empty())
    }

    /// The lowest revision in force on any VM.
    pub fn lowest(&self) -> u64 {
        self.nodes.values().map(|node| node.in_force).min().unwrap_or_default()
    }

    fn wall(&self) -> Wall {
        Wall(EPOCH + self.now.0 / 1000)
    }

    fn next(&self) -> Option<Instant> {
        let queued = self.queue.keys().next().map(|&(at, _)| at);
        let wakes = self.wakes.first().map(|&(at, _)| at);
        [queued, wakes, self.platform.next_deadline()].into_iter().flatten().min()
    }

    fn tick(&mut self) {
        if self.platform.next_deadline().is_some_and(|at| at <= self.now) {
            self.serve(Vec::new());
        }
        let mut events: BTreeMap<Name, Vec<Event>> = BTreeMap::new();
        while let Some(entry) = self.queue.first_entry().filter(|e| e.key().0 <= self.now) {
            let (vm, delivery) = entry.remove();
            if let Some(event) = self.event(&vm, delivery) {
                events.entry(vm).or_default().push(event);
            }
        }
        let due = self.wakes.iter().take_while(|(at, _)| *at <= self.now);
        for (_, vm) in due {
            events.entry(vm.clone()).or_default();
        }
        for (vm, events) in events {
            self.step(&vm, events);
        }
    }

    fn event(&mut self, vm: &Name, delivery: Delivery) -> Option<Event> {
        let node = self.nodes.get(vm)?;
        match delivery {
            Delivery::Message(bytes) => {
                let (took, message) = meter::timed(|| decode(&bytes));
                self.cost.used += took;
                Some(Event::Message(message))
            }
            Delivery::Reply(start, call, reply) => {
                (start == node.start).then_some(Event::Reply { call, reply })
            }
        }
    }

    fn step(&mut self, vm: &Name, events: Vec<Event>) {
        let wall = self.wall();
        let Some(node) = self.nodes.get_mut(vm) else { return };
        let mut out = Outbox::default();
        let now = self.now;
        let (took, ()) = meter::timed(|| node.engine.tick(now, wall, events, &mut out));
        self.cost.used += took;
        self.cost.longest = self.cost.longest.max(took);
        self.wakes.remove(&(node.wake, vm.clone()));
        node.wake = node.engine.wake().unwrap_or(now + Duration::from_secs(1));
        self.wakes.insert((node.wake, vm.clone()));
        self.flush(vm, out);
    }

    fn flush(&mut self, vm: &Name, out: Outbox) {
        let Some(node) = self.nodes.get_mut(vm) else { return };
        for (_, notice) in out.notices {
            if let Notice::View(view) = notice {
                self.cost.views += 1;
                node.live = view.vms.values().filter(|vm| vm.state == State::Live).count();
                node.in_force = view.document.revision.0;
            }
        }
        let start = node.start;
        for post in out.messages {
            let (took, bytes) = meter::timed(|| encode(&post.message));
            self.cost.used += took;
            self.cost.messages += 1;
            self.cost.bytes += bytes.len() as u64;
            self.enqueue(HOP, post.vm, Delivery::Message(bytes));
        }
        for (id, call) in out.calls {
            let ticket = self.ticket();
            self.calls.insert(ticket, Call { vm: vm.clone(), start, id });
            self.serve(vec![(ticket, Input::Call { vm: Some(vm.clone()), call })]);
        }
    }

    fn ticket(&mut self) -> Ticket {
        self.tickets += 1;
        Ticket(self.tickets)
    }

    fn serve(&mut self, inputs: Vec<(Ticket, Input)>) {
        let mut outputs = Vec::new();
        system::run(&mut self.platform, self.now, inputs, &mut outputs);
        for (ticket, output) in outputs {
            let (Output::Reply(reply), Some(call)) = (output, self.calls.remove(&ticket)) else {
                continue;
            };
            self.enqueue(SERVICE, call.vm, Delivery::Reply(call.start, call.id, reply));
        }
    }

    fn enqueue(&mut self, after: Duration, vm: Name, delivery: Delivery) {
        self.sequence += 1;
        self.queue.insert((self.now + after, self.sequence), (vm, delivery));
    }
}

fn encode(message: &Message) -> Vec<u8> {
    bincode::serde::encode_to_vec(message, bincode::config::standard())
        .expect("a message can always be encoded")
}

fn decode(bytes: &[u8]) -> Message {
    bincode::serde::decode_from_slice(bytes, bincode::config::standard())
        .map(|(message, _)| message)
        .expect("the message was encoded here")
}
